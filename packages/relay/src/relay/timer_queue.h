#pragma once

#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "foundation/asio.h"
#include "foundation/clock.h"

namespace qp::relay {

/// Timers of the request thread over one timer of the clock. Most deadlines
/// never expire, so adding and dropping one must not wake another thread.
class TimerQueue {
 public:
  /// Timers run late by at most this; those of one step share a wake-up.
  static constexpr Duration kResolution = std::chrono::milliseconds(10);

  TimerQueue(Clock& clock, asio::io_context& io);
  ~TimerQueue();
  TimerQueue(const TimerQueue&) = delete;
  TimerQueue& operator=(const TimerQueue&) = delete;

  TimePoint Now() const;
  /// Runs `callback` on the request thread at or after `at`.
  TimerId Schedule(TimePoint at, std::function<void()> callback);
  /// Drops a timer that has not run yet; unknown ids are ignored.
  void Cancel(TimerId id);

 private:
  struct State;
  std::shared_ptr<State> state;
};

/// A timer that is dropped with its owner.
class ScopedTimer {
 public:
  explicit ScopedTimer(TimerQueue& queue) : timers(queue) {}
  ~ScopedTimer() { this->Cancel(); }
  ScopedTimer(const ScopedTimer&) = delete;
  ScopedTimer& operator=(const ScopedTimer&) = delete;

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
