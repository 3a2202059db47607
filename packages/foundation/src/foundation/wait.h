#pragma once

#include <functional>
#include <memory>

#include "foundation/asio.h"
#include "foundation/clock.h"

namespace qp {

/// Suspends the calling coroutine until `clock` has advanced by `duration`.
Task<void> SleepFor(Clock& clock, Duration duration);

/// Calls a function on an executor unless restarted, disarmed or destroyed
/// within a timeout. The function closes the connection or other object that an
/// exchange waits on. A restart with a later deadline keeps the pending timer,
/// so that it is cheap enough for each token of a stream.
class Watchdog {
 public:
  /// Starts disarmed; Restart arms it.
  Watchdog(Clock& clock, asio::io_context::executor_type executor,
           Duration timeout, std::function<void()> on_expiry);
  ~Watchdog();
  Watchdog(const Watchdog&) = delete;
  Watchdog& operator=(const Watchdog&) = delete;

  /// Arms the watchdog and starts the timeout again.
  void Restart();
  /// Replaces the timeout, then restarts as above.
  void Restart(Duration timeout);
  void Disarm();
  bool expired() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

/// Condition variable for coroutines of one thread; each wait has its own
/// timeout.
class Signal {
 public:
  explicit Signal(asio::io_context::executor_type executor);

  /// Wakes all current waiters.
  void NotifyAll();

  /// Waits for NotifyAll, at most for `timeout`; returns true if notified.
  Task<bool> WaitFor(Clock& clock, Duration timeout);

 private:
  std::shared_ptr<asio::steady_timer> timer;
  std::shared_ptr<std::uint64_t> notifications;
};

}  // namespace qp
