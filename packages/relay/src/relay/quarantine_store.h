#pragma once

#include <set>
#include <string>
#include <string_view>

#include "foundation/asio.h"
#include "foundation/clock.h"
#include "relay/relay.h"
#include "storage/store_era.h"
#include "storage/table.h"

namespace qp::relay {

/// Keeps the quarantined prompt parts in the deployment's table, for processes
/// that start later or get no reports from their peers.
///
/// A table that is restored from a copy can lack quarantined parts and show
/// released ones. Each process then reads it again and writes what differs from
/// what it knows, after a random delay so that one process writes for all.
class QuarantineStore : public RestoreListener {
 public:
  /// Pause after a failed call to the table.
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(500);
  /// Maximum of the delay after a restore.
  static constexpr Duration kMaxRestoreDelay = std::chrono::milliseconds(2000);
  /// Parts that are remembered as released.
  static constexpr std::size_t kMaxReleased = 256;

  QuarantineStore(RelayContext& relay, Clock& clock, Table& table);

  /// Reads the table until that has succeeded once.
  Task<void> LoadAtStart();
  /// Reads the table once. False if it could not be read.
  Task<bool> Load();
  /// Whether the table has been read at least once.
  bool loaded() const { return this->is_loaded; }
  /// A part was quarantined or released, by this process or another one.
  void RecordQuarantined(std::string_view part);
  void RecordReleased(std::string_view part);
  void OnStoreRestored(std::uint64_t era) override;
  /// Writes the state of a part: an item while it is quarantined, no item
  /// otherwise. Returns at once and repeats failed writes.
  void Save(std::string_view part);

 private:
  Task<void> WriteUnsaved();
  /// Makes the table's items those that this process knows.
  Task<void> Reconcile();
  void RecordFailure(const Error& error);

  RelayContext& relay;
  Clock& clock;
  Table& table;
  bool is_loaded = false;
  bool writing = false;
  std::set<std::string, std::less<>> unsaved;
  std::set<std::string, std::less<>> quarantined;
  std::set<std::string, std::less<>> released;
  bool reconciling = false;
};

}  // namespace qp::relay
