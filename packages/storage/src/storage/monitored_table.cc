#include "storage/monitored_table.h"

namespace qp {

MonitoredTable::MonitoredTable(Table& table, EventSink& sink)
    : inner(table), events(sink) {}

Task<Result<std::optional<TableItem>>> MonitoredTable::Read(std::string key) {
  auto result = co_await this->inner.Read(std::move(key));
  this->UpdateAvailability(result.has_value(),
                           result ? nullptr : &result.error());
  co_return result;
}

Task<Result<std::vector<TableItem>>> MonitoredTable::Scan(std::string prefix) {
  auto result = co_await this->inner.Scan(std::move(prefix));
  this->UpdateAvailability(result.has_value(),
                           result ? nullptr : &result.error());
  co_return result;
}

Task<Result<std::vector<OperationResult>>> MonitoredTable::Transact(
    TransactMode mode, std::vector<TableOperation> operations) {
  if (!this->available) {
    co_return Error{ErrorCode::kUnavailable, "table.transact", "table",
                    "the last call to the table failed"};
  }
  auto result = co_await this->inner.Transact(mode, std::move(operations));
  this->UpdateAvailability(result.has_value(),
                           result ? nullptr : &result.error());
  co_return result;
}

void MonitoredTable::UpdateAvailability(bool answered, const Error* error) {
  if (answered == this->available) {
    return;
  }
  this->available = answered;
  if (answered) {
    this->events.Record(EventId::kTableAvailable, {});
  } else {
    this->events.Record(EventId::kTableUnavailable,
                        {{"error", ToString(*error)}});
  }
}

}  // namespace qp
