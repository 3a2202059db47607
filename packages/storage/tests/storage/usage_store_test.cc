#include "storage/usage_store.h"

#include <catch2/catch.hpp>

#include "storage/memory_table.h"
#include "testing/test_runtime.h"

using namespace std::chrono_literals;

namespace {

constexpr qp::WallMillis kNoon = 1796385600000;  // 2026-12-04T12:00:00Z

/// Clock whose wall time a test sets.
class FakeWallClock : public qp::Clock {
 public:
  qp::TimePoint Now() const override { return {}; }
  qp::WallMillis WallNow() const override { return this->wall; }
  qp::TimerId Schedule(qp::TimePoint, std::function<void()>) override {
    return 0;
  }
  void Cancel(qp::TimerId) override {}

  qp::WallMillis wall = kNoon;
};

struct Fixture {
  void Flush(qp::UsageStore& store) {
    qp::asio::co_spawn(this->runtime.io(), store.Flush(), qp::asio::detached);
    this->runtime.Settle();
  }

  double Hours(qp::UsageStore& store) {
    const auto hours = *this->runtime.RunFor(store.HoursOf("2026-12"), 1s);
    double sum = 0;
    for (const auto& entry : hours.value()) {
      sum += entry.hours;
    }
    return sum;
  }

  void Run(qp::UsageStore& store, int minutes) {
    for (int i = 0; i < minutes; ++i) {
      store.RecordRunning({"engine-1", "t4-16g", "sindh"});
      this->clock.wall += 60'000;
    }
  }

  qp::testing::TestRuntime runtime;
  qp::testing::MemoryTable table;
  FakeWallClock clock;
};

}  // namespace

TEST_CASE("Days and minutes are counted in UTC", "[usage]") {
  CHECK(qp::DayOf(kNoon) == qp::UsageDay{"2026-12", "04"});
  CHECK(qp::MinuteOfDay(kNoon) == 720);
  qp::MinuteSet minutes;
  minutes.set(0).set(721).set(1439);
  CHECK(qp::ParseMinutes(qp::ToHex(minutes)) == minutes);
  CHECK_FALSE(qp::ParseMinutes("0f"));
}

TEST_CASE("Minutes seen by two observers of one VM are counted once",
          "[usage]") {
  Fixture fixture;
  qp::UsageStore first(fixture.table, fixture.clock);
  qp::UsageStore second(fixture.table, fixture.clock);
  fixture.Run(first, 60);
  fixture.clock.wall = kNoon + 30 * 60'000;
  fixture.Run(second, 60);
  fixture.Flush(first);
  fixture.Flush(second);
  CHECK(fixture.Hours(first) == Approx(1.5));
}

TEST_CASE("Minutes whose write failed are written by the next flush",
          "[usage]") {
  Fixture fixture;
  qp::UsageStore store(fixture.table, fixture.clock);
  fixture.Run(store, 30);
  fixture.table.down = true;
  fixture.Flush(store);
  fixture.table.down = false;
  CHECK(fixture.Hours(store) == Approx(0));
  fixture.Flush(store);
  CHECK(fixture.Hours(store) == Approx(0.5));
}
