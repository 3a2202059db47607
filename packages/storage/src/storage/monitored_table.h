#pragma once

#include "foundation/clock.h"
#include "foundation/event.h"
#include "storage/table.h"

namespace qp {

/// Forwards calls to another table and tracks whether it is available, so that
/// calls that depend on it are refused immediately during an outage.
class MonitoredTable : public Table {
 public:
  MonitoredTable(Table& inner, EventSink& events);

  Task<Result<std::optional<TableItem>>> Read(std::string key) override;
  Task<Result<std::vector<TableItem>>> Scan(std::string prefix) override;
  /// Fails with kUnavailable without calling the table if the last call failed.
  /// The periodic Read of the configuration poll detects the recovery.
  Task<Result<std::vector<OperationResult>>> Transact(
      TransactMode mode, std::vector<TableOperation> operations) override;

  bool is_available() const { return this->available; }

 private:
  /// `answered` is true if a call to the table succeeded. `error` is the error
  /// of the call; null if `answered`.
  void UpdateAvailability(bool answered, const Error* error);

  Table& inner;
  EventSink& events;
  bool available = true;
};

}  // namespace qp
