#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "foundation/asio.h"
#include "foundation/error.h"

namespace qp {

struct TableItem {
  std::string key;
  nlohmann::json value;
  std::uint64_t version = 0;  ///< Increases with each write of the item.
};

/// The operation applies only if the item does not exist.
struct IfAbsent {};
/// The operation applies only if the item exists with this version.
struct IfVersion {
  std::uint64_t version = 0;
};
/// The operation applies only if member `field` of the item's value equals
/// `value`. With `or_absent`, it also applies if the item does not exist.
struct IfField {
  std::string field;
  nlohmann::json value;
  bool or_absent = false;
};
struct Unconditional {};
using TableCondition =
    std::variant<Unconditional, IfAbsent, IfVersion, IfField>;

struct TableOperation {
  std::string key;
  std::optional<nlohmann::json> put;  ///< Empty: deletes the item.
  TableCondition condition;
};

/// Transaction of one operation. Replaces an initializer list, which GCC 12
/// fails to compile in a coroutine.
inline std::vector<TableOperation> Single(TableOperation operation) {
  std::vector<TableOperation> operations;
  operations.push_back(std::move(operation));
  return operations;
}

struct OperationResult {
  bool applied = false;
  std::uint64_t version = 0;  ///< Item version after the operation.
};

enum class TransactMode {
  kAll,   ///< All operations apply, or none.
  kEach,  ///< Each operation applies by its own condition.
};

/// Client of the platform's transactional table service. One Transact counts
/// as one write. Errors of Transact: kUnavailable if nothing was written,
/// kUnknownEffect if it is not known whether the write took effect.
class Table {
 public:
  virtual ~Table() = default;
  virtual Task<Result<std::optional<TableItem>>> Read(std::string key) = 0;
  virtual Task<Result<std::vector<TableItem>>> Scan(std::string prefix) = 0;
  virtual Task<Result<std::vector<OperationResult>>> Transact(
      TransactMode mode, std::vector<TableOperation> operations) = 0;
};

}  // namespace qp
