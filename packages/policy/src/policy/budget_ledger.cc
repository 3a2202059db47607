#include "policy/budget_ledger.h"

#include <algorithm>

namespace qp::policy {

namespace {

// Bytes that a node of a standard map adds to its element.
constexpr std::size_t kTreeNodeBytes = 48;

}  // namespace

BudgetLedger::BudgetLedger(BudgetMember self_member)
    : self(std::move(self_member)) {}

bool BudgetLedger::Adopt(BudgetGeneration generation, TimePoint now) {
  const std::uint64_t known = this->KnownGeneration();
  if (generation.number <= known) {
    return false;
  }
  // A daemon that missed a generation can't tell which shares the others
  // derived from it, so it uses none until it activates the new one.
  const bool successive = known > 0 && generation.number == known + 1;
  const MicroUnits initial =
      successive ? InitialUnits(generation, this->self) : 0;
  this->waiting_limit =
      this->next ? std::min(this->waiting_limit, initial) : initial;
  this->next = std::move(generation);
  this->adopted_at = now;
  return true;
}

bool BudgetLedger::Activate(bool others_stopped, TimePoint now) {
  if (!this->next) {
    return false;
  }
  const bool first =
      this->next->number == 1 && this->next->previous_members.empty();
  // Without old shares and without an initial one, this daemon holds only what
  // daemons that already use the generation give to it.
  const bool holds_nothing =
      this->active.number == 0 && InitialUnits(*this->next, this->self) == 0;
  const bool waited = now >= this->adopted_at + kWaitBeforeUse;
  if (!first && !holds_nothing && !(others_stopped && waited)) {
    return false;
  }
  this->active = std::move(*this->next);
  this->next.reset();
  this->shares.clear();
  this->outstanding.clear();
  this->received.clear();
  return true;
}

std::uint64_t BudgetLedger::KnownGeneration() const {
  return this->Known().number;
}

const BudgetGeneration& BudgetLedger::Known() const {
  return this->next ? *this->next : this->active;
}

MicroUnits BudgetLedger::UsableUnits(std::string_view class_name) const {
  const MicroUnits held = this->ActiveUnits(class_name);
  return this->next ? std::min(held, this->waiting_limit) : held;
}

std::optional<BudgetGrant> BudgetLedger::Give(std::string_view class_name,
                                              MicroUnits units,
                                              const BudgetMember& receiver) {
  if (this->next || receiver == this->self) {
    return std::nullopt;
  }
  MicroUnits& share = this->ShareOf(class_name);
  const MicroUnits given = std::min(share, units);
  if (given == 0) {
    return std::nullopt;
  }
  share -= given;
  BudgetGrant grant;
  grant.generation = this->active.number;
  grant.number = ++this->last_number;
  grant.giver = this->self;
  grant.receiver = receiver;
  grant.class_name = class_name;
  grant.units = given;
  this->outstanding.emplace(grant.number, grant);
  grant.settled_below = this->SettledBelow(receiver);
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
  numbers.floor = std::max(numbers.floor, grant.settled_below);
  numbers.above.erase(numbers.above.begin(),
                      numbers.above.lower_bound(numbers.floor));
  return true;
}

void BudgetLedger::Acknowledge(std::uint64_t generation, std::uint64_t number) {
  if (generation == this->active.number) {
    this->outstanding.erase(number);
  }
}

std::vector<BudgetGrant> BudgetLedger::Unacknowledged() const {
  std::vector<BudgetGrant> grants;
  grants.reserve(this->outstanding.size());
  for (const auto& [number, grant] : this->outstanding) {
    grants.push_back(grant);
    grants.back().settled_below = this->SettledBelow(grant.receiver);
  }
  return grants;
}

std::size_t BudgetLedger::EstimateStateBytes() const {
  std::size_t bytes = sizeof(*this);
  bytes += this->active.members.size() * sizeof(BudgetMember) * 2;
  bytes += this->shares.size() * (kTreeNodeBytes + sizeof(std::string) + 8);
  bytes += this->outstanding.size() * (kTreeNodeBytes + sizeof(BudgetGrant));
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

std::uint64_t BudgetLedger::SettledBelow(const BudgetMember& receiver) const {
  for (const auto& [number, grant] : this->outstanding) {
    if (grant.receiver == receiver) {
      return number;
    }
  }
  return this->last_number + 1;
}

MicroUnits BudgetLedger::InitialUnits(const BudgetGeneration& generation,
                                      const BudgetMember& member) {
  const auto& members = generation.members;
  return std::binary_search(members.begin(), members.end(), member)
             ? kWholeRate / members.size()
             : 0;
}

}  // namespace qp::policy
