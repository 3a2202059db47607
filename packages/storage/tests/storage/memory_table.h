#pragma once

#include <map>

#include "storage/table.h"

namespace qp::testing {

/// In-memory table that can simulate the failures of the table service.
class MemoryTable : public Table {
 public:
  Task<Result<std::optional<TableItem>>> Read(std::string key) override {
    if (this->down) {
      co_return Unavailable("table.read");
    }
    const auto found = this->items.find(key);
    if (found == this->items.end()) {
      co_return std::optional<TableItem>();
    }
    co_return std::optional(found->second);
  }

  Task<Result<std::vector<TableItem>>> Scan(std::string prefix) override {
    if (this->down) {
      co_return Unavailable("table.scan");
    }
    std::vector<TableItem> found;
    for (const auto& [key, item] : this->items) {
      if (key.starts_with(prefix)) {
        found.push_back(item);
      }
    }
    co_return found;
  }

  Task<Result<std::vector<OperationResult>>> Transact(
      TransactMode mode, std::vector<TableOperation> operations) override {
    if (this->down) {
      co_return Unavailable("table.transact");
    }
    if (this->lose_write) {
      co_return Error{ErrorCode::kUnknownEffect, "table.transact", "memory",
                      ""};
    }
    ++this->writes;
    auto results = this->Apply(mode, operations);
    if (this->lose_answer) {
      co_return Error{ErrorCode::kUnknownEffect, "table.transact", "memory",
                      ""};
    }
    co_return results;
  }

  bool down = false;         ///< Every call fails with kUnavailable.
  bool lose_answer = false;  ///< Writes take effect, responses are lost.
  bool lose_write = false;   ///< Writes have no effect, responses are lost.
  int writes = 0;
  std::map<std::string, TableItem> items;

 private:
  static Error Unavailable(std::string step) {
    return Error{ErrorCode::kUnavailable, std::move(step), "memory", "down"};
  }

  bool ConditionHolds(const TableOperation& operation) const {
    const auto found = this->items.find(operation.key);
    const bool absent = found == this->items.end();
    if (const auto* version = std::get_if<IfVersion>(&operation.condition)) {
      return !absent && found->second.version == version->version;
    }
    if (const auto* field = std::get_if<IfField>(&operation.condition)) {
      return absent ? field->or_absent
                    : found->second.value.value(
                          field->field, nlohmann::json()) == field->value;
    }
    return absent || !std::holds_alternative<IfAbsent>(operation.condition);
  }

  std::vector<OperationResult> Apply(
      TransactMode mode, const std::vector<TableOperation>& operations) {
    std::vector<OperationResult> results(operations.size());
    if (mode == TransactMode::kAll) {
      for (const auto& operation : operations) {
        if (!this->ConditionHolds(operation)) {
          return results;
        }
      }
    }
    for (std::size_t i = 0; i < operations.size(); ++i) {
      results[i].applied = this->ConditionHolds(operations[i]);
      if (results[i].applied) {
        results[i].version = this->Write(operations[i]);
      }
    }
    return results;
  }

  std::uint64_t Write(const TableOperation& operation) {
    if (!operation.put) {
      this->items.erase(operation.key);
      return 0;
    }
    auto& item = this->items[operation.key];
    item = {operation.key, *operation.put, item.version + 1};
    return item.version;
  }
};

}  // namespace qp::testing
