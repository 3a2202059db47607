#pragma once

#include <chrono>
#include <optional>

#include "foundation/clock.h"

namespace qp::relay {

/// Decides which requests a process still takes while it is being stopped.
///
/// New connections arrive until the load balancer has noticed that the process
/// is not ready, and requests from then on only on connections that were open
/// already. A request that can still be running at the end of the grace period
/// would be cut off, and callers can send it to another process instead.
///
/// Whoever stops the process counts the grace period from the signal, which a
/// process that was not scheduled notices late. All times that requests depend
/// on are therefore earlier by kNoticeDelay.
class DrainWindow {
 public:
  /// Time from the start of a drain during which new connections are accepted:
  /// the load balancer checks readiness once a second and needs two failures.
  static constexpr Duration kAcceptTime = std::chrono::milliseconds(3000);
  /// Time by which the process can notice its stop late.
  static constexpr Duration kNoticeDelay = std::chrono::milliseconds(500);

  /// The process stops itself at `stop_at`.
  void Begin(TimePoint now, TimePoint stop_at);

  /// Whether a request with `deadline` that arrives now is taken. Always true
  /// before Begin. `expected_end`: estimated end of its response.
  bool Admits(TimePoint now, TimePoint deadline, TimePoint expected_end) const;
  /// End of the time during which new connections are accepted.
  TimePoint accept_until() const { return this->accept_end; }

 private:
  /// No request may be running at this time.
  std::optional<TimePoint> end;
  TimePoint accept_end{};
};

}  // namespace qp::relay
