#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "foundation/clock.h"

namespace qp::policy {

/// Millionths of a class's rate.
using MicroUnits = std::uint64_t;
inline constexpr MicroUnits kWholeRate = 1'000'000;

/// One start of a daemon. A restarted daemon is another member, since it has
/// forgotten what it gave away.
struct BudgetMember {
  std::string node;
  std::uint64_t incarnation = 0;

  auto operator<=>(const BudgetMember&) const = default;
};

/// The daemons among which each class's rate is divided equally at first.
struct BudgetGeneration {
  std::uint64_t number = 0;
  std::vector<BudgetMember> members;           ///< Ordered, without repeats.
  std::vector<BudgetMember> previous_members;  ///< Of number - 1.

  bool operator==(const BudgetGeneration&) const = default;
};

/// Transfer of a share between two members of a generation.
struct BudgetGrant {
  std::uint64_t generation = 0;
  std::uint64_t number = 0;  ///< Unique for the giver's incarnation.
  /// All grants of this giver to this receiver with a lower number than this
  /// are acknowledged.
  std::uint64_t acknowledged_below = 0;
  BudgetMember giver;
  BudgetMember receiver;
  std::string class_name;
  MicroUnits units = 0;

  bool operator==(const BudgetGrant&) const = default;
};

/// The shares of one daemon. Within a generation, shares move by grants only,
/// so that the sum over all daemons never exceeds kWholeRate per class.
/// Pure: takes the time as a parameter and sends nothing.
class BudgetLedger {
 public:
  /// After this time without confirmation a daemon has stopped admitting,
  /// and one that is confirmed knows every generation written before.
  static constexpr Duration kActivationDelay = std::chrono::seconds(10);

  explicit BudgetLedger(BudgetMember self);

  /// Takes over a generation with a higher number. Until Activate, the
  /// usable share is the lower of the old and the new one: daemons that
  /// already use the new generation and daemons that still use the old one
  /// then stay within the rate together. No grants are given meanwhile.
  bool Adopt(BudgetGeneration next, TimePoint now);

  /// Whether a generation was adopted that is not active yet.
  bool HasPendingGeneration() const { return this->pending.has_value(); }

  /// Uses the adopted generation from now on. `others_stopped` states that no
  /// daemon can still use the old one without knowing the new one. Does
  /// nothing before kActivationDelay has passed since Adopt. Two cases need no
  /// wait: the very first generation, before which there were no shares, and
  /// a new daemon without an initial share.
  bool Activate(bool others_stopped, TimePoint now);

  /// Number of the adopted or, if none waits, of the active generation.
  std::uint64_t KnownGeneration() const;
  std::uint64_t ActiveGeneration() const { return this->active.number; }
  /// Active generation; number 0 before the first.
  const BudgetGeneration& Active() const { return this->active; }
  /// Adopted generation or, if none waits, the active one.
  const BudgetGeneration& Known() const;

  MicroUnits UsableUnits(std::string_view class_name) const;

  /// Subtracts up to `units` from the share and returns the grant to send;
  /// empty if there is nothing to give.
  std::optional<BudgetGrant> Grant(std::string_view class_name,
                                   MicroUnits units,
                                   const BudgetMember& receiver);

  /// Adds a grant at most once. True if it is to be acknowledged: it was
  /// added now or before. A grant of another generation or for another
  /// incarnation is not acknowledged and its units stay unused.
  bool Receive(const BudgetGrant& grant);

  /// Forgets a grant that the receiver has acknowledged.
  void Acknowledge(std::uint64_t generation, std::uint64_t number);

  /// Grants to repeat until they are acknowledged, ordered by number.
  std::vector<BudgetGrant> Unacknowledged() const;

  bool HasUnacknowledged() const { return !this->outstanding.empty(); }

  std::size_t EstimateStateBytes() const;

 private:
  /// Numbers received from one giver; those below `floor` are all received
  /// or will never be repeated.
  struct ReceivedNumbers {
    std::uint64_t floor = 0;
    std::set<std::uint64_t> above;
  };

  MicroUnits& ShareOf(std::string_view class_name);
  MicroUnits ActiveUnits(std::string_view class_name) const;
  std::uint64_t AcknowledgedBelow(const BudgetMember& receiver) const;
  static MicroUnits InitialUnits(const BudgetGeneration& generation,
                                 const BudgetMember& member);

  BudgetMember self;
  BudgetGeneration active;
  std::optional<BudgetGeneration> pending;
  MicroUnits pending_limit = 0;  ///< Lowest initial share while waiting.
  TimePoint adopted_at{};
  std::uint64_t last_number = 0;
  /// Classes not listed have the initial share. Kept for the generation even
  /// if a class is removed, since its share may be elsewhere by then.
  std::map<std::string, MicroUnits, std::less<>> shares;
  std::map<std::uint64_t, BudgetGrant> outstanding;
  std::map<BudgetMember, ReceivedNumbers> received;
};

}  // namespace qp::policy
