#include "foundation/caf_clock.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "foundation/wait.h"
#include "testing/test_runtime.h"

using namespace std::chrono_literals;

TEST_CASE("A timer runs once, when the paused clock reaches its time",
          "[clock]") {
  qp::testing::TestRuntime runtime;
  int runs = 0;
  const auto id = runtime.clock().Schedule(runtime.clock().Now() + 10ms,
                                           [&runs] { ++runs; });

  SECTION("it does not run early and runs once") {
    runtime.Advance(9ms);
    CHECK(runs == 0);
    runtime.Advance(5ms);
    CHECK(runs == 1);
  }
  SECTION("a cancelled timer never runs") {
    runtime.clock().Cancel(id);
    runtime.Advance(50ms);
    CHECK(runs == 0);
  }
}

TEST_CASE("A signal wakes its waiters and ends a wait at its timeout",
          "[wait]") {
  qp::testing::TestRuntime runtime;
  qp::Signal signal(runtime.io().get_executor());

  SECTION("without a notification the wait ends with false") {
    const auto notified =
        runtime.RunFor(signal.WaitFor(runtime.clock(), 20ms), 30ms);
    REQUIRE(notified.has_value());
    CHECK_FALSE(*notified);
  }
  SECTION("a notification ends the wait with true") {
    runtime.clock().Schedule(runtime.clock().Now() + 5ms, [&] {
      qp::asio::post(runtime.io(), [&] { signal.NotifyAll(); });
    });
    const auto notified =
        runtime.RunFor(signal.WaitFor(runtime.clock(), 20ms), 10ms);
    REQUIRE(notified.has_value());
    CHECK(*notified);
  }
}

TEST_CASE("A watchdog expires unless it is restarted or disarmed", "[wait]") {
  qp::testing::TestRuntime runtime;
  int expiries = 0;
  qp::Watchdog watchdog(runtime.clock(), runtime.io().get_executor(), 10ms,
                        [&expiries] { ++expiries; });
  watchdog.Restart();
  runtime.Advance(8ms);
  watchdog.Restart();
  runtime.Advance(8ms);
  CHECK(expiries == 0);

  SECTION("no restart") {
    runtime.Advance(3ms);
    CHECK(expiries == 1);
    CHECK(watchdog.expired());
  }
  SECTION("disarmed") {
    watchdog.Disarm();
    runtime.Advance(30ms);
    CHECK(expiries == 0);
  }
}
