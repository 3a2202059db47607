#pragma once

#include <cstdint>
#include <vector>

#include "foundation/clock.h"
#include "foundation/event.h"

namespace qp::relay {

/// Limits the rate of events about single requests, so that a flood of requests
/// does not flood the log. All other events pass.
class RateLimitedEventSink : public EventSink {
 public:
  /// Average rate. A VM of a quarter of a core serves about 30 requests a
  /// second in a burst.
  static constexpr double kLinesPerSecond = 60;
  /// Lines that can pass at once.
  static constexpr double kBurst = 240;

  RateLimitedEventSink(EventSink& inner, const Clock& clock);

  void Record(EventId id, std::vector<EventField> fields) override;
  /// Records the number of events dropped since the last call, if any.
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
