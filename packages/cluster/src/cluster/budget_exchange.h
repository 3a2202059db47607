#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "blackboard/views.h"
#include "cluster/class_demand.h"
#include "cluster/membership.h"
#include "cluster/messages.h"
#include "config/configuration.h"
#include "foundation/clock.h"
#include "foundation/event.h"
#include "policy/budget_ledger.h"

namespace qp {

/// Moves shares of class rates from daemons with a surplus to those with a
/// shortage, and turns shares into rates.
class BudgetExchange {
 public:
  static constexpr Duration kRoundInterval = std::chrono::milliseconds(200);
  /// Reports of demand and shortage are used for this time.
  static constexpr Duration kMaxDemandAge = std::chrono::seconds(3);
  /// Own shortages and those of other members in a digest.
  static constexpr std::size_t kMaxShortagesPerDigest = 12;
  /// Daemons among which a leaving one divides its shares.
  static constexpr std::size_t kMaxLeaveReceivers = 4;

  BudgetExchange(policy::BudgetMember self, EventSink& events,
                 std::uint64_t random_seed);

  policy::BudgetLedger& ledger() { return this->budget_ledger; }
  const policy::BudgetLedger& ledger() const { return this->budget_ledger; }

  /// A new configuration applies here. Until OnVersionAgreed, each class is
  /// held to the lowest of its rates in the versions that other daemons may
  /// still use.
  void SetConfiguration(std::shared_ptr<const Configuration> configuration);

  /// No daemon uses a version before `version` any more.
  void OnVersionAgreed(std::uint64_t version);

  /// Whether a version before the current one may still be in use.
  bool IsAwaitingAgreement() const {
    return !this->versions.empty() &&
           (!this->has_agreed_version || this->versions.size() > 1);
  }

  /// Whether no version has settled here yet. The rates before are not known
  /// then, so no share is used.
  bool IsFirstConfiguration() const { return !this->has_agreed_version; }

  void ReportDemand(std::string_view class_name, const ClassDemand& demand,
                    TimePoint now);

  /// Takes in shortages of other members.
  void OnShortages(const std::vector<ShortageEntry>& entries, TimePoint now);

  /// Own shortages, then a random choice of the known ones.
  std::vector<ShortageEntry> MakeShortageEntries(TimePoint now);

  /// Repeats unacknowledged grants and gives new ones, when due.
  void Tick(const Membership& members, TimePoint now,
            std::vector<Envelope>& out);

  void OnGrant(const policy::BudgetGrant& grant, const std::string& address,
               std::vector<Envelope>& out);

  /// Gives all shares to up to kMaxLeaveReceivers members.
  void GrantAllShares(const Membership& members, std::vector<Envelope>& out);

  /// Shares as rates of the current configuration.
  BudgetsView View() const;

  std::size_t EstimateStateBytes() const;

 private:
  struct ReportedDemand {
    ClassDemand demand;
    TimePoint at{};
  };

  /// A shortage of another member.
  struct Shortage {
    policy::MicroUnits units = 0;
    TimePoint at{};
  };

  using ShortageKey = std::pair<NameHash, NameHash>;  ///< Class, node.

  double MinRequestRate(std::string_view class_name) const;
  policy::MicroUnits ToUnits(std::string_view class_name, double rate) const;
  policy::MicroUnits Surplus(std::string_view class_name, TimePoint now) const;
  policy::MicroUnits LocalShortage(std::string_view class_name,
                                   TimePoint now) const;
  void GrantSurplus(std::string_view class_name, const Membership& members,
                    TimePoint now, std::vector<Envelope>& out);
  std::optional<ShortageKey> ChooseReceiver(NameHash class_name,
                                            const Membership& members);
  void Send(const policy::BudgetGrant& grant, const std::string& address,
            std::vector<Envelope>& out);
  void ResendGrants(const Membership& members,
                    std::vector<Envelope>& out) const;

  policy::BudgetMember self;
  EventSink& events;
  std::mt19937_64 random;
  policy::BudgetLedger budget_ledger;
  /// Versions that may be in use, ascending; the last one applies here.
  std::vector<std::shared_ptr<const Configuration>> versions;
  bool has_agreed_version = false;
  std::map<std::string, ReportedDemand, std::less<>> demands;
  std::map<ShortageKey, Shortage> shortages;
  std::optional<TimePoint> next_round;
  std::optional<TimePoint> next_resend;
};

}  // namespace qp
