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

/// Moves shares of the class rates from daemons with a surplus to daemons with
/// a shortage, and converts this daemon's shares into rates.
class BudgetExchange {
 public:
  static constexpr Duration kRoundInterval = std::chrono::milliseconds(200);
  /// Demand reports and shortages of other members that are older are ignored.
  static constexpr Duration kMaxDemandAge = std::chrono::seconds(3);
  /// Maximum number of shortages in a digest, of this daemon and of other
  /// members together.
  static constexpr std::size_t kMaxShortagesPerDigest = 12;
  /// Maximum number of daemons among which a leaving daemon divides its shares.
  static constexpr std::size_t kMaxLeaveReceivers = 4;

  BudgetExchange(policy::BudgetMember self, EventSink& events,
                 std::uint64_t random_seed);

  policy::BudgetLedger& ledger() { return this->budget_ledger; }
  const policy::BudgetLedger& ledger() const { return this->budget_ledger; }

  /// Makes `configuration` the current one of this daemon. Until
  /// OnVersionAgreed, each class is limited to the lowest of its rates in all
  /// versions that other daemons can still use.
  void SetConfiguration(std::shared_ptr<const Configuration> configuration);

  /// Drops the versions below `version`, which no daemon uses any more.
  void OnVersionAgreed(std::uint64_t version);

  /// Whether some daemon can still use a version below the current one.
  bool IsAwaitingAgreement() const {
    return !this->versions.empty() &&
           (!this->has_agreed_version || this->versions.size() > 1);
  }

  /// Whether no version has been agreed on since the start. The earlier rates
  /// are unknown until then, so no share is used.
  bool IsFirstConfiguration() const { return !this->has_agreed_version; }

  void ReportDemand(std::string_view class_name, const ClassDemand& demand,
                    TimePoint now);

  /// Applies the shortages of other members from a received digest.
  void OnShortages(const std::vector<ShortageEntry>& entries, TimePoint now);

  /// Returns the shortages for a digest: those of this daemon first, then a
  /// random sample of those of other members.
  std::vector<ShortageEntry> MakeShortageEntries(TimePoint now);

  /// Grants surplus shares every kRoundInterval and resends unacknowledged
  /// grants at a longer interval.
  void Tick(const Membership& members, TimePoint now,
            std::vector<Envelope>& out);

  void OnGrant(const policy::BudgetGrant& grant, const std::string& address,
               std::vector<Envelope>& out);

  /// Divides all shares among up to kMaxLeaveReceivers random live members.
  void GrantAllShares(const Membership& members, std::vector<Envelope>& out);

  /// Returns the usable shares as rates; empty until a version has been agreed
  /// on.
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

  /// Hash of the class name and hash of the node name.
  using ShortageKey = std::pair<NameHash, NameHash>;

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
  /// Versions that some daemon can still use, ascending; the last one is the
  /// current version of this daemon.
  std::vector<std::shared_ptr<const Configuration>> versions;
  bool has_agreed_version = false;
  std::map<std::string, ReportedDemand, std::less<>> demands;
  std::map<ShortageKey, Shortage> shortages;
  std::optional<TimePoint> next_round;
  std::optional<TimePoint> next_resend;
};

}  // namespace qp
