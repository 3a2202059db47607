#include "storage/grouped_table.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "foundation/wait.h"
#include "testing/test_runtime.h"

using namespace std::chrono_literals;
using qp::ErrorCode;
using qp::OperationResult;
using qp::TableOperation;
using qp::TransactMode;

namespace {

enum class InnerFault { kNone, kReversesResults, kWritesTwice, kDropsResult };

/// Records all writes. The version in an operation's result is the number in
/// the operation's key, so that a result shows which operation it belongs to.
class RecordingTable : public qp::Table {
 public:
  RecordingTable(qp::Clock& time, InnerFault broken)
      : clock(time), fault(broken) {}

  qp::Task<qp::Result<std::optional<qp::TableItem>>> Read(
      std::string key) override {
    co_return qp::TableItem{std::move(key), {}, 1};
  }
  qp::Task<qp::Result<std::vector<qp::TableItem>>> Scan(std::string) override {
    co_return std::vector<qp::TableItem>{};
  }
  qp::Task<qp::Result<std::vector<OperationResult>>> Transact(
      TransactMode mode, std::vector<TableOperation> operations) override {
    this->writes.push_back({mode, operations});
    if (this->fault == InnerFault::kWritesTwice) {
      this->writes.push_back({mode, operations});
    }
    co_await qp::SleepFor(this->clock, 3ms);
    if (this->error) {
      co_return *this->error;
    }
    std::vector<OperationResult> results;
    results.reserve(operations.size());
    for (const auto& operation : operations) {
      results.push_back({true, std::stoull(operation.key)});
    }
    if (this->fault == InnerFault::kReversesResults) {
      std::reverse(results.begin(), results.end());
    }
    if (this->fault == InnerFault::kDropsResult) {
      results.pop_back();
    }
    co_return results;
  }

  struct Write {
    TransactMode mode;
    std::vector<TableOperation> operations;
  };
  std::vector<Write> writes;
  std::optional<qp::Error> error;

 private:
  qp::Clock& clock;
  InnerFault fault;
};

using TransactResult = qp::Result<std::vector<OperationResult>>;

struct Fixture {
  explicit Fixture(InnerFault fault = InnerFault::kNone)
      : inner(runtime.clock(), fault), table(runtime.clock(), inner) {}

  /// Starts a call that writes `count` items with keys from `first` on. Returns
  /// the index of the call in `results` and `finished_at`.
  std::size_t Start(std::uint64_t first, std::size_t count = 1,
                    TransactMode mode = TransactMode::kEach) {
    std::vector<TableOperation> operations;
    operations.reserve(count);
    for (std::size_t i = 0; i < count; ++i) {
      operations.push_back({std::to_string(first + i), nlohmann::json{}, {}});
    }
    const std::size_t index = this->results.size();
    this->results.emplace_back();
    this->finished_at.emplace_back();
    qp::asio::co_spawn(this->runtime.io(),
                       this->Run(index, mode, std::move(operations)),
                       qp::asio::detached);
    this->runtime.Settle();
    return index;
  }

  qp::Task<void> Run(std::size_t index, TransactMode mode,
                     std::vector<TableOperation> operations) {
    auto result = co_await this->table.Transact(mode, std::move(operations));
    this->results[index] = std::move(result);
    this->finished_at[index] = this->runtime.clock().Now();
  }

  qp::testing::TestRuntime runtime;
  RecordingTable inner;
  qp::GroupedTable table;
  std::vector<std::optional<TransactResult>> results;
  std::vector<qp::TimePoint> finished_at;
};

struct Arrival {
  std::uint64_t first_item = 0;
  std::size_t count = 1;
  int wait_millis = 0;
};

std::vector<Arrival> MakeArrivals(const std::vector<std::uint16_t>& numbers) {
  std::vector<Arrival> arrivals;
  arrivals.reserve(numbers.size());
  for (const auto number : numbers) {
    arrivals.push_back({number % 50U, 1U + number / 50U % 9U,
                        number % 7 == 0 ? number % 6 : 0});
  }
  return arrivals;
}

std::optional<std::string> CheckWrites(const Fixture& fixture,
                                       std::size_t requested) {
  std::size_t written = 0;
  for (const auto& write : fixture.inner.writes) {
    std::map<std::string, int> keys;
    for (const auto& operation : write.operations) {
      if (++keys[operation.key] > 1) {
        return "a write holds two operations on one item";
      }
    }
    written += write.operations.size();
    if (write.operations.size() > qp::GroupedTable::kMaxOperations) {
      return "a write holds too many operations";
    }
  }
  if (written != requested) {
    return "an operation was lost or written twice";
  }
  return std::nullopt;
}

std::optional<std::string> CheckGrouping(
    InnerFault fault, const std::vector<std::uint16_t>& numbers) {
  Fixture fixture(fault);
  const auto arrivals = MakeArrivals(numbers);
  std::size_t requested = 0;
  std::vector<qp::TimePoint> started_at;
  for (const auto& arrival : arrivals) {
    fixture.runtime.Advance(std::chrono::milliseconds(arrival.wait_millis));
    started_at.push_back(fixture.runtime.clock().Now());
    fixture.Start(arrival.first_item, arrival.count);
    requested += arrival.count;
  }
  fixture.runtime.Advance(20ms);
  for (std::size_t i = 0; i < arrivals.size(); ++i) {
    const auto& result = fixture.results[i];
    if (!result) {
      return "a call has no result";
    }
    if (fixture.finished_at[i] - started_at[i] > 7ms) {
      return "a call waited for longer than its group and its write";
    }
    if (result->has_error()) {
      return "a call failed";
    }
    for (std::size_t k = 0; k < result->value().size(); ++k) {
      if (result->value()[k].version != arrivals[i].first_item + k) {
        return "a call got another operation's result";
      }
    }
  }
  return CheckWrites(fixture, requested);
}

}  // namespace

