#pragma once

#include <cstdint>
#include <vector>

#include "foundation/clock.h"
#include "foundation/event.h"

namespace qp::relay {

/// Limits the rate of events that concern single requests, so that a flood of
/// requests does not flood the log. All other events pass.
class RateLimitedEventSink : public EventSink {
 public:
  /// Average rate of lines that pass. It bounds the log of the smallest VM,
  /// with a quarter of a core, which serves about 30 requests a second in a
  /// burst: the limit allows two lines for each of them.
  static constexpr double kLinesPerSecond = 60;
  /// Number of lines that can pass at once after 4 s without any.
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
