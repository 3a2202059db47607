#include "storage/lease.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <map>
#include <vector>

#include "storage/memory_table.h"
#include "testing/test_runtime.h"

using namespace std::chrono_literals;
using qp::Lease;

namespace {

struct Fixture {
  Lease MakeLease(std::string holder) {
    return {this->table, this->runtime.clock(), this->events, "lease/placement",
            std::move(holder)};
  }

  void Tick(Lease& lease) {
    qp::asio::co_spawn(this->runtime.io(), lease.Tick(), qp::asio::detached);
    this->runtime.Settle();
  }

  void Advance(qp::Duration duration) {
    this->runtime.Advance(duration, duration);
  }

  qp::testing::TestRuntime runtime;
  qp::testing::MemoryTable table;
  qp::NullEventSink events;
};

/// Faulty holder that uses the fencing number of its last renewal without
/// checking whether the term has ended.
class TrustingHolder {
 public:
  explicit TrustingHolder(Lease& held) : lease(held) {}

  std::optional<std::uint64_t> FencingNumber() {
    if (const auto fence = this->lease.FencingNumber()) {
      this->last = fence;
    }
    return this->last;
  }

 private:
  Lease& lease;
  std::optional<std::uint64_t> last;
};

/// Runs two holders through `steps`, which tick one of them, start or end a
/// table outage or the loss of responses, or advance the clock. A holder that
/// is not ticked is paused. True if both held a fencing number at the same
/// time; `fence_of` returns whether a lease's holder has one.
template <class FenceOf>
bool BothEverHold(const std::vector<int>& steps, FenceOf fence_of) {
  Fixture fixture;
  Lease first = fixture.MakeLease("first");
  Lease second = fixture.MakeLease("second");
  for (const int step : steps) {
    switch (step) {
      case 0:
        fixture.Tick(first);
        break;
      case 1:
        fixture.Tick(second);
        break;
      case 2:
        fixture.table.down = !fixture.table.down;
        break;
      case 3:
        fixture.table.lose_answer = !fixture.table.lose_answer;
        break;
      default:
        fixture.Advance(std::chrono::seconds(step - 3));
        break;
    }
    if (fence_of(first) && fence_of(second)) {
      return true;
    }
  }
  return false;
}

const auto kSteps = rc::gen::container<std::vector<int>>(
    60, rc::gen::weightedElement<int>(
            {{4, 0}, {4, 1}, {1, 2}, {1, 3}, {2, 4}, {2, 8}, {1, 14}}));

}  // namespace

TEST_CASE("A second holder waits until the first holder's term has ended",
          "[lease]") {
  Fixture fixture;
  Lease first = fixture.MakeLease("first");
  Lease second = fixture.MakeLease("second");
  fixture.Tick(first);
  REQUIRE(first.FencingNumber() == 1);
  fixture.Tick(second);
  CHECK_FALSE(second.FencingNumber());

  SECTION("a paused first holder stops before the second starts") {
    fixture.Advance(Lease::kTerm - Lease::kMargin);
    CHECK_FALSE(first.FencingNumber());
    fixture.Tick(second);
    CHECK_FALSE(second.FencingNumber());
    fixture.Advance(2 * Lease::kMargin);
    fixture.Tick(second);
    CHECK(second.FencingNumber() == 2);
  }
  SECTION("a holder that renews keeps the lease") {
    for (int i = 0; i < 10; ++i) {
      fixture.Advance(Lease::kTickInterval);
      fixture.Tick(first);
      fixture.Tick(second);
    }
    CHECK(first.FencingNumber() == 1);
    CHECK_FALSE(second.FencingNumber());
  }
  SECTION("a lease that its holder released is acquired immediately") {
    qp::asio::co_spawn(fixture.runtime.io(), first.Resign(),
                       qp::asio::detached);
    fixture.runtime.Settle();
    fixture.Tick(second);
    CHECK_FALSE(first.FencingNumber());
    CHECK(second.FencingNumber() == 2);
  }
}

TEST_CASE("A renewal whose response was lost does not extend the term",
          "[lease]") {
  Fixture fixture;
  Lease lease = fixture.MakeLease("only");
  fixture.Tick(lease);
  fixture.table.lose_answer = true;
  fixture.Advance(Lease::kTickInterval);
  fixture.Tick(lease);
  CHECK(lease.TimeLeft() ==
        Lease::kTerm - Lease::kMargin - Lease::kTickInterval);
}

TEST_CASE("Two holders never have permission to send orders at the same time",
          "[lease]") {
  rc::prop("under any sequence of pauses, outages and lost responses", [] {
    const auto steps = *kSteps;
    RC_ASSERT(!BothEverHold(
        steps, [](Lease& lease) { return lease.FencingNumber().has_value(); }));
  });

  SECTION("the check detects a holder that ignores the end of its term") {
    // The first holder pauses; the second acquires the lease after the term.
    const std::vector<int> steps = {0, 1, 8, 8, 8, 1};
    std::map<const Lease*, TrustingHolder> holders;
    CHECK(BothEverHold(steps, [&holders](Lease& lease) {
      auto& holder = holders.try_emplace(&lease, lease).first->second;
      return holder.FencingNumber().has_value();
    }));
  }
}