TEST_CASE("Calls within 4 ms share one write and get their own results",
          "[grouped-table]") {
  Fixture fixture;
  fixture.Start(1);
  fixture.runtime.Advance(3ms);
  fixture.Start(5, 2);
  CHECK(fixture.inner.writes.empty());
  fixture.runtime.Advance(1ms);
  REQUIRE(fixture.inner.writes.size() == 1);
  fixture.runtime.Advance(3ms);
  REQUIRE(fixture.results[0]);
  REQUIRE(fixture.results[1]);
  CHECK(fixture.results[0]->value().front().version == 1);
  CHECK(fixture.results[1]->value().back().version == 6);
}

TEST_CASE("A full group is written immediately", "[grouped-table]") {
  Fixture fixture;
  fixture.Start(0, 20);
  fixture.Start(20, 12);
  REQUIRE(fixture.inner.writes.size() == 1);
  CHECK(fixture.inner.writes[0].operations.size() == 32);
  fixture.Start(40, 20);
  fixture.Start(60, 13);
  CHECK(fixture.inner.writes.size() == 2);
}

TEST_CASE("Transactions and large calls are forwarded without grouping",
          "[grouped-table]") {
  Fixture fixture;
  fixture.Start(0, 2, TransactMode::kAll);
  fixture.Start(10, 33);
  REQUIRE(fixture.inner.writes.size() == 2);
  CHECK(fixture.inner.writes[0].mode == TransactMode::kAll);
  CHECK(fixture.inner.writes[1].operations.size() == 33);
}

TEST_CASE("A failed write reports its error to each caller in the group",
          "[grouped-table]") {
  Fixture fixture;

  SECTION("the error of the write is unchanged") {
    fixture.inner.error =
        qp::Error{ErrorCode::kUnavailable, "table.transact", "", ""};
    fixture.Start(1);
    fixture.Start(2);
    fixture.runtime.Advance(10ms);
    CHECK(fixture.results[0]->error().code == ErrorCode::kUnavailable);
    CHECK(fixture.results[1]->error().code == ErrorCode::kUnavailable);
  }
  SECTION("missing results become kUnknownEffect") {
    Fixture broken(InnerFault::kDropsResult);
    broken.Start(1);
    broken.runtime.Advance(10ms);
    CHECK(broken.results[0]->error().code == ErrorCode::kUnknownEffect);
  }
}

TEST_CASE("Each operation is written once, soon and with its own result",
          "[grouped-table][property]") {
  CHECK(rc::check("each operation once, soon, with its own result",
                  [](const std::vector<std::uint16_t>& numbers) {
                    const auto violation =
                        CheckGrouping(InnerFault::kNone, numbers);
                    if (violation) {
                      RC_FAIL(*violation);
                    }
                  }));
}

TEST_CASE("The check detects a table that mixes up or drops operations",
          "[grouped-table][counter-proof]") {
  const auto fault =
      GENERATE(InnerFault::kReversesResults, InnerFault::kWritesTwice,
               InnerFault::kDropsResult);
  std::mt19937_64 random(20261204);
  std::uniform_int_distribution<std::uint16_t> number;
  bool reported = false;
  for (int run = 0; run < 100 && !reported; ++run) {
    std::vector<std::uint16_t> numbers(20);
    for (auto& value : numbers) {
      value = number(random);
    }
    reported = CheckGrouping(fault, numbers).has_value();
    REQUIRE_FALSE(CheckGrouping(InnerFault::kNone, numbers).has_value());
  }
  CHECK(reported);
}
