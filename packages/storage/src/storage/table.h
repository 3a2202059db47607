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
  std::uint64_t version = 0;  ///< Grows with each write of the item.
};

/// The item must not exist.
struct IfAbsent {};
/// The item must have this version.
struct IfVersion {
  std::uint64_t version = 0;
};
/// The named member of the item's value must equal `value`, or the item must
/// be absent if `or_absent`.
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
  std::optional<nlohmann::json> put;  ///< Empty: delete the item.
  TableCondition condition;
};

/// Transaction of one operation. GCC 12 fails on an initializer list inside
/// of a coroutine.
inline std::vector<TableOperation> Single(TableOperation operation) {
  std::vector<TableOperation> operations;
  operations.push_back(std::move(operation));
  return operations;
}

struct OperationResult {
  bool applied = false;
  std::uint64_t version = 0;  ///< Of the item after the operation.
};

enum class TransactMode {
  kAll,   ///< All operations apply or none.
  kEach,  ///< Each applies by its own condition.
};

/// The platform's transactional table service. One Transact counts as one
/// write. Errors: kUnavailable if nothing was written, kUnknownEffect if the
/// write may have taken effect.
class Table {
 public:
  virtual ~Table() = default;
  virtual Task<Result<std::optional<TableItem>>> Read(std::string key) = 0;
  virtual Task<Result<std::vector<TableItem>>> Scan(std::string prefix) = 0;
  virtual Task<Result<std::vector<OperationResult>>> Transact(
      TransactMode mode, std::vector<TableOperation> operations) = 0;
};

}  // namespace qp
