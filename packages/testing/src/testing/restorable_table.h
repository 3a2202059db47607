#pragma once

#include <functional>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "storage/store_era.h"
#include "storage/table.h"

namespace qp::testing {

/// Table with revisions of one counter that can be restored from a copy.
/// Answers of one client; each client has an observer of its own.
class RestorableTable {
 public:
  using Items = std::map<std::string, TableItem>;

  /// Keeps a copy of the current state.
  void Copy() { this->copy = {this->items, this->revision}; }
  /// Loses what was written after the last copy and begins a new era.
  void Restore() {
    std::tie(this->items, this->revision) = this->copy;
    ++this->era;
  }

  std::uint64_t era = 1;
  std::uint64_t revision = 0;
  Items items;

 private:
  std::pair<Items, std::uint64_t> copy;
};

/// Access of one process to a RestorableTable.
class RestorableTableClient : public Table {
 public:
  RestorableTableClient(RestorableTable& shared, StoreAnswerObserver& answers)
      : table(shared), observer(answers) {}

  Task<Result<std::optional<TableItem>>> Read(std::string key) override {
    if (this->cut_off || !this->observer.OnAnswer(this->table.era)) {
      co_return Unavailable();
    }
    const auto found = this->table.items.find(key);
    co_return found == this->table.items.end() ? std::optional<TableItem>()
                                               : std::optional(found->second);
  }
  Task<Result<std::vector<TableItem>>> Scan(std::string prefix) override {
    if (this->cut_off || !this->observer.OnAnswer(this->table.era)) {
      co_return Unavailable();
    }
    std::vector<TableItem> found;
    for (const auto& [key, item] : this->table.items) {
      if (key.starts_with(prefix)) {
        found.push_back(item);
      }
    }
    co_return found;
  }
  Task<Result<std::vector<OperationResult>>> Transact(
      TransactMode, std::vector<TableOperation> operations) override {
    if (this->cut_off) {
      co_return Unavailable();
    }
    if (this->before_write) {
      this->before_write();
    }
    if (this->delay_writes) {
      this->delayed.insert(this->delayed.end(), operations.begin(),
                           operations.end());
      co_return Error{ErrorCode::kUnknownEffect, "table.transact", "memory",
                      "no answer"};
    }
    std::vector<OperationResult> results;
    results.reserve(operations.size());
    for (const auto& operation : operations) {
      results.push_back(this->Apply(operation));
    }
    if (!this->observer.OnAnswer(this->table.era)) {
      co_return Error{ErrorCode::kUnknownEffect, "table.transact", "memory",
                      "older era"};
    }
    co_return results;
  }

  /// Applies the writes that got no answer, if their conditions hold now.
  void ApplyDelayed() {
    for (const auto& operation : std::exchange(this->delayed, {})) {
      std::ignore = this->Apply(operation);
    }
  }

  bool cut_off = false;
  bool delay_writes = false;
  /// Called when a write has reached the table, before its condition is
  /// checked.
  std::function<void()> before_write;

 private:
  static Error Unavailable() {
    return {ErrorCode::kUnavailable, "table", "memory", "cut off"};
  }

  OperationResult Apply(const TableOperation& operation) {
    const auto found = this->table.items.find(operation.key);
    const bool exists = found != this->table.items.end();
    OperationResult result;
    result.applied = true;
    if (const auto* version = std::get_if<IfVersion>(&operation.condition)) {
      result.applied = exists && found->second.version == version->version;
    } else if (std::holds_alternative<IfAbsent>(operation.condition)) {
      result.applied = !exists;
    } else if (const auto* field = std::get_if<IfField>(&operation.condition)) {
      result.applied =
          exists && found->second.value.value(field->field, nlohmann::json()) ==
                        field->value;
    }
    if (!result.applied) {
      return result;
    }
    result.version = ++this->table.revision;
    if (operation.put) {
      this->table.items[operation.key] = {operation.key, *operation.put,
                                          result.version};
    } else {
      this->table.items.erase(operation.key);
    }
    return result;
  }

  RestorableTable& table;
  StoreAnswerObserver& observer;
  std::vector<TableOperation> delayed;
};

}  // namespace qp::testing
