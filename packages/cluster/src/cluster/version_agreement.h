#pragma once

#include <cstddef>
#include <optional>

#include "foundation/clock.h"
#include "policy/budget_ledger.h"

namespace qp {

/// Decides when no daemon can still act on what preceded a version. Daemons
/// that don't know the version count as confirmed only while they read the
/// table (and thereby learn of it) or hear more than half of the members, none
/// of which knows it. Once at least half of the members know the version,
/// every daemon that doesn't stops within the confirmation period.
class VersionAgreement {
 public:
  static constexpr Duration kActivationDelay =
      policy::BudgetLedger::kWaitBeforeUse;

  /// Takes in that `knowing` of `members` know the version. True from
  /// kActivationDelay after half of them did or, if all know it, after the
  /// first call. Even then, a daemon outside the members may have read the
  /// table just before the version was written, and stays confirmed for a
  /// while.
  bool Update(std::size_t members, std::size_t informed, TimePoint now);

 private:
  std::optional<TimePoint> first_update_at;
  std::optional<TimePoint> half_informed_at;
};

}  // namespace qp
