#include "storage/configuration_store.h"

#include <catch2/catch.hpp>

#include "storage/memory_table.h"
#include "testing/test_runtime.h"

using namespace std::chrono_literals;
using qp::StoreStatus;

namespace {

struct Fixture {
  qp::StoreReport Change(std::uint64_t expected, std::uint64_t random) {
    qp::Configuration next;
    next.change_id = qp::ConfigurationStore::MakeChangeId(expected, random);
    next.price_sheet.currency = "PKR";
    return *this->runtime.RunFor(this->store.Change(next, expected), 10s);
  }

  qp::testing::TestRuntime runtime;
  qp::testing::MemoryTable table;
  qp::ConfigurationStore store{table, runtime.clock()};
};

}  // namespace

TEST_CASE("Only one of two changes that expect the same version is accepted",
          "[configuration]") {
  Fixture fixture;
  CHECK(fixture.Change(0, 1).status == StoreStatus::kAccepted);
  const auto second = fixture.Change(0, 2);
  CHECK(second.status == StoreStatus::kRefused);
  CHECK(second.version == 1);
  CHECK(fixture.Change(1, 3).status == StoreStatus::kAccepted);
}

TEST_CASE("A change whose response was lost is resolved by its id",
          "[configuration]") {
  Fixture fixture;

  SECTION("the change took effect") {
    fixture.table.lose_answer = true;
    const auto report = fixture.Change(0, 1);
    CHECK(report.status == StoreStatus::kAccepted);
    CHECK(report.version == 1);
  }
  SECTION("the change did not take effect but can still arrive") {
    fixture.table.lose_write = true;
    CHECK(fixture.Change(0, 1).status == StoreStatus::kUnknown);
  }
  SECTION("the change is refused for good once another created the version") {
    fixture.table.lose_write = true;
    fixture.Change(0, 1);
    fixture.table.lose_write = false;
    fixture.Change(0, 2);
    const auto id = qp::ConfigurationStore::MakeChangeId(0, 1);
    const auto report = *fixture.runtime.RunFor(fixture.store.Resolve(id), 1s);
    CHECK(report.status == StoreStatus::kRefused);
  }
}

TEST_CASE("A change during a table outage is not accepted", "[configuration]") {
  Fixture fixture;
  fixture.table.down = true;
  CHECK(fixture.Change(0, 1).status == StoreStatus::kUnavailable);
  CHECK(fixture.table.items.empty());
}
