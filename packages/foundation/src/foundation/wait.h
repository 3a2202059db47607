#pragma once

#include <functional>
#include <memory>

#include "foundation/asio.h"
#include "foundation/clock.h"

namespace qp {

/// Suspends the calling coroutine for `duration` of `clock`.
Task<void> SleepFor(Clock& clock, Duration duration);

/// Calls a function on an executor unless destroyed or disarmed in time.
/// Bounds an exchange: the function closes what the exchange waits on.
class Watchdog {
 public:
  Watchdog(Clock& clock, asio::io_context::executor_type executor,
           Duration bound, std::function<void()> on_expiry);
  ~Watchdog();
  Watchdog(const Watchdog&) = delete;
  Watchdog& operator=(const Watchdog&) = delete;

  /// Starts the bound again, after progress was made.
  void Restart();
  void Disarm();
  bool expired() const;

 private:
  struct State;

  Clock& clock;
  asio::io_context::executor_type executor;
  Duration bound;
  std::shared_ptr<State> state;
  TimerId timer = 0;
};

/// A condition that coroutines of one thread wait for; waiters may give up
/// after a bound.
class Signal {
 public:
  explicit Signal(asio::io_context::executor_type executor);

  /// Wakes all present waiters.
  void NotifyAll();

  /// Waits for NotifyAll or until `bound` has passed; true if notified.
  Task<bool> WaitFor(Clock& clock, Duration bound);

 private:
  std::shared_ptr<asio::steady_timer> timer;
  std::shared_ptr<std::uint64_t> notifications;
};

}  // namespace qp
