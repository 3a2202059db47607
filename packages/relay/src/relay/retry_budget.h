#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "foundation/clock.h"

namespace qp::relay {

/// Limits the retries of requests to each service over a sliding window. The
/// fixed part of the limit is divided equally among all processes, so that they
/// keep it together without coordination.
class RetryBudget {
 public:
  struct Limits {
    double ratio = 0.2;  ///< Retries for each request in the window.
    double extra = 0;    ///< Further retries of all processes together.
    Duration window = std::chrono::seconds(10);
  };

  /// `start` is the start of the process. Retries of an earlier incarnation are
  /// not known to it.
  RetryBudget(Limits initial, TimePoint start)
      : limits(initial), process_start(start) {}

  void SetLimits(Limits given) { this->limits = given; }
  /// Number of processes that share the fixed part.
  void SetProcessCount(std::size_t count) { this->process_count = count; }

  void RecordRequest(std::string_view service, TimePoint now);
  /// Counts one more retry and returns true if the limit allows it.
  bool TryAcquire(std::string_view service, TimePoint now);

 private:
  /// The window advances in steps of a fifth of its length. One more step is
  /// kept, so that the counts cover any span of the window's length.
  static constexpr std::size_t kSteps = 6;
  /// Fraction of the limit that is used: requests are counted when this process
  /// sends them, but the limit applies when they arrive at the service.
  static constexpr double kUsableFraction = 0.6;
  /// Fraction in the first window of a process: its earlier incarnation can
  /// have used its own fraction in the same span.
  static constexpr double kInitialUsableFraction = 0.4;

  struct Usage {
    std::array<double, kSteps> requests{};
    std::array<double, kSteps> retries{};
    std::int64_t step = 0;  ///< Index of the newest step.
  };

  Usage& Advance(std::string_view service, TimePoint now);

  Limits limits;
  TimePoint process_start;
  std::size_t process_count = 1;
  std::map<std::string, Usage, std::less<>> usage;
};

}  // namespace qp::relay
