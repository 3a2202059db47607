#pragma once

#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "foundation/asio.h"
#include "foundation/clock.h"

namespace qp::relay {

/// Timers of the request thread. All of them share one timer of the clock: most
/// timers are cancelled before they run, so scheduling or cancelling a timer
/// must not wake another thread. Not thread-safe.
class TimerQueue {
 public:
  /// Due times are rounded up to a multiple of this time, so that timers close
  /// to each other share a wake-up. Rounding delays a timer by less than this
  /// time.
  static constexpr Duration kResolution = std::chrono::milliseconds(10);

  TimerQueue(Clock& clock, asio::io_context& io);
  ~TimerQueue();
  TimerQueue(const TimerQueue&) = delete;
  TimerQueue& operator=(const TimerQueue&) = delete;

  TimePoint Now() const;
  /// Runs `callback` on the request thread at or after `at`.
  TimerId Schedule(TimePoint at, std::function<void()> callback);
  /// Cancels a timer that has not run yet. Unknown ids are ignored.
  void Cancel(TimerId id);

 private:
  struct State;
  std::shared_ptr<State> state;
};

/// Timer that is cancelled when it is destroyed.
class ScopedTimer {
 public:
  explicit ScopedTimer(TimerQueue& queue) : timers(queue) {}
  ~ScopedTimer() { this->Cancel(); }
  ScopedTimer(const ScopedTimer&) = delete;
  ScopedTimer& operator=(const ScopedTimer&) = delete;

  /// Cancels the previous timer and schedules a new one.
  void Start(TimePoint at, std::function<void()> callback) {
    this->Cancel();
    this->id = this->timers.Schedule(at, std::move(callback));
  }
  void Cancel() {
    if (this->id != 0) {
      this->timers.Cancel(std::exchange(this->id, 0));
    }
  }

 private:
  TimerQueue& timers;
  TimerId id = 0;
};

}  // namespace qp::relay
