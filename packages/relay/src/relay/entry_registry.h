#pragma once

#include <string>

#include "relay/load_gossip.h"
#include "relay/relay.h"
#include "storage/store_era.h"
#include "storage/table.h"

namespace qp::relay {

/// Counts the processes of the deployment by their items in the table. Shared
/// limits are divided by the count, so a stale item of a dead process can only
/// tighten them.
///
/// A table that is restored from a copy can lack items of live processes and
/// show items of stopped ones. Each item states the era of the table in which
/// it was written: every process writes its own again in a new era, and items
/// of earlier eras stop counting after kRejoinTime.
class EntryRegistry : public RestoreListener {
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
  /// Time after a restore, or after the start of this process, for which items
  /// of earlier eras count. A process that is cut off from the table keeps its
  /// part of the shared limits, so its item counts while that is likely.
  static constexpr Duration kRejoinTime = std::chrono::seconds(30);

  EntryRegistry(RelayContext& relay, Clock& clock, Table& table,
                LoadGossip& gossip, std::string node, std::string address);

  /// Registers this process, then counts until it drains.
  Task<void> Run();
  /// Removes the item of this process.
  Task<void> Unregister();
  /// Registers this process again and counts soon.
  void OnStoreRestored(std::uint64_t era) override;

 private:
  /// Writes the item of this process until that has succeeded.
  Task<void> Register();
  /// Time until the next count.
  Duration NextPause(bool counted);
  /// Returns false if the table could not be read.
  Task<bool> CountProcesses();

  RelayContext& relay;
  Clock& clock;
  Table& table;
  LoadGossip& gossip;
  std::string node;
  std::string address;  ///< Address for load reports of peers.
  bool registering = false;
  bool must_register = true;  ///< The item has to be written again.
  /// Counts since the start or the last restore.
  int counts = 0;
  TimePoint era_began{};  ///< Start, or time at which the era was first seen.
};

}  // namespace qp::relay
