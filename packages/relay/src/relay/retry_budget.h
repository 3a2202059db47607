#pragma once

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

#include "foundation/clock.h"

namespace qp::relay {

/// Limits the retries of requests to each service over a sliding window. The
/// fixed part of the limit (Limits::extra) is divided equally among all
/// processes, so that they keep the limit together without coordination.
class RetryBudget {
 public:
  struct Limits {
    double ratio = 0.2;  ///< Retries for each request in the window.
    /// Further retries allowed in the window, for all processes together.
    double extra = 0;
    /// Length of the sliding window.
    Duration window = std::chrono::seconds(10);
  };

  /// `start` is the start of the process, which does not know the retries of
  /// its earlier incarnation.
  RetryBudget(Limits initial, TimePoint start)
      : limits(initial), process_start(start) {}

  void SetLimits(Limits given) { this->limits = given; }
  /// Sets the number of processes that share the fixed part of the limit.
  void SetProcessCount(std::size_t count) { this->process_count = count; }

  void RecordRequest(std::string_view service, TimePoint now);
  /// Counts one more retry and returns true if the limit allows it and
  /// `reserved` further ones, else returns false.
  bool TryAcquire(std::string_view service, TimePoint now, double reserved = 0);

 private:
  /// Number of steps for which requests and retries are counted. The window
  /// advances in steps of a fifth of its length. One more step is kept, so that
  /// the counts cover any span of the window's length.
  static constexpr std::size_t kSteps = 6;
  /// Fraction of the limit that a process uses. The rest is a margin: a process
  /// counts requests when it sends them, but the limit applies when they arrive
  /// at the service.
  static constexpr double kUsableFraction = 0.6;
  /// Fraction of the limit that a process uses in its first window, in which
  /// its earlier incarnation can have used kUsableFraction of the same limit.
  static constexpr double kInitialUsableFraction = 0.4;

  /// Requests and retries of one service in each step of the window.
  struct Usage {
    std::array<double, kSteps> requests{};
    std::array<double, kSteps> retries{};
    std::int64_t step = 0;  ///< Index of the newest step.
  };

  /// Returns the counts of `service`, without the steps that have left the
  /// window at `now`.
  Usage& Advance(std::string_view service, TimePoint now);

  Limits limits;
  TimePoint process_start;
  std::size_t process_count = 1;
  std::map<std::string, Usage, std::less<>> usage;
};

}  // namespace qp::relay
