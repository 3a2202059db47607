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

/// Share of a class's rate, in millionths.
using MicroUnits = std::uint64_t;
inline constexpr MicroUnits kWholeRate = 1'000'000;

/// One run of a daemon. A restarted daemon is a different member, since it no
/// longer knows which units it has granted.
struct BudgetMember {
  std::string node;
  std::uint64_t incarnation = 0;

  auto operator<=>(const BudgetMember&) const = default;
};

/// The daemons among which the rate of each class is initially divided equally.
struct BudgetGeneration {
  std::uint64_t number = 0;
  std::vector<BudgetMember> members;  ///< Sorted, without duplicates.
  /// Members of the preceding generation.
  std::vector<BudgetMember> previous_members;

  bool operator==(const BudgetGeneration&) const = default;
};

/// Transfer of units from one member of a generation to another.
struct BudgetGrant {
  std::uint64_t generation = 0;
  /// Number of the grant; unique within the giver's incarnation.
  std::uint64_t number = 0;
  /// The receiver has acknowledged all grants of this giver with lower numbers.
  std::uint64_t acknowledged_below = 0;
  BudgetMember giver;
  BudgetMember receiver;
  std::string class_name;
  MicroUnits units = 0;

  bool operator==(const BudgetGrant&) const = default;
};

/// The shares that one daemon has in the rates of the classes. Within a
/// generation, shares change only by grants, so that the sum over all daemons
/// never exceeds kWholeRate per class. Does no I/O and reads no clock.
class BudgetLedger {
 public:
  /// Minimum time between Adopt and Activate. A daemon admits requests
  /// only if the table or more than half of the members confirmed within the
  /// last 9 s that it is up to date (ClusterNode::IsConfirmed). After this
  /// longer delay, a daemon that was not confirmed again has stopped admitting,
  /// and one that was confirmed again knows every generation written before
  /// Adopt.
  static constexpr Duration kActivationDelay = std::chrono::seconds(10);

  explicit BudgetLedger(BudgetMember self);

  /// Adopts a generation if its number is higher than that of the known one;
  /// returns whether it was adopted. Until Activate, the usable share is the
  /// lower of the old and the new one, so that daemons on the old generation
  /// and daemons on the new one together stay within the rate. Nothing is
  /// granted while the generation is pending. If the daemon does not know the
  /// immediately preceding generation, it uses no share until Activate.
  bool Adopt(BudgetGeneration generation, TimePoint now);

  /// Whether an adopted generation is not active yet.
  bool HasPendingGeneration() const { return this->pending.has_value(); }

  /// Makes the pending generation active; returns whether it did. This requires
  /// that kActivationDelay has passed since Adopt, and `others_stopped`: that
  /// no daemon can still use the old generation without knowing the new one.
  /// Two cases require neither: the very first generation, before which there
  /// were no shares, and a new daemon without an initial share.
  bool Activate(bool others_stopped, TimePoint now);

  /// Number of the pending generation, or of the active one if none is pending.
  std::uint64_t KnownGeneration() const;
  std::uint64_t ActiveGeneration() const { return this->active.number; }
  /// Active generation; its number is 0 before the first activation.
  const BudgetGeneration& Active() const { return this->active; }
  /// Pending generation, or the active one if none is pending.
  const BudgetGeneration& Known() const;

  MicroUnits UsableUnits(std::string_view class_name) const;

  /// Subtracts up to `units` from the share and returns the grant to send.
  /// Empty if the share is 0, a generation is pending or `receiver` is this
  /// daemon.
  std::optional<BudgetGrant> Grant(std::string_view class_name,
                                   MicroUnits units,
                                   const BudgetMember& receiver);

  /// Adds the units of a grant at most once. Returns whether to acknowledge the
  /// grant, which holds if it is added now or was added before. A grant of
  /// another generation or for another incarnation is not acknowledged, and its
  /// units stay unused.
  bool Receive(const BudgetGrant& grant);

  /// Removes a grant that the receiver has acknowledged.
  void Acknowledge(std::uint64_t generation, std::uint64_t number);

  /// Grants to resend until they are acknowledged, ordered by number.
  std::vector<BudgetGrant> Unacknowledged() const;

  bool HasUnacknowledged() const {
    return !this->unacknowledged_grants.empty();
  }

  std::size_t EstimateStateBytes() const;

 private:
  /// Numbers of the grants received from one giver. A grant with a number below
  /// `floor` was received or will not be resent.
  struct ReceivedNumbers {
    std::uint64_t floor = 0;
    std::set<std::uint64_t> above;  ///< Received numbers from `floor` upwards.
  };

  MicroUnits& ShareOf(std::string_view class_name);
  MicroUnits ActiveUnits(std::string_view class_name) const;
  std::uint64_t AcknowledgedBelow(const BudgetMember& receiver) const;
  static MicroUnits InitialUnits(const BudgetGeneration& generation,
                                 const BudgetMember& member);

  BudgetMember self;
  BudgetGeneration active;
  std::optional<BudgetGeneration> pending;
  /// Lowest initial share in the generations adopted since the last activation.
  MicroUnits pending_limit = 0;
  TimePoint adopted_at{};
  std::uint64_t last_grant_number = 0;
  /// Classes without an entry have the initial share. Entries of removed
  /// classes are kept until the next generation, since their units may have
  /// been granted to other daemons.
  std::map<std::string, MicroUnits, std::less<>> shares;
  std::map<std::uint64_t, BudgetGrant> unacknowledged_grants;
  std::map<BudgetMember, ReceivedNumbers> received;
};

}  // namespace qp::policy
