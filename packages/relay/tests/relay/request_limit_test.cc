#include "relay/request_limit.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "foundation/event.h"
#include "relay/limit_tracker.h"

namespace qp::relay::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kNow{std::chrono::hours(1)};
/// Span in which the users count the requests that a server gets.
constexpr Duration kWindow = seconds(4);

/// Most requests in the users' window that `limit` allows.
double AllowedInWindow(double limit) { return 1.5 * limit * 4 + 5; }

std::vector<std::string> MakeNames(int count) {
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(count));
  for (int index = 0; index < count; ++index) {
    names.push_back("front-" + std::to_string(index));
  }
  return names;
}

RequestLimit MakeLimit(double rate, double share, TimePoint now) {
  RequestLimit limit;
  limit.Record(rate, now);
  limit.SetShare(share, now);
  return limit;
}

std::size_t MostInWindow(const std::vector<TimePoint>& sorted) {
  std::size_t most = 0;
  for (std::size_t first = 0, end = 0; first < sorted.size(); ++first) {
    while (end < sorted.size() && sorted[end] - sorted[first] < kWindow) {
      ++end;
    }
    most = std::max(most, end - first);
  }
  return most;
}

}  // namespace

TEST_CASE("All processes together keep to a server's limit", "[relay][limit]") {
  CHECK(rc::check("for any limit, processes and idle times", [] {
    const int count = *rc::gen::inRange(1, 200);
    const double rate = *rc::gen::inRange(0, 400) / 10.0;
    const auto names = MakeNames(count);
    const TimePoint begin = kNow + seconds(*rc::gen::inRange(0, 60));
    std::vector<TimePoint> sent;
    for (const auto& name : names) {
      RequestLimit limit =
          MakeLimit(rate, ShareOfLimit(rate, "s1", name, names), kNow);
      // Idle at first, then as many requests as there is room for.
      limit.Record(rate, begin);
      TimePoint now = begin + milliseconds(*rc::gen::inRange(0, 3'000));
      while (now < begin + seconds(30)) {
        if (limit.TryAcquire(now)) {
          sent.push_back(now);
        }
        const auto next = limit.NextRoom(now);
        if (!next) {
          break;
        }
        RC_ASSERT(limit.HasRoom(*next));
        now = *next;
      }
    }
    std::sort(sent.begin(), sent.end());
    RC_ASSERT(MostInWindow(sent) <= AllowedInWindow(rate));
    // What the server takes is used, apart from what can't be divided.
    RC_ASSERT(sent.size() + 1 >= 15 * rate);
  }));
}

TEST_CASE("Processes that disagree on one name stay within the limit",
          "[relay][limit]") {
  CHECK(rc::check("for any limit", [] {
    const int count = *rc::gen::inRange(3, 100);
    const double rate = *rc::gen::inRange(1, 300) / 10.0;
    const auto names = MakeNames(count);
    auto others = names;
    others.erase(others.begin() + *rc::gen::inRange(0, count));
    double total = 0;
    int holders = 0;
    for (const auto& name : names) {
      const bool knows_all = *rc::gen::arbitrary<bool>();
      const double share =
          ShareOfLimit(rate, "s1", name, knows_all ? names : others);
      total += share * rate * 4;
      holders += share > 0 ? 1 : 0;
    }
    RC_ASSERT(total + holders <= AllowedInWindow(rate));
  }));
}

TEST_CASE("Without knowing the processes a process has no part of a limit",
          "[relay][limit]") {
  CHECK(ShareOfLimit(5, "s1", "front-0", {}) == 0);
  CHECK(ShareOfLimit(5, "s1", "front-9", MakeNames(3)) == 0);
  RequestLimit limit = MakeLimit(5, 0, kNow);
  CHECK_FALSE(limit.HasRoom(kNow + seconds(30)));
  CHECK_FALSE(limit.NextRoom(kNow));
}

TEST_CASE("Nothing is saved up before a limit is named", "[relay][limit]") {
  RequestLimit limit;
  limit.SetShare(1, kNow);
  for (int request = 0; request < 100; ++request) {
    CHECK(limit.TryAcquire(kNow));
  }
  CHECK(limit.Record(2.0, kNow + seconds(10)));
  limit.SetShare(1, kNow + seconds(10));
  CHECK_FALSE(limit.HasRoom(kNow + seconds(10)));
  CHECK(limit.NextRoom(kNow + seconds(10)) ==
        kNow + seconds(10) + milliseconds(500));
}

TEST_CASE("A limit ends when a later answer names none or it is too old",
          "[relay][limit]") {
  RequestLimit limit = MakeLimit(0, 1, kNow);
  CHECK_FALSE(limit.HasRoom(kNow));
  SECTION("a later answer") {
    CHECK(limit.Record(std::nullopt, kNow + seconds(1)));
    CHECK(limit.HasRoom(kNow + seconds(1)));
  }
  SECTION("an earlier answer does not end it") {
    CHECK_FALSE(limit.Record(std::nullopt, kNow - seconds(1)));
    CHECK_FALSE(limit.HasRoom(kNow));
  }
  SECTION("no answer for a long time") {
    CHECK(limit.HasRoom(kNow + RequestLimit::kMaxAge + milliseconds(1)));
  }
  SECTION("a limit of 0 leaves room for a request that can show its end") {
    CHECK(limit.NextRoom(kNow) == kNow + seconds(10));
  }
}

namespace {

/// Tracker of one process that knows server s1.
struct Tracked {
  explicit Tracked(const std::string& name) {
    ServerRecord record;
    record.id = "s1";
    record.service = "ledger";
    this->servers.Put(record, kNow);
    this->tracker.SetProcesses(name, MakeNames(3), kNow);
  }
  Server& server() { return *this->servers.Find("s1"); }

  NullEventSink events;
  ServerDirectory servers;
  LimitTracker tracker{servers, events};
};

}  // namespace

TEST_CASE("A limit is known from a peer before the server names it",
          "[relay][limit]") {
  Tracked told("front-0");
  Tracked other("front-1");
  told.tracker.RecordLimit(told.server(), 2, kNow);
  other.tracker.Merge(told.tracker.MakeReports(kNow + milliseconds(20)),
                      kNow + milliseconds(20));
  CHECK(other.server().request_limit.RateAt(kNow + milliseconds(20)) == 2);
  CHECK(other.server().request_limit.share() > 0);
  SECTION("and so is its end") {
    told.tracker.RecordNoLimit(told.server(), kNow + seconds(2));
    other.tracker.Merge(told.tracker.MakeReports(kNow + seconds(3)),
                        kNow + seconds(3));
    CHECK_FALSE(other.server().request_limit.RateAt(kNow + seconds(3)));
  }
  SECTION("an older statement of a peer does not bring it back") {
    const auto older = other.tracker.MakeReports(kNow + milliseconds(500));
    told.tracker.RecordNoLimit(told.server(), kNow + seconds(1));
    told.tracker.Merge(older, kNow + milliseconds(1100));
    CHECK_FALSE(told.server().request_limit.RateAt(kNow + seconds(2)));
  }
}

// Guards against processes that keep a limit in force by reporting it to each
// other, although no server names it any more.
TEST_CASE("A limit that is only passed on between processes grows old",
          "[relay][limit]") {
  Tracked first("front-0");
  Tracked second("front-1");
  first.tracker.RecordLimit(first.server(), 2, kNow);
  TimePoint now = kNow;
  while (now < kNow + RequestLimit::kMaxAge + seconds(10)) {
    const auto from_first = first.tracker.MakeReports(now);
    const auto from_second = second.tracker.MakeReports(now);
    now += milliseconds(5);  // The time that the reports travel.
    second.tracker.Merge(from_first, now);
    first.tracker.Merge(from_second, now);
    now += milliseconds(145);
  }
  CHECK_FALSE(first.server().request_limit.RateAt(now));
  CHECK_FALSE(second.server().request_limit.RateAt(now));
}

TEST_CASE("A limit is kept without peers", "[relay][limit]") {
  Tracked alone("front-0");
  alone.tracker.RecordLimit(alone.server(), 1, kNow);
  int sent = 0;
  for (TimePoint now = kNow; now < kNow + seconds(40);
       now += milliseconds(10)) {
    sent += alone.server().request_limit.TryAcquire(now) ? 1 : 0;
  }
  // Each of three processes may send a third of 40 requests.
  CHECK(sent <= 14);
}

}  // namespace qp::relay::testing
