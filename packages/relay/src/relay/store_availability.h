#pragma once

#include <optional>

#include "foundation/clock.h"

namespace qp::relay {

/// Estimates when the store was last unavailable, from the calls of this
/// process and the reports of its peers.
///
/// An answer shows that the store was available at some time after its call
/// began. A call without one shows that the store was unavailable only if no
/// call that began later has been answered: otherwise only the connection had
/// failed, as with a long poll that is given up many seconds after its
/// connection fell silent.
class StoreAvailability {
 public:
  /// The store was available at some time from `as_of` to `now`, according to
  /// an answer to this process or to a peer.
  void RecordAnswer(TimePoint as_of, TimePoint now);
  /// A call that began at `began` has ended without an answer.
  void RecordFailure(TimePoint began);
  /// The store has become available again.
  void RecordReturn(TimePoint now);

  bool is_available() const { return !this->unanswered_since.has_value(); }
  /// When the store became available again after it was last unavailable: at
  /// the latest at the first answer since. `now` while it is unavailable; empty
  /// if it never was.
  std::optional<TimePoint> ReturnedAt(TimePoint now) const;

 private:
  TimePoint last_answer_as_of{};
  /// While the store is unavailable: when the last call without an answer
  /// began.
  std::optional<TimePoint> unanswered_since;
  std::optional<TimePoint> returned_at;
};

}  // namespace qp::relay
