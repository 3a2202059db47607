#pragma once

#include <functional>
#include <memory>

#include "foundation/asio.h"
#include "foundation/clock.h"

namespace qp {

/// Suspends the calling coroutine for `duration` of `clock`.
Task<void> SleepFor(Clock& clock, Duration duration);

/// Calls a function on an executor unless destroyed or disarmed in time.
/// Bounds an exchange: the function closes what the exchange waits on. A
/// restart moves the deadline without a new timer, so that it costs little on
/// the path of a token.
class Watchdog {
 public:
  /// Starts disarmed; Restart arms it.
  Watchdog(Clock& clock, asio::io_context::executor_type executor,
           Duration bound, std::function<void()> on_expiry);
  ~Watchdog();
  Watchdog(const Watchdog&) = delete;
  Watchdog& operator=(const Watchdog&) = delete;

  /// Starts the bound again.
  void Restart();
  /// As above, with another bound from now on.
  void Restart(Duration bound);
  void Disarm();
  bool expired() const;

 private:
  struct State;
  std::shared_ptr<State> state;
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
