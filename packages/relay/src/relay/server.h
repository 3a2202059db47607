#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "foundation/clock.h"
#include "relay/deployment.h"

namespace qp::relay {

/// Longest time without requests after consecutive refusals. The store lists a
/// draining engine as draining within seconds, unless the store is unavailable.
inline constexpr Duration kMaxRefusalBackoff = std::chrono::milliseconds(4800);

/// A backend server with the load and the failures that this process knows of.
struct Server {
  ServerRecord record;

  /// When the store stopped listing it; empty while it is listed.
  std::optional<TimePoint> removed_at;

  // Load that this process puts on it; `unreported_` counts the part that was
  // added since the last report to the peers.
  std::uint32_t in_flight = 0;
  /// Tokens of each request in flight times the layers that it uses here,
  /// summed.
  double kv_token_layers = 0;
  std::uint32_t unreported_streams = 0;
  double unreported_kv_token_layers = 0;
  // Load of all other processes, as they last reported it.
  std::uint32_t peer_streams = 0;
  double peer_kv_token_layers = 0;

  // Load from all callers, as its responses report it.
  std::uint32_t reported_busy = 0;
  TimePoint reported_at{};

  // Refusals by the server itself, or by an engine that names it as the cause.
  // The server can be full, draining or dead; progress of streams that already
  // run on it rules out none of these.
  TimePoint refused_at{};
  /// Gets no requests before this time if another server can take them.
  TimePoint refusing_until{};
  /// Latest end of the back-off that peers have reported.
  TimePoint peer_refusing_until{};
  int consecutive_refusals = 0;

  // Failures.
  TimePoint last_progress{};  ///< Last response or event that it sent.
  /// Gets no requests before this time if another server can take them.
  TimePoint suspect_until{};
  int consecutive_failures = 0;
  double failure_rate = 0;  ///< Moving average over responses, 0 to 1.
  double latency_ms = 0;    ///< Moving average of whole responses; 0: unknown.

  /// The server has announced that it is about to stop. Stays set for this
  /// incarnation, even if the store lists the server again.
  bool leaving = false;
  /// End of the pause that the server has asked this process for.
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
  /// Keeps all requests of this process away for `duration`, even if no other
  /// server is available. A later pause that ends earlier does not shorten it.
  void RecordPause(TimePoint now, Duration duration);
  /// Updates the moving averages; a good response also counts as progress.
  void RecordResponse(TimePoint now, Duration latency, bool good);
  /// Keeps requests away for a time that doubles with each consecutive failure.
  void RecordFailure(TimePoint now);
  /// Keeps requests away for a time that doubles with each consecutive refusal.
  /// Ignored if the refused request was sent before the last refusal.
  void RecordRefusal(TimePoint now, TimePoint sent_at);
  void RecordPeerRefusal(TimePoint until);
  /// A request that was sent at `sent_at` has begun to run on the server. Ends
  /// the back-off, unless the request was sent before the last refusal.
  void RecordAccepted(TimePoint sent_at);
  /// Keeps requests away for a short time, because this server or another one
  /// of the same chain has failed a request.
  void MarkSuspect(TimePoint now);
};

using ServerPtr = std::shared_ptr<Server>;

}  // namespace qp::relay
