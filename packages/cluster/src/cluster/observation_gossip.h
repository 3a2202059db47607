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
  std::uint32_t counter = 0;
  std::uint8_t detail_tag = 0;
  /// Incremented when the server becomes leaving or its reachability changes.
  std::uint32_t urgent_revision = 0;
  /// When this daemon last published an observation of its own.
  std::optional<TimePoint> published_at;
  TimePoint counter_at{};  ///< Time of the observation numbered `counter`.
};

/// The newest observation of each backend server, own or received. Observations
/// are ordered by a counter for each backend server, which all its observers
/// increment, so that the order does not depend on clocks.
class ObservationGossip {
 public:
  /// A backend server is removed this long after its last observation.
  static constexpr Duration kRetention = std::chrono::seconds(60);

  /// Stores an observation of this daemon; one of an earlier incarnation is
  /// ignored. The counter is incremented, and peers then receive the
  /// observation, if the last one sent is `interval` old or if the backend
  /// server's incarnation, details, reachability or leaving flag has changed.
  /// `min_counter`, in seconds of wall time, is a lower limit for the counter,
  /// so that an observer that has just started is not behind the others.
  void Publish(Observation observation, std::uint32_t min_counter,
               Duration interval);

  /// Merges a received entry; `detail` is null if the digest has none for it.
  /// Returns false if the details are missing and have to be requested.
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

  /// Names in a stable order, for round-robin iteration.
  const std::vector<NameHash>& ordered_names() const { return this->names; }

  /// Incremented together with the urgent_revision of any record.
  std::uint64_t urgent_change_count() const { return this->urgent_changes; }

  /// Ordered by name.
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
