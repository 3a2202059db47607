#include "policy/budget_ledger.h"

#include <algorithm>

namespace qp::policy {

namespace {

// Estimated bytes that a std::map or std::set allocates for each element in
// addition to the element itself.
constexpr std::size_t kTreeNodeBytes = 48;

}  // namespace

BudgetLedger::BudgetLedger(BudgetMember self_member)
    : self(std::move(self_member)) {}

bool BudgetLedger::Adopt(BudgetGeneration generation, TimePoint now) {
  const std::uint64_t known = this->KnownGeneration();
  if (generation.number <= known) {
    return false;
  }
  // A daemon that missed a generation doesn't know the shares that other
  // daemons derived from it, so it uses no share until the new one is active.
  const bool is_successor = known > 0 && generation.number == known + 1;
  const MicroUnits initial =
      is_successor ? InitialUnits(generation, this->self) : 0;
  this->pending_limit =
      this->pending ? std::min(this->pending_limit, initial) : initial;
  this->pending = std::move(generation);
  this->adopted_at = now;
  return true;
}

bool BudgetLedger::Activate(bool others_stopped, TimePoint now) {
  if (!this->pending) {
    return false;
  }
  const bool is_first =
      this->pending->number == 1 && this->pending->previous_members.empty();
  // Without old shares and without an initial one, this daemon has only the
  // units granted by daemons on which the generation is already active.
  const bool has_no_share =
      this->active.number == 0 && InitialUnits(*this->pending, this->self) == 0;
  const bool delay_passed = now >= this->adopted_at + kActivationDelay;
  if (!is_first && !has_no_share && !(others_stopped && delay_passed)) {
    return false;
  }
  this->active = std::move(*this->pending);
  this->pending.reset();
  this->shares.clear();
  this->unacknowledged_grants.clear();
  this->received.clear();
  return true;
}

std::uint64_t BudgetLedger::KnownGeneration() const {
  return this->Known().number;
}

const BudgetGeneration& BudgetLedger::Known() const {
  return this->pending ? *this->pending : this->active;
}

MicroUnits BudgetLedger::UsableUnits(std::string_view class_name) const {
  const MicroUnits share = this->ActiveUnits(class_name);
  return this->pending ? std::min(share, this->pending_limit) : share;
}

std::optional<BudgetGrant> BudgetLedger::Grant(std::string_view class_name,
                                               MicroUnits units,
                                               const BudgetMember& receiver) {
  if (this->pending || receiver == this->self) {
    return std::nullopt;
  }
  MicroUnits& share = this->ShareOf(class_name);
  const MicroUnits granted = std::min(share, units);
  if (granted == 0) {
    return std::nullopt;
  }
  share -= granted;
  BudgetGrant grant;
  grant.generation = this->active.number;
  grant.number = ++this->last_grant_number;
  grant.giver = this->self;
  grant.receiver = receiver;
  grant.class_name = class_name;
  grant.units = granted;
  this->unacknowledged_grants.emplace(grant.number, grant);
  grant.acknowledged_below = this->AcknowledgedBelow(receiver);
  return grant;
}

bool BudgetLedger::Receive(const BudgetGrant& grant) {
  if (grant.generation != this->active.number || grant.receiver != this->self ||
      grant.units > kWholeRate) {
    return false;
  }
  ReceivedNumbers& numbers = this->received[grant.giver];
  if (grant.number >= numbers.floor &&
      numbers.above.insert(grant.number).second) {
    this->ShareOf(grant.class_name) += grant.units;
  }
  numbers.floor = std::max(numbers.floor, grant.acknowledged_below);
  numbers.above.erase(numbers.above.begin(),
                      numbers.above.lower_bound(numbers.floor));
  return true;
}

void BudgetLedger::Acknowledge(std::uint64_t generation, std::uint64_t number) {
  if (generation == this->active.number) {
    this->unacknowledged_grants.erase(number);
  }
}

std::vector<BudgetGrant> BudgetLedger::Unacknowledged() const {
  std::vector<BudgetGrant> grants;
  grants.reserve(this->unacknowledged_grants.size());
  for (const auto& [number, grant] : this->unacknowledged_grants) {
    grants.push_back(grant);
    grants.back().acknowledged_below = this->AcknowledgedBelow(grant.receiver);
  }
  return grants;
}

std::size_t BudgetLedger::EstimateStateBytes() const {
  std::size_t bytes = sizeof(*this);
  bytes += this->active.members.size() * sizeof(BudgetMember) * 2;
  bytes += this->shares.size() * (kTreeNodeBytes + sizeof(std::string) + 8);
  bytes += this->unacknowledged_grants.size() *
           (kTreeNodeBytes + sizeof(BudgetGrant));
  for (const auto& [giver, numbers] : this->received) {
    bytes += kTreeNodeBytes + sizeof(giver) + sizeof(numbers);
    bytes += numbers.above.size() * kTreeNodeBytes;
  }
  return bytes;
}

MicroUnits& BudgetLedger::ShareOf(std::string_view class_name) {
  auto found = this->shares.find(class_name);
  if (found == this->shares.end()) {
    const MicroUnits initial = InitialUnits(this->active, this->self);
    found = this->shares.emplace(class_name, initial).first;
  }
  return found->second;
}

MicroUnits BudgetLedger::ActiveUnits(std::string_view class_name) const {
  const auto found = this->shares.find(class_name);
  return found != this->shares.end() ? found->second
                                     : InitialUnits(this->active, this->self);
}

std::uint64_t BudgetLedger::AcknowledgedBelow(
    const BudgetMember& receiver) const {
  for (const auto& [number, grant] : this->unacknowledged_grants) {
    if (grant.receiver == receiver) {
      return number;
    }
  }
  return this->last_grant_number + 1;
}

MicroUnits BudgetLedger::InitialUnits(const BudgetGeneration& generation,
                                      const BudgetMember& member) {
  const auto& members = generation.members;
  return std::binary_search(members.begin(), members.end(), member)
             ? kWholeRate / members.size()
             : 0;
}

}  // namespace qp::policy
