#include "relay/store_availability.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace qp::relay::testing {

namespace {

TimePoint At(int seconds) {
  return TimePoint{} + std::chrono::seconds(seconds);
}

}  // namespace

TEST_CASE("A call without an answer shows that the store was unavailable",
          "[relay][store]") {
  StoreAvailability availability;
  availability.RecordAnswer(At(1), At(1));
  CHECK_FALSE(availability.ReturnedAt(At(2)));
  availability.RecordFailure(At(3));
  CHECK_FALSE(availability.is_available());
  CHECK(availability.ReturnedAt(At(5)) == At(5));
  availability.RecordAnswer(At(6), At(7));
  CHECK(availability.is_available());
  CHECK(availability.ReturnedAt(At(9)) == At(7));
}

// Guards against a call that is given up long after its connection was lost.
TEST_CASE("A call without an answer shows nothing if a later call was answered",
          "[relay][store]") {
  StoreAvailability availability;
  availability.RecordAnswer(At(2), At(2));
  availability.RecordFailure(At(1));
  CHECK(availability.is_available());
  CHECK_FALSE(availability.ReturnedAt(At(3)));
}

TEST_CASE("An answer to an earlier call doesn't show that the store is back",
          "[relay][store]") {
  StoreAvailability availability;
  availability.RecordFailure(At(3));
  availability.RecordAnswer(At(2), At(4));
  CHECK_FALSE(availability.is_available());
  // The failure of another earlier call changes nothing.
  availability.RecordFailure(At(1));
  availability.RecordAnswer(At(4), At(5));
  CHECK(availability.ReturnedAt(At(9)) == At(5));
}

}  // namespace qp::relay::testing
