#pragma once

#include <memory>
#include <string>
#include <vector>

#include "foundation/clock.h"
#include "storage/table.h"

namespace qp {

/// Groups the kEach operations of concurrent callers into fewer writes, since
/// the table limits writes and not operations. Used on one thread. Each caller
/// gets the results of its own operations; an error of the write goes to all
/// callers of the group. Everything else passes through.
class GroupedTable final : public Table {
 public:
  static constexpr std::size_t kMaxOperations = 32;  // Limit of one write.
  /// Longest wait of the first operation of a group.
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
