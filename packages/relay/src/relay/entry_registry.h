#pragma once

#include <string>

#include "relay/load_gossip.h"
#include "relay/relay.h"
#include "storage/table.h"

namespace qp::relay {

/// Counts the processes of the deployment: each has an item in the table.
/// Shared bounds are divided by the count, so an item that a dead process left
/// makes them tighter and never looser.
class EntryRegistry {
 public:
  /// Time between two counts. A new process takes its part of the shared
  /// bounds at once and the others give theirs up within this time.
  static constexpr Duration kInterval = std::chrono::seconds(12);
  /// The same for each process of the zone, where there are many.
  static constexpr Duration kIntervalPerProcess = std::chrono::seconds(1);
  static constexpr Duration kRetry = std::chrono::milliseconds(500);

  /// Time between the first counts, while a deployment starts: all processes
  /// have registered after it.
  static constexpr Duration kFirstInterval = std::chrono::seconds(3);
  static constexpr int kFirstCounts = 2;

  EntryRegistry(RelayContext& relay, Clock& clock, Table& table,
                LoadGossip& gossip, std::string node, std::string address);

  /// Registers, then counts until the process ends.
  Task<void> Run();
  /// Removes the item of this process.
  Task<void> Unregister();

 private:
  Task<bool> Count();

  RelayContext& relay;
  Clock& clock;
  Table& table;
  LoadGossip& gossip;
  std::string node;
  std::string address;  ///< For load reports.
};

}  // namespace qp::relay
