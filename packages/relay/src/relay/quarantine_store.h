#pragma once

#include <set>
#include <string>
#include <string_view>

#include "foundation/asio.h"
#include "foundation/clock.h"
#include "relay/relay.h"
#include "storage/table.h"

namespace qp::relay {

/// Keeps the quarantined prompt parts in the deployment's table, for processes
/// that start later or get no reports from their peers.
class QuarantineStore {
 public:
  /// Pause after a failed call to the table.
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(500);

  QuarantineStore(RelayContext& relay, Clock& clock, Table& table);

  /// Reads the table until that has succeeded once.
  Task<void> LoadAtStart();
  /// Reads the table once. False if it could not be read.
  Task<bool> Load();
  /// Whether the table has been read at least once.
  bool loaded() const { return this->is_loaded; }
  /// Writes the state of a part: an item while it is quarantined, no item
  /// otherwise. Returns at once and repeats failed writes.
  void Save(std::string_view part);

 private:
  Task<void> WriteUnsaved();
  void RecordFailure(const Error& error);

  RelayContext& relay;
  Clock& clock;
  Table& table;
  bool is_loaded = false;
  bool writing = false;
  std::set<std::string, std::less<>> unsaved;
};

}  // namespace qp::relay
