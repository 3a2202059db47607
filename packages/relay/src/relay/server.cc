#include "relay/server.h"

#include <algorithm>
#include <chrono>

namespace qp::relay {

namespace {

using std::chrono::milliseconds;

/// Weight of the newest response in the moving averages, which thus cover about
/// ten responses.
constexpr double kAverageWeight = 0.1;
/// Time without requests after the first failure. Long enough to keep several
/// requests from a failed server, short compared with the restart of a server.
constexpr Duration kInitialSuspicion = milliseconds(1000);

/// Time without requests for each engine of a chain that fell silent. Only one
/// engine is at fault; progress of other streams ends the suspicion of the
/// rest.
constexpr Duration kChainSuspicion = milliseconds(400);

/// Time without requests after the first refusal. A full engine has room again
/// when one of its about fifty streams ends, and each stream takes seconds.
constexpr Duration kInitialRefusalBackoff = milliseconds(300);
/// Limit on doublings of kInitialSuspicion and kInitialRefusalBackoff. Four
/// doublings of kInitialRefusalBackoff reach kMaxRefusalBackoff.
constexpr int kMaxDoublings = 4;

/// Longest usual time from an engine's part in an event to the event's arrival.
constexpr Duration kMaxEventDelay = milliseconds(200);

/// Longest pause that is applied, so that a server cannot overflow TimePoint.
constexpr Duration kMaxPause = std::chrono::hours(24);

}  // namespace

void Server::RecordPause(TimePoint now, Duration duration) {
  this->paused_until =
      std::max(this->paused_until, now + std::min(duration, kMaxPause));
}

std::optional<TimePoint> Server::AcceptsRequestAt(TimePoint now) const {
  const auto room = this->request_limit.NextRoom(now);
  return room ? std::optional(std::max(*room, this->paused_until))
              : std::nullopt;
}

void Server::RecordProgress(TimePoint now) {
  this->last_progress = now;
  this->progressed_at = now;
  this->consecutive_failures = 0;
  this->suspect_until = {};
}

void Server::RecordPeerProgress(TimePoint at) {
  this->last_progress = std::max(this->last_progress, at);
  // The last events through a failed engine can arrive after its failure.
  if (at > this->suspected_at + kMaxEventDelay) {
    this->consecutive_failures = 0;
    this->suspect_until = {};
  }
}

void Server::RecordLoss(TimePoint now) {
  // All streams of a lost engine detect the loss at the same time, and together
  // they count as one failure of the engine.
  if (!this->IsSuspect(now)) {
    this->RecordFailure(now);
  }
  this->lost_at = now;
}

void Server::RecordPeerLoss(TimePoint at, TimePoint until) {
  if (this->last_progress < at && this->suspect_until < until) {
    this->suspected_at = std::max(this->suspected_at, at);
    this->suspect_until = until;
    this->consecutive_failures = std::max(this->consecutive_failures, 1);
  }
}

void Server::RecordResponse(TimePoint now, Duration latency, bool good) {
  const double elapsed_ms =
      std::chrono::duration<double, std::milli>(latency).count();
  this->latency_ms =
      this->latency_ms == 0
          ? elapsed_ms
          : this->latency_ms + kAverageWeight * (elapsed_ms - this->latency_ms);
  this->failure_rate +=
      kAverageWeight * ((good ? 0.0 : 1.0) - this->failure_rate);
  if (good) {
    this->RecordProgress(now);
  }
}

void Server::RecordFailure(TimePoint now) {
  this->failure_rate += kAverageWeight * (1.0 - this->failure_rate);
  const int doublings = std::min(this->consecutive_failures++, kMaxDoublings);
  this->suspected_at = now;
  this->suspect_until =
      now + std::min(kInitialSuspicion * (1 << doublings), kMaxSuspicion);
}

void Server::RecordRefusal(TimePoint now, TimePoint sent_at) {
  if (sent_at < this->refused_at) {
    // The request was sent before the last refusal arrived, so the two are not
    // consecutive refusals.
    return;
  }
  const int doublings = std::min(this->consecutive_refusals++, kMaxDoublings);
  this->refused_at = now;
  this->refusing_until =
      now +
      std::min(kInitialRefusalBackoff * (1 << doublings), kMaxRefusalBackoff);
}

void Server::RecordPeerRefusal(TimePoint until) {
  this->peer_refusing_until = std::max(this->peer_refusing_until, until);
}

void Server::RecordAccepted(TimePoint sent_at) {
  if (sent_at < this->refused_at) {
    return;
  }
  this->consecutive_refusals = 0;
  this->refusing_until = {};
  this->peer_refusing_until = {};
}

void Server::MarkSuspect(TimePoint now) {
  this->suspected_at = now;
  this->suspect_until = std::max(this->suspect_until, now + kChainSuspicion);
}

}  // namespace qp::relay
