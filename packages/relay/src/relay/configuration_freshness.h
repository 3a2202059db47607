#pragma once

#include <chrono>
#include <cstdint>

#include "foundation/clock.h"

namespace qp::relay {

/// Time within which a change is in force unless the settings state another.
inline constexpr Duration kDefaultConfigurationBound =
    std::chrono::milliseconds(2000);

/// Decides when a process compares its configuration with the store, so that a
/// change is in force within a bound of its acknowledgement even if the
/// process's long poll and its peers' reports bring no news of it.
///
/// A comparison is a call that the store answers at once, on a connection of
/// its own. It is due when the last proof that the configuration is current is
/// kMaxAgeShare of the bound old. If it is not answered within kRetryShare of
/// the bound, the next one starts; the rest of the bound is left for answers.
class ConfigurationFreshness {
 public:
  /// Age of the last proof at which a comparison is due, as a share of the
  /// bound.
  static constexpr double kMaxAgeShare = 0.5;
  /// Maximum random addition to kMaxAgeShare, so that one process compares and
  /// the others receive its report before they do.
  static constexpr double kJitterShare = 0.1;
  /// Time after which an unanswered comparison is repeated, as a share of the
  /// bound.
  static constexpr double kRetryShare = 0.15;

  explicit ConfigurationFreshness(Duration time_bound) : bound(time_bound) {}

  /// Sets the time from the acknowledgement of a change until it must be in
  /// force.
  void SetBound(Duration time_bound) { this->bound = time_bound; }

  /// Time at which a comparison is due. `jitter` is a random number from 0 to
  /// 1.
  TimePoint ComparisonDue(double jitter) const;
  Duration RetryInterval() const;

  /// Latest time at which the active configuration was known to equal the one
  /// in the store.
  TimePoint verified_at() const { return this->last_verified_at; }
  /// The active configuration was that of the store at `as_of`.
  void RecordVerified(TimePoint as_of);

  /// Newest revision of the store that any answer has shown so far.
  std::uint64_t store_revision() const { return this->newest_revision; }
  void RecordStoreRevision(std::uint64_t revision);

  /// A peer uses `version`.
  void RecordPeerVersion(std::uint64_t version, TimePoint now);
  /// Whether the store has confirmed `version`, and has done so again since a
  /// peer first reported a newer one. Keeps a process that starts from serving
  /// with an older version that an answer of the store still showed.
  bool IsConfirmed(std::uint64_t version) const;

 private:
  Duration bound;
  TimePoint last_verified_at{};
  bool has_verified = false;
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
