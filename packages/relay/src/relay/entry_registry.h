#pragma once

#include <string>

#include "relay/load_gossip.h"
#include "relay/relay.h"
#include "storage/table.h"

namespace qp::relay {

/// Counts the processes of the deployment by their items in the table. Shared
/// limits are divided by the count, so a stale item of a dead process can only
/// tighten them.
class EntryRegistry {
 public:
  /// Time between two counts. A new process uses its part of the shared limits
  /// at once; the others reduce their parts within this time.
  static constexpr Duration kInterval = std::chrono::seconds(12);
  /// Part of the time between two counts for each process of the zone: where
  /// the sum of the parts exceeds kInterval, it is the time between two counts.
  static constexpr Duration kIntervalPerProcess = std::chrono::seconds(1);
  /// Pause after a failed call to the table.
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(500);

  /// Time between the first kInitialCounts counts. When a whole deployment
  /// starts, all processes have registered by the end of this time.
  static constexpr Duration kInitialInterval = std::chrono::seconds(3);
  static constexpr int kInitialCounts = 2;

  EntryRegistry(RelayContext& relay, Clock& clock, Table& table,
                LoadGossip& gossip, std::string node, std::string address);

  /// Registers this process, then counts until it drains.
  Task<void> Run();
  /// Removes the item of this process.
  Task<void> Unregister();

 private:
  /// Returns false if the table could not be read.
  Task<bool> CountProcesses();

  RelayContext& relay;
  Clock& clock;
  Table& table;
  LoadGossip& gossip;
  std::string node;
  std::string address;  ///< Address for load reports of peers.
};

}  // namespace qp::relay
