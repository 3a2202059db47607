#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "foundation/clock.h"

namespace qp::relay {

/// Bounds the arrivals at a service beyond the first of each request, over a
/// sliding window. The fixed part of the bound is shared among all processes
/// in equal parts, so that together they keep it without talking.
class RetryBudget {
 public:
  struct Limits {
    double ratio = 0.2;  ///< Of the requests in the window.
    double extra = 0;    ///< Besides, for all processes together.
    Duration window = std::chrono::seconds(10);
  };

  /// `started_at` is the start of the process, which knows nothing of what an
  /// earlier incarnation has used.
  RetryBudget(Limits initial, TimePoint started_at)
      : limits(initial), started(started_at) {}

  void SetLimits(Limits given) { this->limits = given; }
  /// Processes that share the fixed part.
  void SetProcessCount(std::size_t count) { this->processes = count; }

  void RecordRequest(std::string_view service, TimePoint now);
  /// Counts one more arrival if the bound allows it.
  bool TryAcquire(std::string_view service, TimePoint now);

 private:
  /// The window moves on in steps of a fifth of its length; one step more is
  /// kept, so that any span of its length lies inside of what is counted.
  static constexpr std::size_t kSteps = 6;
  /// Part of the bound that is used: requests are counted where they are
  /// sent, the bound where they arrive.
  static constexpr double kUse = 0.6;
  /// The same in the first window of a process: its earlier incarnation may
  /// have used its own part in the same span.
  static constexpr double kFirstUse = 0.4;

  struct Usage {
    std::array<double, kSteps> requests{};
    std::array<double, kSteps> retries{};
    std::int64_t step = 0;  ///< Number of the newest step.
  };

  Usage& Advance(std::string_view service, TimePoint now);

  Limits limits;
  TimePoint started;
  std::size_t processes = 1;
  std::map<std::string, Usage, std::less<>> usage;
};

}  // namespace qp::relay
