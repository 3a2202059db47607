#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "foundation/clock.h"
#include "relay/deployment.h"

namespace qp::relay {

/// Longest time without requests after refusals in a row. A draining engine is
/// listed as such within seconds, unless the store is away.
inline constexpr Duration kMaxRefusalBackoff = std::chrono::milliseconds(4800);

/// A backend server together with what this process has seen of it.
struct Server {
  ServerRecord record;

  /// The store no longer lists it; null while it does.
  std::optional<TimePoint> removed_at;

  // Load that this process puts on it.
  std::uint32_t in_flight = 0;
  /// Tokens of the requests in flight, times the layers that each uses here.
  double kv_token_layers = 0;
  // The same of all other processes, as they last reported it.
  /// Since this process last told the others.
  std::uint32_t unreported_streams = 0;
  double unreported_kv_token_layers = 0;
  std::uint32_t peer_streams = 0;
  double peer_kv_token_layers = 0;

  // Load that its answers report, for all callers.
  std::uint32_t reported_busy = 0;
  TimePoint reported_at{};

  // Refusals, by itself or by a chain that names it. It may be full, draining
  // or dead; streams that run through it already say nothing of that.
  TimePoint refused_at{};
  TimePoint refusing_until{};       ///< Gets no requests before, if others can.
  TimePoint peer_refusing_until{};  ///< The same as peers report it.
  int consecutive_refusals = 0;

  // Failures.
  TimePoint last_progress{};  ///< Last answer or event that came through it.
  TimePoint suspect_until{};  ///< Gets no requests before, if others can.
  int consecutive_failures = 0;
  double failure_rate = 0;  ///< Moving average over answers, 0 to 1.
  double latency_ms = 0;    ///< Moving average of whole answers; 0: unknown.

  /// It has said in an answer that it is about to stop. Nothing takes that
  /// back for this incarnation, not even its entry in the store.
  bool leaving = false;
  /// It has asked this process for no requests before then.
  TimePoint paused_until{};

  bool IsUsable() const {
    return !this->record.draining && !this->leaving &&
           !this->removed_at.has_value();
  }
  bool IsPaused(TimePoint now) const { return now < this->paused_until; }
  bool IsRefusing(TimePoint now) const {
    return now < this->refusing_until || now < this->peer_refusing_until;
  }
  bool IsSuspect(TimePoint now) const {
    return now < this->suspect_until || this->IsRefusing(now);
  }

  void RecordProgress(TimePoint now);
  /// Keeps all requests of this process away for `duration`, however short of
  /// servers the service is. A later, shorter pause does not end it.
  void RecordPause(TimePoint now, Duration duration);
  void RecordResponse(TimePoint now, Duration latency, bool good);
  /// Keeps requests away for a time that doubles with each failure in a row.
  void RecordFailure(TimePoint now);
  /// Keeps requests away for a time that doubles with each refusal of a request
  /// that was sent, at `sent_at`, after the last refusal.
  void RecordRefusal(TimePoint now, TimePoint sent_at);
  void RecordPeerRefusal(TimePoint until);
  /// A request that was sent at `sent_at` has begun to run on it.
  void RecordAccepted(TimePoint sent_at);
  /// Keeps requests away for a short time: it may have failed one, or another
  /// server of the same chain may have.
  void MarkSuspect(TimePoint now);
};

using ServerPtr = std::shared_ptr<Server>;

}  // namespace qp::relay
