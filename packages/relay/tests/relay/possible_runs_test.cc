#include "relay/possible_runs.h"

#include <catch2/catch.hpp>

namespace qp::relay::testing {

TEST_CASE("A try counts as a run until it is certain that it has not run",
          "[relay][retries]") {
  PossibleRuns runs;
  CHECK(runs.empty());
  runs.Add(1);
  runs.Add(2);
  CHECK(runs.count() == 2);
  runs.Remove(1);
  CHECK(runs.count() == 1);
  CHECK_FALSE(runs.Contains(1));
  CHECK(runs.Contains(2));
  runs.Remove(1);
  CHECK(runs.count() == 1);
  runs.Remove(2);
  CHECK(runs.empty());
}

}  // namespace qp::relay::testing
