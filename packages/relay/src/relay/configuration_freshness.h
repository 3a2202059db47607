#pragma once

#include <chrono>
#include <cstdint>

#include "foundation/clock.h"
#include "relay/comparison_schedule.h"

namespace qp::relay {

/// Decides when a process compares its configuration with the store, and
/// whether a process that starts can serve with it.
class ConfigurationFreshness : public ComparisonSchedule {
 public:
  /// Age of the last proof at which a comparison is due, as a share of the
  /// bound.
  static constexpr double kMaxAgeShare = 0.5;

  explicit ConfigurationFreshness(Duration time_bound)
      : ComparisonSchedule(time_bound, kMaxAgeShare) {}

  /// Time for which a process that starts waits for a version that peers have
  /// reported and that a restored store doesn't show. Operators write their
  /// last version again after a restore.
  static constexpr Duration kMaxPeerVersionWait = std::chrono::seconds(10);

  /// Newest revision of the store that any answer has shown in its era.
  std::uint64_t store_revision() const { return this->newest_revision; }
  /// The store was restored: revisions begin anew.
  void ResetStoreRevision() { this->newest_revision = 0; }
  void RecordStoreRevision(std::uint64_t revision);

  /// A peer uses `version`.
  void RecordPeerVersion(std::uint64_t version, TimePoint now);
  /// Whether the store has confirmed `version` and no peer has reported a newer
  /// one. Keeps a process that starts from serving with an older version that
  /// an answer of the store still showed. The newer version counts for
  /// kMaxPeerVersionWait if the store doesn't have it.
  bool IsConfirmed(std::uint64_t version) const;

 private:
  std::uint64_t newest_revision = 0;
  std::uint64_t peer_version = 0;  ///< Newest version that peers reported.
  TimePoint peer_version_at{};     ///< Time of the first report of it.
};

/// Time as of which an answer to a long poll proves that nothing else has
/// changed. The store holds an answer without changes for `wait`, so such an
/// answer can't be older than the end of the wait, however late it arrives.
TimePoint TimeOfPollAnswer(TimePoint began, Duration wait, TimePoint now,
                           bool has_change);

}  // namespace qp::relay
