#pragma once

#include <memory>
#include <string>
#include <vector>

#include "foundation/clock.h"
#include "storage/table.h"

namespace qp {

/// Combines the kEach operations of concurrent callers into fewer writes,
/// because the table limits writes, not operations. Each caller gets the
/// results of its own operations; an error of the write goes to every caller in
/// the group. Other calls are forwarded unchanged. Not thread-safe.
class GroupedTable final : public Table {
 public:
  static constexpr std::size_t kMaxOperations = 32;  ///< Per write.
  /// Maximum delay that grouping adds to the first operation of a group.
  static constexpr Duration kMaxWait = std::chrono::milliseconds(4);

  GroupedTable(Clock& clock, Table& inner);
  ~GroupedTable() override;

  Task<Result<std::optional<TableItem>>> Read(std::string key) override;
  Task<Result<std::vector<TableItem>>> Scan(std::string prefix) override;
  Task<Result<std::vector<OperationResult>>> Transact(
      TransactMode mode, std::vector<TableOperation> operations) override;

 private:
  struct Group;
  struct State;

  std::shared_ptr<State> state;
};

}  // namespace qp
