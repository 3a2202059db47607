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

}  // namespace

void Server::NoteProgress(TimePoint now) {
  this->last_progress = now;
  this->failures_in_row = 0;
  this->suspect_until = {};
}

void Server::NoteAnswer(TimePoint now, Duration latency, bool good) {
  const double elapsed_ms =
      std::chrono::duration<double, std::milli>(latency).count();
  this->latency_ms =
      this->latency_ms == 0
          ? elapsed_ms
          : this->latency_ms + kAverageWeight * (elapsed_ms - this->latency_ms);
  this->failure_rate +=
      kAverageWeight * ((good ? 0.0 : 1.0) - this->failure_rate);
  if (good) {
    this->NoteProgress(now);
  }
}

void Server::NoteFailure(TimePoint now) {
  this->failure_rate += kAverageWeight * (1.0 - this->failure_rate);
  const int doublings = std::min(this->failures_in_row++, 4);
  this->suspect_until =
      now + std::min(kFirstSuspicion * (1 << doublings), kLongestSuspicion);
}

void Server::NoteDoubt(TimePoint now) {
  this->suspect_until = std::max(this->suspect_until, now + kDoubt);
}

}  // namespace qp::relay
