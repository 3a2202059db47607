#include "relay/move_caution.h"

#include <catch2/catch.hpp>

#include "relay/configurations.h"

namespace qp::relay::testing {

namespace {

const TimePoint kNow{std::chrono::hours(1)};

}  // namespace

// Under overload each early move made engines read one more prompt.
TEST_CASE("Moves away from engines that were only busy pause the next ones",
          "[relay][move]") {
  MoveCaution caution;
  const std::vector<ServerPtr> engines = {MakeEngine("e1", "large", {0, 40}),
                                          MakeEngine("e2", "large", {40, 80})};
  CHECK(caution.MayMove(kNow));
  caution.NoteMove(engines, kNow);
  const TimePoint verdict = kNow + MoveCaution::kVerdict;
  SECTION("if all of them go on") {
    engines[0]->NoteProgress(kNow + milliseconds(50));
    engines[1]->NoteProgress(kNow + milliseconds(90));
    CHECK(caution.MayMove(verdict - milliseconds(1)));
    CHECK_FALSE(caution.MayMove(verdict));
    CHECK_FALSE(
        caution.MayMove(verdict + MoveCaution::kPause - milliseconds(1)));
    CHECK(caution.MayMove(verdict + MoveCaution::kPause));
  }
  SECTION("but not if one of them is lost") {
    engines[0]->NoteProgress(kNow + milliseconds(50));
    CHECK(caution.MayMove(verdict));
  }
}

}  // namespace qp::relay::testing
