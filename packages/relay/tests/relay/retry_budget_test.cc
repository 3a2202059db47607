#include "relay/retry_budget.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <deque>

namespace qp::relay::testing {

using std::chrono::milliseconds;

namespace {

RetryBudget::Limits MakeLimits(double ratio, double extra) {
  return {ratio, extra, std::chrono::seconds(10)};
}

/// Start time of a process whose first window ended long ago.
const TimePoint kLongRunningStart{};

}  // namespace

TEST_CASE("Processes share the fixed part of the limit", "[relay][retries]") {
  RetryBudget retry_budget(MakeLimits(0, 100), kLongRunningStart);
  retry_budget.SetProcessCount(10);
  const TimePoint now{std::chrono::hours(1)};
  int acquired = 0;
  while (retry_budget.TryAcquire("s", now)) {
    ++acquired;
  }
  CHECK(acquired >= 1);
  CHECK(acquired <= 10);
}

TEST_CASE("Retries are allowed again after the window has passed",
          "[relay][retries]") {
  RetryBudget retry_budget(MakeLimits(0, 4), kLongRunningStart);
  const TimePoint start{std::chrono::hours(1)};
  while (retry_budget.TryAcquire("s", start)) {
  }
  CHECK_FALSE(retry_budget.TryAcquire("s", start + milliseconds(9900)));
  CHECK(retry_budget.TryAcquire("s", start + milliseconds(12100)));
}

TEST_CASE("Each service has its own limit", "[relay][retries]") {
  RetryBudget retry_budget(MakeLimits(0, 4), kLongRunningStart);
  const TimePoint now{std::chrono::hours(1)};
  while (retry_budget.TryAcquire("s", now)) {
  }
  CHECK(retry_budget.TryAcquire("t", now));
}

TEST_CASE("Retries in any span of the window's length stay within the limit",
          "[relay][retries]") {
  CHECK(rc::check("for any times of requests and repeats", [] {
    const auto limits = MakeLimits(0.2, 20);
    RetryBudget retry_budget(limits, kLongRunningStart);
    TimePoint now{std::chrono::hours(1)};
    std::deque<TimePoint> requests;
    std::deque<TimePoint> retries;
    const auto steps =
        *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 300));
    for (const int step : steps) {
      now += milliseconds(step);
      if (step % 3 == 0) {
        retry_budget.RecordRequest("s", now);
        requests.push_back(now);
      } else if (retry_budget.TryAcquire("s", now)) {
        retries.push_back(now);
      }
      const auto count = [now, &limits](const std::deque<TimePoint>& times,
                                        int windows) {
        return std::count_if(times.begin(), times.end(), [&](TimePoint at) {
          return now - at < limits.window * windows;
        });
      };
      // Requests of the previous window also count, because the limit is
      // checked against the busiest window in that time.
      RC_ASSERT(count(retries, 1) <=
                limits.ratio * count(requests, 2) + limits.extra);
    }
  }));
}

TEST_CASE(
    "A process and its earlier incarnation stay within the limit together",
    "[relay][retries]") {
  const auto limits = MakeLimits(0, 100);
  const TimePoint now{std::chrono::hours(1)};
  int acquired = 0;
  RetryBudget before(limits, kLongRunningStart);
  while (before.TryAcquire("s", now)) {
    ++acquired;
  }
  RetryBudget after(limits, now + milliseconds(10));
  while (after.TryAcquire("s", now + milliseconds(20))) {
    ++acquired;
  }
  CHECK(acquired <= 100);
}

}  // namespace qp::relay::testing
