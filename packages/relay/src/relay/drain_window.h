#pragma once

#include <chrono>
#include <optional>

#include "foundation/clock.h"

namespace qp::relay {

/// What is known, when a request arrives, about the end of its response.
struct RequestEnd {
  TimePoint deadline{};
  /// Time that the response is unlikely to exceed; empty if unknown.
  std::optional<TimePoint> expected;
  /// Whether the caller can resume the response with another process.
  bool can_resume = false;
};

/// Decides which requests a process still takes while it is being stopped.
///
/// New connections arrive until the load balancer has noticed that the process
/// is not ready, and requests from then on only on connections that were open
/// already. A request that is still running at the end of the grace period is
/// cut off. Its caller can send it to another process instead, but repeats it
/// only once or twice, and other processes can be stopping too. So a request
/// is refused only if it is likely to be cut off and can't be resumed, until
/// the load balancer must have noticed the stop.
///
/// Whoever stops the process counts from the signal, which a process that was
/// not scheduled notices late. The end of the grace period, and the time by
/// which the load balancer must have noticed, are therefore taken to be earlier
/// by kNoticeDelay.
class DrainWindow {
 public:
  /// Time from the start of a drain during which new connections are accepted:
  /// the load balancer checks readiness once a second and needs two failures.
  static constexpr Duration kAcceptTime = std::chrono::milliseconds(3000);
  /// Time by which the process can notice its stop late.
  static constexpr Duration kNoticeDelay = std::chrono::milliseconds(500);

  /// The process stops itself at `stop_at`.
  void Begin(TimePoint now, TimePoint stop_at);

  /// Whether a request that arrives now is taken. Always true before Begin.
  bool Admits(TimePoint now, const RequestEnd& request) const;
  /// When the stop began; empty before Begin.
  const std::optional<TimePoint>& began_at() const { return this->began; }
  /// End of the time during which new connections are accepted.
  TimePoint accept_until() const { return this->accept_end; }

 private:
  std::optional<TimePoint> began;
  /// Requests that still run then can be cut off; empty before Begin.
  std::optional<TimePoint> end;
  TimePoint accept_end{};
};

}  // namespace qp::relay
