#pragma once

#include <cstdint>
#include <vector>

#include "foundation/clock.h"
#include "foundation/event.h"

namespace qp::relay {

/// Passes events on at a bounded rate, so that a flood of requests is no flood
/// of log lines. Events that concern no single request always pass.
class RateLimitedEventSink : public EventSink {
 public:
  /// Lines a second on average, and at once. A VM of a quarter of a core
  /// serves some 30 requests a second in a burst.
  static constexpr double kLinesPerSecond = 60;
  static constexpr double kBurst = 240;

  RateLimitedEventSink(EventSink& inner, const Clock& clock);

  void Record(EventId id, std::vector<EventField> fields) override;
  /// Reports how many lines were left out since the last call.
  void ReportSuppressed();

 private:
  bool TryAcquireToken();

  EventSink& inner;
  const Clock& clock;
  double tokens = kBurst;
  TimePoint refilled_at;
  std::uint64_t suppressed = 0;
};

}  // namespace qp::relay
