#include "relay/server.h"

#include <algorithm>
#include <chrono>

namespace qp::relay {

namespace {

using std::chrono::milliseconds;

/// Weight of the newest answer in the moving averages: some ten answers.
constexpr double kAverageWeight = 0.1;
/// First time without requests after a failure. Long enough for a handful of
/// requests to be spared, short against a restart of a server.
constexpr Duration kFirstSuspicion = milliseconds(1000);
/// Longest time without requests; the list of servers drops a dead server
/// after three heartbeats, some 4 s.
constexpr Duration kLongestSuspicion = milliseconds(4000);

/// Time without requests for each engine of a chain that fell silent: one of
/// them is at fault, and streams through the others clear those again.
constexpr Duration kDoubt = milliseconds(400);

/// First time without requests after a refusal: a full engine has room again
/// when one of some fifty streams ends, each of which takes seconds.
constexpr Duration kFirstRefusal = milliseconds(300);
constexpr int kMostDoublings = 4;

/// Longest pause that is kept, against times that overflow the clock.
constexpr Duration kMaxPause = std::chrono::hours(24);

}  // namespace

void Server::RecordPause(TimePoint now, Duration duration) {
  this->paused_until =
      std::max(this->paused_until, now + std::min(duration, kMaxPause));
}

void Server::RecordProgress(TimePoint now) {
  this->last_progress = now;
  this->consecutive_failures = 0;
  this->suspect_until = {};
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
  const int doublings = std::min(this->consecutive_failures++, kMostDoublings);
  this->suspect_until =
      now + std::min(kFirstSuspicion * (1 << doublings), kLongestSuspicion);
}

void Server::RecordRefusal(TimePoint now, TimePoint sent_at) {
  if (sent_at < this->refused_at) {
    return;  // On its way when an earlier one was refused.
  }
  const int doublings = std::min(this->consecutive_refusals++, kMostDoublings);
  this->refused_at = now;
  this->refusing_until =
      now + std::min(kFirstRefusal * (1 << doublings), kMaxRefusalBackoff);
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
  this->suspect_until = std::max(this->suspect_until, now + kDoubt);
}

}  // namespace qp::relay
