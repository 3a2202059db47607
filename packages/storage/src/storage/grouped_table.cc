#include "storage/grouped_table.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "foundation/asio.h"
#include "foundation/spawn.h"

namespace qp {

/// Operations that are sent in one write, and the result of that write.
struct GroupedTable::Group {
  explicit Group(const asio::any_io_executor& executor) : ended(executor) {
    this->ended.expires_at(asio::steady_timer::time_point::max());
  }

  bool HasKeyOf(const std::vector<TableOperation>& others) const {
    for (const auto& other : others) {
      for (const auto& own : this->operations) {
        if (own.key == other.key) {
          return true;
        }
      }
    }
    return false;
  }

  std::vector<TableOperation> operations;
  std::optional<Result<std::vector<OperationResult>>> result;
  asio::steady_timer ended;  ///< Cancelled when `result` is set.
  TimerId timer = 0;         ///< Flushes the group after kMaxWait.
};

struct GroupedTable::State : std::enable_shared_from_this<State> {
  State(Clock& time, Table& table) : clock(time), inner(table) {}

  void Flush(const asio::any_io_executor& executor) {
    auto group = std::exchange(this->open_group, nullptr);
    if (!group) {
      return;
    }
    this->clock.Cancel(group->timer);
    Spawn(executor, "table.write", Write(this->shared_from_this(), group));
  }

  void Open(const asio::any_io_executor& executor) {
    auto group = std::make_shared<Group>(executor);
    this->open_group = group;
    std::weak_ptr<State> weak = this->weak_from_this();
    auto flush = [weak, group, executor] {
      const auto self = weak.lock();
      if (self && self->open_group == group) {
        self->Flush(executor);
      }
    };
    group->timer = this->clock.Schedule(
        this->clock.Now() + kMaxWait,
        [executor, flush = std::move(flush)] { asio::post(executor, flush); });
  }

  static Task<void> Write(std::shared_ptr<State> self,
                          std::shared_ptr<Group> group) {
    const std::size_t count = group->operations.size();
    Result<std::vector<OperationResult>> result = Error{};
    try {
      result = co_await self->inner.Transact(TransactMode::kEach,
                                             std::move(group->operations));
    } catch (const std::exception& failure) {
      // The callers wait for a result.
      result = Error{ErrorCode::kUnknownEffect, "table.transact", "",
                     failure.what()};
    }
    if (result.has_value() && result.value().size() != count) {
      result =
          Error{ErrorCode::kUnknownEffect, "table.transact", "",
                "the number of results differs from the number of operations"};
    }
    group->result = std::move(result);
    group->ended.cancel();
  }

  Clock& clock;
  Table& inner;
  std::shared_ptr<Group> open_group;  ///< Null if no group accepts operations.
};

GroupedTable::GroupedTable(Clock& clock, Table& inner)
    : state(std::make_shared<State>(clock, inner)) {}

GroupedTable::~GroupedTable() = default;

Task<Result<std::optional<TableItem>>> GroupedTable::Read(std::string key) {
  return this->state->inner.Read(std::move(key));
}

Task<Result<std::vector<TableItem>>> GroupedTable::Scan(std::string prefix) {
  return this->state->inner.Scan(std::move(prefix));
}

Task<Result<std::vector<OperationResult>>> GroupedTable::Transact(
    TransactMode mode, std::vector<TableOperation> operations) {
  const auto self = this->state;
  const std::size_t count = operations.size();
  if (mode != TransactMode::kEach || count == 0 || count > kMaxOperations) {
    co_return co_await self->inner.Transact(mode, std::move(operations));
  }
  const auto executor = co_await asio::this_coro::executor;
  // Operations on the same item must be in separate writes, because the order
  // of the operations of one write is undefined.
  if (self->open_group &&
      (self->open_group->operations.size() + count > kMaxOperations ||
       self->open_group->HasKeyOf(operations))) {
    self->Flush(executor);
  }
  if (!self->open_group) {
    self->Open(executor);
  }
  const auto group = self->open_group;
  const auto first = static_cast<std::ptrdiff_t>(group->operations.size());
  std::move(operations.begin(), operations.end(),
            std::back_inserter(group->operations));
  if (group->operations.size() >= kMaxOperations) {
    self->Flush(executor);
  }
  while (!group->result) {
    boost::system::error_code ignored;
    co_await group->ended.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
  if (group->result->has_error()) {
    co_return group->result->error();
  }
  const auto begin = group->result->value().begin() + first;
  co_return std::vector<OperationResult>(
      begin, begin + static_cast<std::ptrdiff_t>(count));
}

}  // namespace qp
