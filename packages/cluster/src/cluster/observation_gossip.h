#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cluster/messages.h"
#include "cluster/observation.h"
#include "foundation/clock.h"

namespace qp {

/// The latest observation of a backend server and its position in the order of
/// all observations of that server.
struct ObservationRecord {
  Observation value;
  /// Position among all observations of the backend server.
  std::uint32_t counter = 0;
  std::uint8_t detail_tag = 0;  ///< 6 bits of the hash of the BackendDetail.
  /// Incremented when the server becomes leaving or its reachability changes.
  std::uint32_t urgent_revision = 0;
  /// Time at which this daemon last published its own observation of the
  /// server. Empty if it never did.
  std::optional<TimePoint> published_at;
  TimePoint counter_at{};  ///< Time of the observation numbered `counter`.
};

/// Stores the newest observation of each backend server, made by this daemon or
/// received from a peer. A counter for each backend server, which all its
/// observers increment, orders the observations, so that the order does not
/// depend on clocks.
class ObservationGossip {
 public:
  /// A backend server is removed this long after its last observation.
  static constexpr Duration kRetention = std::chrono::seconds(60);

  /// Stores an observation made by this daemon; an observation of an earlier
  /// incarnation of the backend server is ignored. If the last published
  /// observation is at least `interval` old, or if the backend server's
  /// incarnation, details, reachability or leaving flag has changed, the
  /// counter is incremented, so that peers receive the observation.
  /// `min_counter`, in seconds of wall time, is a lower limit for the counter,
  /// so that an observer that has just started is not behind the others.
  void Publish(Observation observation, std::uint32_t min_counter,
               Duration interval);

  /// Merges an entry of a received digest. `detail` is null if the digest has
  /// no details of the backend server. Returns false if its details are unknown
  /// and have to be requested.
  bool Merge(const ObservationEntry& entry, const BackendDetail* detail,
             TimePoint now);

  void Expire(TimePoint now);

  static ObservationEntry EntryFor(NameHash backend,
                                   const ObservationRecord& record,
                                   TimePoint now);
  static BackendDetail DetailFor(const ObservationRecord& record);

  const std::unordered_map<NameHash, ObservationRecord>& records() const {
    return this->backends;
  }

  /// Hashes of the backend servers' names in a stable order, for round-robin
  /// iteration.
  const std::vector<NameHash>& ordered_names() const { return this->names; }

  /// Incremented whenever the urgent_revision of a record is incremented.
  std::uint64_t urgent_change_count() const { return this->urgent_changes; }

  /// Returns the latest observation of each backend server, ordered by name.
  std::vector<Observation> Current() const;

  std::size_t EstimateStateBytes() const;

 private:
  ObservationRecord& FindOrAddRecord(NameHash backend);
  void MarkUrgent(ObservationRecord& record);
  void MarkLeaving(ObservationRecord& record);

  std::unordered_map<NameHash, ObservationRecord> backends;
  std::vector<NameHash> names;
  std::uint64_t urgent_changes = 0;
};

}  // namespace qp
