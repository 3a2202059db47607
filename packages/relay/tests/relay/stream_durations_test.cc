#include "relay/stream_durations.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace qp::relay::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_CASE("The estimate of a stream's duration grows with its tokens",
          "[relay][stop]") {
  StreamDurations durations;
  for (int stream = 0; stream < 50; ++stream) {
    durations.Record("model", 100, seconds(1));
  }
  const Duration one = durations.Estimate("model", 100).value();
  CHECK(one >= seconds(1));
  CHECK(one < milliseconds(1100));
  CHECK(durations.Estimate("model", 500).value() >
        seconds(5) - milliseconds(1));
}

TEST_CASE("Most streams don't exceed the estimate", "[relay][stop]") {
  StreamDurations durations;
  int exceeding = 0;
  constexpr int kStreams = 200;
  for (int stream = 0; stream < kStreams; ++stream) {
    const Duration duration = milliseconds(600 + 100 * (stream * 7 % 9));
    const auto estimate = durations.Estimate("model", 100);
    exceeding += estimate && duration > *estimate;
    durations.Record("model", 100, duration);
  }
  CHECK(exceeding <= kStreams / 10);
}

TEST_CASE("Durations of other services and without tokens don't count",
          "[relay][stop]") {
  StreamDurations durations;
  CHECK_FALSE(durations.Estimate("model", 100));
  durations.Record("model", 0, seconds(1));
  durations.Record("other", 10, seconds(1));
  CHECK_FALSE(durations.Estimate("model", 100));
  CHECK_FALSE(durations.Estimate("other", -1));
  CHECK(durations.Estimate("other", 1e300) == StreamDurations::kMaxEstimate);
}

}  // namespace qp::relay::testing
