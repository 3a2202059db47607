#pragma once

#include "foundation/clock.h"
#include "foundation/event.h"
#include "storage/table.h"

namespace qp {

/// Passes calls on to another table and keeps track of whether it answers, so
/// that calls that depend on it can be refused at once during an outage.
class MonitoredTable : public Table {
 public:
  MonitoredTable(Table& inner, EventSink& events);

  Task<Result<std::optional<TableItem>>> Read(std::string key) override;
  Task<Result<std::vector<TableItem>>> Scan(std::string prefix) override;
  /// kUnavailable at once while the table is known not to answer; a periodic
  /// Read by the configuration poll notices its return.
  Task<Result<std::vector<OperationResult>>> Transact(
      TransactMode mode, std::vector<TableOperation> operations) override;

  bool is_available() const { return this->available; }

 private:
  void UpdateAvailability(bool answered, const Error* error);

  Table& inner;
  EventSink& events;
  bool available = true;
};

}  // namespace qp
