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

/// The only source of time and of timers.
class Clock {
 public:
  virtual ~Clock() = default;

  /// Monotonic time of this process.
  virtual TimePoint Now() const = 0;

  /// Wall time; may step, so it is used for reports and stamps only.
  virtual WallMillis WallNow() const = 0;

  /// Runs `callback` once at or after `at`, on a thread of the runtime. The
  /// callback must not block; code of the request thread posts to it.
  virtual TimerId Schedule(TimePoint at, std::function<void()> callback) = 0;

  /// Drops a timer that has not run yet; unknown ids are ignored.
  virtual void Cancel(TimerId id) = 0;
};

}  // namespace qp
