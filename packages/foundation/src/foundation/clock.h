#pragma once

#include <chrono>
#include <cstdint>
#include <functional>

namespace qp {

using Duration = std::chrono::nanoseconds;
using TimePoint = std::chrono::steady_clock::time_point;
/// Milliseconds since the Unix epoch.
using WallMillis = std::int64_t;
using TimerId = std::uint64_t;

/// Source of all time and timers, so that tests can control both.
class Clock {
 public:
  virtual ~Clock() = default;

  /// Monotonic time of this process.
  virtual TimePoint Now() const = 0;

  /// Wall-clock time. Not monotonic; for reports and timestamps only.
  virtual WallMillis WallNow() const = 0;

  /// Runs `callback` once, at or after `at`, on a thread of the actor system.
  /// It must not block, and must post any work that the request thread owns.
  virtual TimerId Schedule(TimePoint at, std::function<void()> callback) = 0;

  /// Cancels a timer that has not run yet; unknown ids are ignored.
  virtual void Cancel(TimerId id) = 0;
};

}  // namespace qp
