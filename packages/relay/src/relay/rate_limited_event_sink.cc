#include "relay/rate_limited_event_sink.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace qp::relay {

namespace {

bool ConcernsOneRequest(EventId id) {
  return id == EventId::kRelayRequestFinished ||
         id == EventId::kRelayAttemptFailed ||
         id == EventId::kServerSuspected || id == EventId::kCrashProbed ||
         id == EventId::kServerLimited || id == EventId::kServerLimitEnded;
}

}  // namespace

RateLimitedEventSink::RateLimitedEventSink(EventSink& target, const Clock& time)
    : inner(target), clock(time), refilled_at(time.Now()) {}

void RateLimitedEventSink::Record(EventId id, std::vector<EventField> fields) {
  if (ConcernsOneRequest(id) && !this->TryAcquireToken()) {
    ++this->suppressed;
    return;
  }
  this->inner.Record(id, std::move(fields));
}

void RateLimitedEventSink::ReportSuppressed() {
  const auto count = std::exchange(this->suppressed, 0);
  if (count > 0) {
    this->inner.Record(EventId::kLogLinesSuppressed,
                       {{"lines", std::to_string(count)}});
  }
}

bool RateLimitedEventSink::TryAcquireToken() {
  const TimePoint now = this->clock.Now();
  const double elapsed =
      std::chrono::duration<double>(now - this->refilled_at).count();
  this->refilled_at = now;
  this->tokens = std::min(kBurst, this->tokens + elapsed * kLinesPerSecond);
  if (this->tokens < 1) {
    return false;
  }
  this->tokens -= 1;
  return true;
}

}  // namespace qp::relay
