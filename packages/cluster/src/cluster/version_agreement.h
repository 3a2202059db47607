#pragma once

#include <cstddef>
#include <optional>

#include "foundation/clock.h"
#include "policy/budget_ledger.h"

namespace qp {

/// Determines when no daemon acts any more on a state older than a version. A
/// daemon that does not know the version stays confirmed only while it reads
/// the table, which contains the version, or while it hears more than half of
/// the members, none of which knows the version. Once at least half of the
/// members know it, every daemon that does not know it loses its confirmation
/// and stops within the confirmation period.
class VersionAgreement {
 public:
  static constexpr Duration kActivationDelay =
      policy::BudgetLedger::kActivationDelay;

  /// Records that `informed` of `members` know the version. Returns true once
  /// kActivationDelay has passed since at least half of them knew it or, if all
  /// know it, since the first call. The delay is necessary even if all know it:
  /// a daemon that is not a member can have read the table just before the
  /// version was written, and then stays confirmed for a while.
  bool Update(std::size_t members, std::size_t informed, TimePoint now);

 private:
  std::optional<TimePoint> first_update_at;
  std::optional<TimePoint> half_informed_at;
};

}  // namespace qp
