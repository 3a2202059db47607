#include "relay/retry_budget.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <deque>

namespace qp::relay::testing {

using std::chrono::milliseconds;

namespace {

RetryBudget::Limits MakeBound(double ratio, double extra) {
  return {ratio, extra, std::chrono::seconds(10)};
}

/// Start of a process that has been running for long.
const TimePoint kStarted{};

}  // namespace

TEST_CASE("Processes share the fixed part of the bound", "[relay][retries]") {
  RetryBudget retry_budget(MakeBound(0, 100), kStarted);
  retry_budget.SetProcessCount(10);
  const TimePoint now{std::chrono::hours(1)};
  int taken = 0;
  while (retry_budget.TryAcquire("s", now)) {
    ++taken;
  }
  CHECK(taken >= 1);
  CHECK(taken <= 10);
}

TEST_CASE("Repeats are allowed again once the window has passed",
          "[relay][retries]") {
  RetryBudget retry_budget(MakeBound(0, 4), kStarted);
  const TimePoint start{std::chrono::hours(1)};
  while (retry_budget.TryAcquire("s", start)) {
  }
  CHECK_FALSE(retry_budget.TryAcquire("s", start + milliseconds(9900)));
  CHECK(retry_budget.TryAcquire("s", start + milliseconds(12100)));
}

TEST_CASE("Services have bounds of their own", "[relay][retries]") {
  RetryBudget retry_budget(MakeBound(0, 4), kStarted);
  const TimePoint now{std::chrono::hours(1)};
  while (retry_budget.TryAcquire("s", now)) {
  }
  CHECK(retry_budget.TryAcquire("t", now));
}

TEST_CASE("No span of the window's length exceeds the bound",
          "[relay][retries]") {
  rc::check("for any times of requests and repeats", [] {
    const auto bound = MakeBound(0.2, 20);
    RetryBudget retry_budget(bound, kStarted);
    TimePoint now{std::chrono::hours(1)};
    std::deque<TimePoint> requests;
    std::deque<TimePoint> repeats;
    const auto steps =
        *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 300));
    for (const int step : steps) {
      now += milliseconds(step);
      if (step % 3 == 0) {
        retry_budget.RecordRequest("s", now);
        requests.push_back(now);
      } else if (retry_budget.TryAcquire("s", now)) {
        repeats.push_back(now);
      }
      const auto count = [now, &bound](const std::deque<TimePoint>& times,
                                       int windows) {
        return std::count_if(times.begin(), times.end(), [&](TimePoint at) {
          return now - at < bound.window * windows;
        });
      };
      // Requests count over the window and the one before it, as the bound
      // is judged over the busiest of these.
      RC_ASSERT(count(repeats, 1) <=
                bound.ratio * count(requests, 2) + bound.extra);
    }
  });
}

TEST_CASE("A process and its earlier incarnation keep the bound together",
          "[relay][retries]") {
  const auto bound = MakeBound(0, 100);
  const TimePoint now{std::chrono::hours(1)};
  int taken = 0;
  RetryBudget before(bound, kStarted);
  while (before.TryAcquire("s", now)) {
    ++taken;
  }
  RetryBudget after(bound, now + milliseconds(10));
  while (after.TryAcquire("s", now + milliseconds(20))) {
    ++taken;
  }
  CHECK(taken <= 100);
}

}  // namespace qp::relay::testing
