#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cluster/messages.h"
#include "cluster/observation.h"
#include "foundation/clock.h"

namespace qp {

/// An observation and its position among all of the same backend server.
struct ObservationRecord {
  Observation value;
  std::uint32_t counter = 0;
  std::uint8_t detail_tag = 0;
  std::uint32_t urgent_revision = 0;      ///< With availability.
  std::optional<TimePoint> published_at;  ///< Latest spread from here.
  TimePoint counter_at{};  ///< Of the observation with `counter`.
};

/// Current observations, own and received, merged by newest. Order is decided
/// by a counter for each backend server that its observers continue, so it
/// depends on no clock.
class ObservationGossip {
 public:
  /// A backend server that nobody observes any more is dropped.
  static constexpr Duration kRetention = std::chrono::seconds(60);

  /// `floor` bounds the counter from below, so that an observer that has just
  /// started is not behind; seconds of wall time. The counter grows, and the
  /// observation is spread, if the last spread one is `interval` old or if the
  /// backend server's availability has changed.
  void Publish(Observation observation, std::uint32_t min_counter,
               Duration interval);

  /// Merges a received entry; `detail` is null if the digest has none for it.
  /// False if the details are missing.
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

  /// Names in a fixed order, for reading in turns.
  const std::vector<NameHash>& ordered_names() const { return this->names; }

  /// Changes with each urgent_revision of a record.
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
