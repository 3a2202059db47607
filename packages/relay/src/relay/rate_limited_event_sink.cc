#include "relay/rate_limited_event_sink.h"

#include <algorithm>
#include <chrono>
#include <span>
#include <utility>

namespace qp::relay {

namespace {

bool ConcernsOneRequest(EventId id) {
  return id == EventId::kRelayRequestFinished ||
         id == EventId::kRelayAttemptFailed ||
         id == EventId::kServerSuspected || id == EventId::kCrashProbed ||
         id == EventId::kServerLimited || id == EventId::kServerLimitEnded ||
         id == EventId::kRelaySilentTryContinued ||
         id == EventId::kRelayRequestHedged;
}

/// Whether the event says that a request ended without a whole response.
bool ReportsTruncation(EventId id, std::span<const EventField> fields) {
  return id == EventId::kResponseTruncated ||
         (id == EventId::kRelayRequestFinished &&
          std::any_of(fields.begin(), fields.end(), [](const auto& field) {
            return field.name == "outcome" && field.value == "aborted";
          }));
}

}  // namespace

RateLimitedEventSink::RateLimitedEventSink(EventSink& target, const Clock& time)
    : inner(target),
      clock(time),
      ordinary{kBurst, time.Now()},
      truncated{kTruncatedBurst, time.Now()} {}

void RateLimitedEventSink::Record(EventId id, std::vector<EventField> fields) {
  const TimePoint now = this->clock.Now();
  const bool passes =
      ReportsTruncation(id, fields)
          ? this->truncated.TryAcquire(now)
          : !ConcernsOneRequest(id) || this->ordinary.TryAcquire(now);
  if (passes) {
    this->inner.Record(id, std::move(fields));
  }
}

void RateLimitedEventSink::ReportSuppressed() {
  const auto truncated_lines = std::exchange(this->truncated.suppressed, 0);
  const auto lines =
      truncated_lines + std::exchange(this->ordinary.suppressed, 0);
  if (lines > 0) {
    this->inner.Record(EventId::kLogLinesSuppressed,
                       {{"lines", std::to_string(lines)},
                        {"truncated", std::to_string(truncated_lines)}});
  }
}

bool RateLimitedEventSink::Allowance::TryAcquire(TimePoint now) {
  const double elapsed =
      std::chrono::duration<double>(now - this->refilled_at).count();
  this->refilled_at = now;
  this->tokens =
      std::min(this->burst, this->tokens + elapsed * kLinesPerSecond);
  if (this->tokens < 1) {
    ++this->suppressed;
    return false;
  }
  this->tokens -= 1;
  return true;
}

}  // namespace qp::relay
