#include "relay/rate_limited_event_sink.h"

#include <catch2/catch.hpp>

#include "relay/recording_event_sink.h"
#include "testing/test_runtime.h"

namespace qp::relay::testing {

namespace {

using std::chrono::milliseconds;

void RecordFinished(EventSink& sink, const std::string& outcome, int count) {
  for (int number = 0; number < count; ++number) {
    sink.Record(EventId::kRelayRequestFinished, {{"outcome", outcome}});
  }
}

}  // namespace

// Guards against truncated responses that no line names: served requests had
// used up the allowance of the log.
TEST_CASE("Lines of served requests don't hide truncated responses",
          "[relay][log]") {
  qp::testing::TestRuntime runtime;
  RecordingEventSink inner;
  RateLimitedEventSink sink(inner, runtime.clock());
  RecordFinished(sink, "served", 300);
  CHECK(inner.events.size() == RateLimitedEventSink::kBurst);
  inner.events.clear();
  RecordFinished(sink, "aborted", 500);
  sink.Record(EventId::kResponseTruncated, {});
  CHECK(inner.events.size() == 501);
  RecordFinished(sink, "aborted", 600);
  CHECK(inner.events.size() == RateLimitedEventSink::kTruncatedBurst);
  sink.ReportSuppressed();
  const auto lines = inner.Find(EventId::kLogLinesSuppressed);
  REQUIRE(lines.size() == 1);
  CHECK(lines.front().Field("lines") == "161");
  CHECK(lines.front().Field("truncated") == "101");
}

TEST_CASE("Suppressed lines are reported once", "[relay][log]") {
  qp::testing::TestRuntime runtime;
  RecordingEventSink inner;
  RateLimitedEventSink sink(inner, runtime.clock());
  RecordFinished(sink, "served", 241);
  sink.ReportSuppressed();
  sink.ReportSuppressed();
  CHECK(inner.Find(EventId::kLogLinesSuppressed).size() == 1);
  inner.events.clear();
  runtime.Advance(milliseconds(1000));
  RecordFinished(sink, "served", 100);
  CHECK(inner.events.size() == RateLimitedEventSink::kLinesPerSecond);
}

}  // namespace qp::relay::testing
