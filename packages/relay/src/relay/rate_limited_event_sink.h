#pragma once

#include <cstdint>
#include <vector>

#include "foundation/clock.h"
#include "foundation/event.h"

namespace qp::relay {

/// Limits the rate of events that concern single requests, so that a flood of
/// requests does not flood the log. All other events pass. Requests that ended
/// without a whole response have an allowance of their own, so that others
/// never hide them.
class RateLimitedEventSink : public EventSink {
 public:
  /// Average rate of lines that pass. It bounds the log of the smallest VM,
  /// with a quarter of a core, which serves about 30 requests a second in a
  /// burst: the limit allows two lines for each of them.
  static constexpr double kLinesPerSecond = 60;
  /// Number of lines that can pass at once after 4 s without any.
  static constexpr double kBurst = 240;
  /// The same for requests that ended without a whole response. At the end of a
  /// planned stop there can be one for each connection of the process.
  static constexpr double kTruncatedBurst = 1000;

  RateLimitedEventSink(EventSink& inner, const Clock& clock);

  void Record(EventId id, std::vector<EventField> fields) override;
  /// Records the number of events dropped since the last call, if any.
  void ReportSuppressed();

 private:
  /// Allowance of one kind of lines, and the lines that exceeded it.
  struct Allowance {
    double burst = 0;
    TimePoint refilled_at;
    double tokens = burst;
    std::uint64_t suppressed = 0;

    /// Whether a line can pass now. Counts it otherwise.
    bool TryAcquire(TimePoint now);
  };

  EventSink& inner;
  const Clock& clock;
  Allowance ordinary;
  Allowance truncated;
};

}  // namespace qp::relay
