#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "foundation/clock.h"
#include "relay/deployment.h"
#include "relay/request_limit.h"

namespace qp::relay {

/// Longest time for which a server gets no requests after consecutive refusals.
/// A draining engine refuses requests too, but the store lists it as draining
/// within seconds, unless the store is unavailable.
inline constexpr Duration kMaxRefusalBackoff = std::chrono::milliseconds(4800);

/// Longest time for which a server gets no requests after consecutive failures.
/// The store stops listing a dead server after three missed heartbeats, about
/// 4 s.
inline constexpr Duration kMaxSuspicion = std::chrono::milliseconds(4000);

/// A backend server with its load and its failures as known to this process.
struct Server {
  ServerRecord record;

  /// When the store stopped listing the server; empty while it is listed.
  std::optional<TimePoint> removed_at;

  // Load that this process puts on the server. The `unreported_` members count
  // the part that was added since the last report to the peers.
  std::uint32_t in_flight = 0;
  /// Sum over the requests in flight: tokens kept in memory times layers that
  /// the request uses on this server.
  double kv_token_layers = 0;
  std::uint32_t unreported_streams = 0;
  double unreported_kv_token_layers = 0;
  // Load that the other processes put on the server, by their last reports.
  std::uint32_t peer_streams = 0;
  double peer_kv_token_layers = 0;

  // Load from all callers, by the last response of the server that stated it.
  /// Requests that run or wait on the server.
  std::uint32_t reported_busy = 0;
  TimePoint reported_at{};

  // Refusals by the server itself, or by an engine that names this server as
  // the cause. A refusing server can be full or draining, and a server that is
  // named can be dead. Progress of streams that already run on the server ends
  // no back-off, because it rules out none of these.
  TimePoint refused_at{};  ///< Time of the last refusal.
  /// End of the back-off after refusals. Until then the server gets requests
  /// only if no other server can take them.
  TimePoint refusing_until{};
  /// Latest end of a back-off that another process has reported.
  TimePoint peer_refusing_until{};
  int consecutive_refusals = 0;

  // Failures.
  /// Time of the last good response or event from the server.
  TimePoint last_progress{};
  /// Time of the last response or event from the server to this process; empty
  /// if there was none.
  std::optional<TimePoint> progressed_at;
  /// When the current suspicion began.
  TimePoint suspected_at{};
  /// When requests of this process were last found to wait for the server in
  /// vain; empty if they never did.
  std::optional<TimePoint> lost_at;
  /// End of the suspicion after failures. Until then the server gets requests
  /// only if no other server can take them.
  TimePoint suspect_until{};
  int consecutive_failures = 0;
  double failure_rate = 0;  ///< Moving average over responses, 0 to 1.
  /// Moving average of the time to a complete response; 0 if unknown.
  double latency_ms = 0;

  /// The server has announced that it is about to stop. Stays set for this
  /// incarnation, even if the store lists the server again.
  bool leaving = false;
  /// End of the pause in requests that the server has asked this process for.
  TimePoint paused_until{};
  /// Request rate that the server accepts from all processes.
  RequestLimit request_limit;

  bool IsUsable() const {
    return !this->record.draining && !this->leaving &&
           !this->removed_at.has_value();
  }
  bool IsPaused(TimePoint now) const { return now < this->paused_until; }
  /// Whether this process may send the server a request now: neither a pause
  /// nor the limit on requests forbids it.
  bool AcceptsRequest(TimePoint now) const {
    return !this->IsPaused(now) && this->request_limit.HasRoom(now);
  }
  /// Earliest time at which AcceptsRequest can hold; empty if unknown.
  std::optional<TimePoint> AcceptsRequestAt(TimePoint now) const;
  bool IsRefusing(TimePoint now) const {
    return now < this->refusing_until || now < this->peer_refusing_until;
  }
  bool IsSuspect(TimePoint now) const {
    return now < this->suspect_until || this->IsRefusing(now);
  }

  void RecordProgress(TimePoint now);
  /// A response to another process made progress through the server at `at`.
  void RecordPeerProgress(TimePoint at);
  /// Requests wait for the server in vain. Counts as a failure unless it is
  /// already suspect.
  void RecordLoss(TimePoint now);
  /// Another process found at `at` that requests wait for the server in vain.
  /// Keeps requests away until `until`, unless there was progress since.
  void RecordPeerLoss(TimePoint at, TimePoint until);
  /// Keeps all requests of this process away for `duration`, even if no other
  /// server is available. A later pause that ends earlier does not shorten it.
  void RecordPause(TimePoint now, Duration duration);
  /// Updates the moving averages; a good response also counts as progress.
  void RecordResponse(TimePoint now, Duration latency, bool good);
  /// Keeps requests away for a time that doubles with each consecutive failure.
  void RecordFailure(TimePoint now);
  /// Keeps requests away for a time that doubles with each consecutive refusal.
  /// `sent_at` is the time at which the refused request was sent. Ignored if
  /// the request was sent before the last refusal.
  void RecordRefusal(TimePoint now, TimePoint sent_at);
  /// Applies the end of a back-off that another process has reported.
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
