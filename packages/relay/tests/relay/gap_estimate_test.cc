#include "relay/gap_estimate.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace qp::relay::testing {

using std::chrono::milliseconds;

TEST_CASE("Without enough gaps the bound is the longest", "[relay][gaps]") {
  GapEstimate estimate;
  for (int count = 0; count < GapEstimate::kNeeded; ++count) {
    CHECK(estimate.Bound() == GapEstimate::kMost);
    estimate.Note(milliseconds(40));
  }
  CHECK(estimate.Bound() < GapEstimate::kMost);
}

// A stream that was moved only after 600 ms was late for certain.
TEST_CASE("Steady events give a bound that leaves time to move",
          "[relay][gaps]") {
  GapEstimate estimate;
  for (int count = 0; count < 20; ++count) {
    estimate.Note(milliseconds(50 + 10 * (count % 2)));
  }
  CHECK(estimate.Bound() <= milliseconds(120));
}

TEST_CASE("Slow but sound events are not taken for silence", "[relay][gaps]") {
  rc::check("gaps within a third of their mean keep the bound", [] {
    const int mean_ms = *rc::gen::inRange(20, 400);
    GapEstimate estimate;
    for (int count = 0; count < 60; ++count) {
      const int gap_ms =
          *rc::gen::inRange(mean_ms * 2 / 3, mean_ms * 4 / 3 + 1);
      if (count > 20) {
        RC_ASSERT(milliseconds(gap_ms) < estimate.Bound() + milliseconds(40));
      }
      estimate.Note(milliseconds(gap_ms));
    }
  });
}

TEST_CASE("The bound stays between its limits", "[relay][gaps]") {
  rc::check("for any gaps", [] {
    GapEstimate estimate;
    const auto gaps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5000));
    for (const int gap_ms : gaps) {
      estimate.Note(milliseconds(gap_ms));
      RC_ASSERT(estimate.Bound() >= GapEstimate::kLeast);
      RC_ASSERT(estimate.Bound() <= GapEstimate::kMost);
    }
  });
}

}  // namespace qp::relay::testing
