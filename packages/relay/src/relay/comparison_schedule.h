#pragma once

#include <chrono>

#include "foundation/clock.h"

namespace qp::relay {

/// Times within which a change is in force unless the settings state others.
inline constexpr Duration kDefaultConfigurationBound =
    std::chrono::milliseconds(2000);
inline constexpr Duration kDefaultServerListBound =
    std::chrono::milliseconds(2000);

/// Decides when a process compares a copy of the store's state with the store,
/// so that a change is in force within a bound of its acknowledgement even if
/// polls and the reports of peers bring no news of it.
///
/// A comparison is a call that the store answers at once, on a connection of
/// its own. It is due when the last proof that the copy is current is a share
/// of the bound old. If it is not answered within kRetryShare of the bound, the
/// next one starts; the rest of the bound is left for answers.
class ComparisonSchedule {
 public:
  /// Maximum random addition to the age at which a comparison is due, as a
  /// share of the bound, so that one process compares and the others receive
  /// its report before they do.
  static constexpr double kJitterShare = 0.1;
  /// Time after which an unanswered comparison is repeated, as a share of the
  /// bound.
  static constexpr double kRetryShare = 0.15;

  /// `max_age_share`: age of the last proof at which a comparison is due, as a
  /// share of the bound.
  ComparisonSchedule(Duration time_bound, double max_age_share)
      : bound(time_bound), age_share(max_age_share) {}

  /// Sets the time from the acknowledgement of a change until it must be in
  /// force.
  void SetBound(Duration time_bound) { this->bound = time_bound; }

  /// Time at which a comparison is due. `jitter` is a random number from 0 to
  /// 1.
  TimePoint ComparisonDue(double jitter) const;
  Duration RetryInterval() const;

  /// Latest time at which the copy was known to equal the store's state.
  TimePoint verified_at() const { return this->last_verified_at; }
  bool is_verified() const { return this->has_verified; }
  /// The copy was the store's state at `as_of`.
  void RecordVerified(TimePoint as_of);

 private:
  Duration bound;
  double age_share;
  TimePoint last_verified_at{};
  bool has_verified = false;
};

}  // namespace qp::relay
