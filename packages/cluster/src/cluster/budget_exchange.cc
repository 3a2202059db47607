#include "cluster/budget_exchange.h"

#include <algorithm>
#include <cmath>

#include "cluster/size_estimate.h"

namespace qp {

namespace {

using policy::BudgetGrant;
using policy::BudgetMember;
using policy::kWholeRate;
using policy::MicroUnits;

/// Unit of ShortageEntry::age.
constexpr Duration kAgeUnit = std::chrono::milliseconds(100);
/// Highest ShortageEntry::age that is sent, in kAgeUnit.
constexpr std::uint32_t kMaxAgeUnits = 127;
/// Fraction of the used rate that a daemon keeps in addition to the used rate,
/// so that small variations of the load do not cause refusals.
constexpr double kHeadroom = 0.02;
/// Minimum units of a grant; a smaller grant does not justify a message.
constexpr MicroUnits kMinGrant = 20;
/// Interval at which unacknowledged grants are sent again.
constexpr Duration kResendInterval = std::chrono::milliseconds(500);
/// Maximum number of grants of one class in one round.
constexpr int kMaxGrantsPerRound = 8;

BudgetMember MemberOf(const MemberRecord& record) {
  return {record.identity.node, record.identity.incarnation};
}

bool CanReceive(const MemberRecord* record) {
  return record != nullptr && record->state == MemberState::kAlive;
}

}  // namespace

BudgetExchange::BudgetExchange(BudgetMember self_member, EventSink& sink,
                               std::uint64_t random_seed)
    : self(self_member),
      events(sink),
      random(random_seed),
      budget_ledger(std::move(self_member)) {}

void BudgetExchange::SetConfiguration(
    std::shared_ptr<const Configuration> configuration) {
  this->versions.push_back(std::move(configuration));
}

void BudgetExchange::OnVersionAgreed(std::uint64_t version) {
  this->has_agreed_version = true;
  std::erase_if(this->versions, [version](const auto& configuration) {
    return configuration->version < version;
  });
}

void BudgetExchange::ReportDemand(std::string_view class_name,
                                  const ClassDemand& demand, TimePoint now) {
  this->demands.insert_or_assign(std::string(class_name),
                                 ReportedDemand{demand, now});
}

void BudgetExchange::OnShortages(const std::vector<ShortageEntry>& entries,
                                 TimePoint now) {
  const NameHash own = HashName(this->self.node);
  for (const ShortageEntry& entry : entries) {
    const TimePoint at = now - entry.age * kAgeUnit;
    if (entry.node == own || at + kMaxDemandAge <= now) {
      continue;
    }
    Shortage& known = this->shortages[{entry.class_name, entry.node}];
    if (at > known.at) {
      known = {entry.units, at};
    }
  }
}

std::vector<ShortageEntry> BudgetExchange::MakeShortageEntries(TimePoint now) {
  std::erase_if(this->shortages, [now](const auto& entry) {
    return entry.second.at + kMaxDemandAge <= now;
  });
  std::vector<ShortageEntry> entries;
  for (const auto& [class_name, demand] : this->demands) {
    const MicroUnits units = this->LocalShortage(class_name, now);
    if (units > 0 && entries.size() < kMaxShortagesPerDigest) {
      entries.push_back({HashName(this->self.node), HashName(class_name),
                         static_cast<std::uint32_t>(units), 0});
    }
  }
  std::vector<ShortageEntry> others;
  for (const auto& [key, shortage] : this->shortages) {
    const auto age = (now - shortage.at) / kAgeUnit + 1;
    others.push_back({key.second, key.first,
                      static_cast<std::uint32_t>(shortage.units),
                      static_cast<std::uint32_t>(
                          std::min<std::int64_t>(age, kMaxAgeUnits))});
  }
  std::sample(others.begin(), others.end(), std::back_inserter(entries),
              kMaxShortagesPerDigest - entries.size(), this->random);
  return entries;
}

void BudgetExchange::Tick(const Membership& members, TimePoint now,
                          std::vector<Envelope>& out) {
  if (this->next_round && now < *this->next_round) {
    return;
  }
  this->next_round = now + kRoundInterval;
  if (!this->next_resend || now >= *this->next_resend) {
    this->next_resend = now + kResendInterval;
    this->ResendGrants(members, out);
  }
  if (this->versions.empty()) {
    return;
  }
  const auto configuration = this->versions.back();
  for (const RequestClass& request_class : configuration->classes) {
    this->GrantSurplus(request_class.name, members, now, out);
  }
}

void BudgetExchange::OnGrant(const BudgetGrant& grant,
                             const std::string& address,
                             std::vector<Envelope>& out) {
  const MicroUnits before = this->budget_ledger.UsableUnits(grant.class_name);
  if (!this->budget_ledger.Receive(grant)) {
    return;
  }
  const MicroUnits after = this->budget_ledger.UsableUnits(grant.class_name);
  const auto demand = this->demands.find(grant.class_name);
  if (demand != this->demands.end() && after > before) {
    // The last demand report predates the grant. Until the next report, the
    // granted rate counts as used, so that the daemon does not announce a
    // shortage that the grant has already reduced.
    const double rate = this->MinRequestRate(grant.class_name) *
                        static_cast<double>(after - before) / kWholeRate;
    ClassDemand& reported = demand->second.demand;
    const double covered = std::min(rate, reported.shortage_per_second);
    reported.shortage_per_second -= covered;
    reported.used_per_second += covered;
  }
  if (after > before) {
    this->events.Record(EventId::kBudgetReceived,
                        {{"class", grant.class_name},
                         {"from", grant.giver.node},
                         {"units", std::to_string(grant.units)}});
  }
  out.push_back({address, BudgetGrantAck{grant.generation, grant.number}});
}

void BudgetExchange::GrantAllShares(const Membership& members,
                                    std::vector<Envelope>& out) {
  std::vector<const MemberRecord*> alive;
  for (const auto& [node, record] : members.records()) {
    if (CanReceive(&record) &&
        record.generation >= this->budget_ledger.ActiveGeneration()) {
      alive.push_back(&record);
    }
  }
  if (alive.empty() || this->versions.empty()) {
    return;
  }
  std::shuffle(alive.begin(), alive.end(), this->random);
  alive.resize(std::min(alive.size(), kMaxLeaveReceivers));
  for (const RequestClass& request_class : this->versions.back()->classes) {
    const MicroUnits held = this->budget_ledger.UsableUnits(request_class.name);
    const MicroUnits units_each = held / alive.size() + 1;
    for (const MemberRecord* receiver : alive) {
      const auto grant = this->budget_ledger.Grant(
          request_class.name, units_each, MemberOf(*receiver));
      if (grant) {
        this->Send(*grant, receiver->identity.peer_address, out);
      }
    }
  }
}

BudgetsView BudgetExchange::View() const {
  BudgetsView view;
  view.generation = this->budget_ledger.ActiveGeneration();
  if (this->versions.empty() || !this->has_agreed_version) {
    return view;
  }
  for (const RequestClass& request_class : this->versions.back()->classes) {
    const double fraction = static_cast<double>(this->budget_ledger.UsableUnits(
                                request_class.name)) /
                            static_cast<double>(kWholeRate);
    double tokens = request_class.target.tokens_per_second;
    for (const auto& version : this->versions) {
      const RequestClass* other = version->FindClass(request_class.name);
      if (other != nullptr) {
        tokens = std::min(tokens, other->target.tokens_per_second);
      }
    }
    view.shares.emplace(
        request_class.name,
        ClassShare{fraction * this->MinRequestRate(request_class.name),
                   fraction * tokens});
  }
  return view;
}

std::size_t BudgetExchange::EstimateStateBytes() const {
  return sizeof(*this) + this->budget_ledger.EstimateStateBytes() +
         this->demands.size() * (detail::kTreeNodeBytes + sizeof(std::string) +
                                 sizeof(ReportedDemand)) +
         this->shortages.size() *
             (detail::kTreeNodeBytes + sizeof(ShortageKey) + sizeof(Shortage));
}

double BudgetExchange::MinRequestRate(std::string_view class_name) const {
  std::optional<double> lowest;
  for (const auto& version : this->versions) {
    const RequestClass* found = version->FindClass(class_name);
    if (found != nullptr) {
      const double rate = found->target.requests_per_second;
      lowest = std::min(lowest.value_or(rate), rate);
    }
  }
  return lowest.value_or(0);
}

MicroUnits BudgetExchange::ToUnits(std::string_view class_name,
                                   double rate) const {
  const double total_rate = this->MinRequestRate(class_name);
  if (total_rate <= 0 || rate <= 0) {
    return 0;
  }
  const double fraction = std::min(rate / total_rate, 1.0);
  return static_cast<MicroUnits>(std::ceil(fraction * kWholeRate));
}

MicroUnits BudgetExchange::Surplus(std::string_view class_name,
                                   TimePoint now) const {
  const MicroUnits share = this->budget_ledger.UsableUnits(class_name);
  const auto found = this->demands.find(class_name);
  if (found == this->demands.end() || now >= found->second.at + kMaxDemandAge) {
    return share;
  }
  const ClassDemand& demand = found->second.demand;
  const MicroUnits needed =
      this->ToUnits(class_name, demand.used_per_second * (1 + kHeadroom) +
                                    demand.shortage_per_second);
  return share > needed ? share - needed : 0;
}

MicroUnits BudgetExchange::LocalShortage(std::string_view class_name,
                                         TimePoint now) const {
  const auto found = this->demands.find(class_name);
  if (found == this->demands.end() || now >= found->second.at + kMaxDemandAge) {
    return 0;
  }
  return this->ToUnits(class_name, found->second.demand.shortage_per_second);
}

void BudgetExchange::GrantSurplus(std::string_view class_name,
                                  const Membership& members, TimePoint now,
                                  std::vector<Envelope>& out) {
  const NameHash hash = HashName(class_name);
  for (int grants = 0; grants < kMaxGrantsPerRound; ++grants) {
    const MicroUnits surplus = this->Surplus(class_name, now);
    if (surplus < kMinGrant) {
      return;
    }
    const auto key = this->ChooseReceiver(hash, members);
    if (!key) {
      return;
    }
    MicroUnits& shortage = this->shortages[*key].units;
    const MemberRecord* receiver = members.Find(key->second);
    const auto grant = this->budget_ledger.Grant(
        class_name, std::min(surplus, shortage), MemberOf(*receiver));
    if (!grant) {
      return;
    }
    shortage -= grant->units;
    this->Send(*grant, receiver->identity.peer_address, out);
  }
}

std::optional<BudgetExchange::ShortageKey> BudgetExchange::ChooseReceiver(
    NameHash class_name, const Membership& members) {
  std::vector<ShortageKey> candidates;
  std::vector<double> weights;
  const auto first = this->shortages.lower_bound({class_name, 0});
  for (auto it = first;
       it != this->shortages.end() && it->first.first == class_name; ++it) {
    if (it->second.units >= kMinGrant &&
        CanReceive(members.Find(it->first.second))) {
      candidates.push_back(it->first);
      weights.push_back(static_cast<double>(it->second.units));
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  // The choice is random, weighted by shortage. If every daemon granted to the
  // member with the largest shortage, their grants together would exceed it.
  std::discrete_distribution<std::size_t> choice(weights.begin(),
                                                 weights.end());
  return candidates[choice(this->random)];
}

void BudgetExchange::Send(const BudgetGrant& grant, const std::string& address,
                          std::vector<Envelope>& out) {
  this->events.Record(EventId::kBudgetGranted,
                      {{"class", grant.class_name},
                       {"to", grant.receiver.node},
                       {"units", std::to_string(grant.units)}});
  out.push_back({address, grant});
}

void BudgetExchange::ResendGrants(const Membership& members,
                                  std::vector<Envelope>& out) const {
  for (BudgetGrant& grant : this->budget_ledger.Unacknowledged()) {
    const MemberRecord* receiver = members.FindByName(grant.receiver.node);
    if (receiver != nullptr && receiver->state != MemberState::kGone &&
        receiver->identity.incarnation == grant.receiver.incarnation) {
      out.push_back({receiver->identity.peer_address, std::move(grant)});
    }
  }
}

}  // namespace qp
