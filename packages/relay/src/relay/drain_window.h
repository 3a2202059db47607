#pragma once

#include <chrono>
#include <optional>

#include "foundation/clock.h"

namespace qp::relay {

/// Decides which requests a process still takes while it is being stopped.
///
/// New connections arrive until the load balancer has noticed that the process
/// is not ready, and requests from then on only on connections that were open
/// already. The latter are taken if their deadline is before the end of the
/// grace period: one that can still be running then would be cut off, and
/// callers can send it to another process instead.
class DrainWindow {
 public:
  /// Time from the start of a drain during which all requests are taken: the
  /// load balancer checks readiness once a second and needs two failures.
  static constexpr Duration kAcceptTime = std::chrono::milliseconds(3000);

  /// The process stops itself at `stop_at`.
  void Begin(TimePoint now, TimePoint stop_at);

  /// Whether a request with `deadline` that arrives now is taken. Always true
  /// before Begin.
  bool Admits(TimePoint now, TimePoint deadline) const;
  /// End of the time during which new connections are accepted.
  TimePoint accept_until() const { return this->accept_end; }

 private:
  std::optional<TimePoint> end;
  TimePoint accept_end{};
};

}  // namespace qp::relay
