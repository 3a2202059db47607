#include "policy/budget_ledger.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <random>
#include <string>
#include <vector>

namespace qp::policy {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint kStart{};
constexpr const char* kClass = "questions";

BudgetMember MemberAt(std::size_t index) {
  return {"vm-" + std::to_string(index), 1};
}

BudgetGeneration FirstGeneration(std::size_t members) {
  BudgetGeneration generation;
  generation.number = 1;
  for (std::size_t index = 0; index < members; ++index) {
    generation.members.push_back(MemberAt(index));
  }
  return generation;
}

BudgetLedger ActiveLedger(std::size_t index, std::size_t members) {
  BudgetLedger ledger(MemberAt(index));
  ledger.Adopt(FirstGeneration(members), kStart);
  ledger.Activate(false, kStart);
  return ledger;
}

// Guards against a first generation that leaves all daemons without a share.
TEST_CASE("the first generation divides the rate without a delay",
          "[policy][budget_ledger]") {
  CHECK(ActiveLedger(0, 4).UsableUnits(kClass) == kWholeRate / 4);
  CHECK(ActiveLedger(5, 4).UsableUnits(kClass) == 0);
}

// Guards against a share that a restarted daemon uses a second time.
TEST_CASE("a restarted daemon has no share of the previous generation",
          "[policy][budget_ledger]") {
  BudgetLedger restarted({"vm-0", 2});
  restarted.Adopt(FirstGeneration(4), kStart);
  restarted.Activate(true, kStart);
  CHECK(restarted.UsableUnits(kClass) == 0);
}

// Guards against units that are added twice or lost in transfer.
TEST_CASE("a grant that arrives several times moves its units once",
          "[policy][budget_ledger]") {
  BudgetLedger giver = ActiveLedger(0, 2);
  BudgetLedger receiver = ActiveLedger(1, 2);
  const auto grant = giver.Grant(kClass, 100, MemberAt(1));
  REQUIRE(grant);
  CHECK(giver.UsableUnits(kClass) == kWholeRate / 2 - 100);
  CHECK(receiver.Receive(*grant));
  CHECK(receiver.Receive(*grant));
  CHECK(receiver.UsableUnits(kClass) == kWholeRate / 2 + 100);
  CHECK(giver.HasUnacknowledged());
  giver.Acknowledge(1, grant->number);
  CHECK_FALSE(giver.HasUnacknowledged());

  const auto later = giver.Grant(kClass, 100, MemberAt(1));
  CHECK(receiver.Receive(*later));
  // A late copy, whose number is below ReceivedNumbers::floor.
  CHECK(receiver.Receive(*grant));
  CHECK(receiver.UsableUnits(kClass) == kWholeRate / 2 + 200);
}

// Guards against a new generation that is used while other daemons still use
// the old one.
TEST_CASE("a pending generation limits the share until it is active",
          "[policy][budget_ledger]") {
  BudgetLedger ledger = ActiveLedger(0, 2);
  BudgetLedger giver = ActiveLedger(1, 2);
  ledger.Receive(*giver.Grant(kClass, kWholeRate, MemberAt(0)));
  CHECK(ledger.UsableUnits(kClass) == kWholeRate);

  BudgetGeneration next = FirstGeneration(4);
  next.number = 2;
  next.previous_members = ledger.Active().members;
  CHECK(ledger.Adopt(next, kStart));
  CHECK(ledger.UsableUnits(kClass) == kWholeRate / 4);
  CHECK_FALSE(ledger.Grant(kClass, 10, MemberAt(1)));
  CHECK_FALSE(ledger.Activate(true, kStart + 9s));
  CHECK_FALSE(ledger.Activate(false, kStart + 20s));
  CHECK(ledger.Activate(true, kStart + 10s));
  CHECK(ledger.UsableUnits(kClass) == kWholeRate / 4);
  CHECK_FALSE(ledger.Adopt(FirstGeneration(2), kStart + 10s));
}

// Guards against a daemon that uses its share of a generation although it
// missed the previous one, from which other daemons derived their shares.
TEST_CASE(
    "a daemon that missed a generation uses no share while the next is pending",
    "[policy][budget_ledger]") {
  BudgetLedger ledger = ActiveLedger(0, 2);
  BudgetGeneration next = FirstGeneration(2);
  next.number = 3;
  next.previous_members = next.members;
  ledger.Adopt(next, kStart);
  CHECK(ledger.UsableUnits(kClass) == 0);
}

/// Faults that the simulation injects. kNone leaves the ledgers correct.
enum class Defect { kNone, kAddsGrantTwice, kNoActivationDelay };

/// Ledgers of several daemons and a network that loses, repeats and reorders
/// messages.
class LedgerSimulation {
 public:
  LedgerSimulation(std::size_t members, Defect injected_defect)
      : defect(injected_defect) {
    for (std::size_t index = 0; index < members; ++index) {
      this->ledgers.push_back(ActiveLedger(index, members));
    }
    this->latest = FirstGeneration(members);
  }

  /// Runs one step. The random numbers select the operation, two daemons or a
  /// message, and the units to grant.
  void Step(std::size_t choice, std::size_t first, std::size_t second,
            MicroUnits units) {
    BudgetLedger& granter = this->ledgers[first % this->ledgers.size()];
    const std::size_t other = second % this->ledgers.size();
    this->now += 100ms;
    switch (choice % 6) {
      case 0:
      case 1:
        if (const auto grant = granter.Grant(kClass, units, MemberAt(other))) {
          this->in_flight.push_back(*grant);
        }
        break;
      case 2:
      case 3:
        this->Deliver(second);
        break;
      case 4:
        for (const BudgetGrant& grant : granter.Unacknowledged()) {
          this->in_flight.push_back(grant);
        }
        break;
      default:
        this->ChangeGeneration(granter, units);
        break;
    }
  }

  MicroUnits UsableSum() const {
    MicroUnits sum = 0;
    for (const BudgetLedger& ledger : this->ledgers) {
      sum += ledger.UsableUnits(kClass);
    }
    return sum;
  }

 private:
  /// Delivers one of the messages in flight. The message is kept, so that it
  /// can be delivered again.
  void Deliver(std::size_t which) {
    if (this->in_flight.empty()) {
      return;
    }
    BudgetGrant grant = this->in_flight[which % this->in_flight.size()];
    if (this->defect == Defect::kAddsGrantTwice) {
      grant.number += ++this->renumbered * 1'000'000;
    }
    for (std::size_t index = 0; index < this->ledgers.size(); ++index) {
      if (MemberAt(index) == grant.receiver &&
          this->ledgers[index].Receive(grant) && which % 2 == 0) {
        const std::size_t giver =
            static_cast<std::size_t>(std::stoul(grant.giver.node.substr(3)));
        this->ledgers[giver].Acknowledge(grant.generation, grant.number);
      }
    }
  }

  /// Sometimes creates a new generation; then lets `ledger` adopt and activate
  /// the latest one.
  void ChangeGeneration(BudgetLedger& ledger, MicroUnits random) {
    if (random % 8 == 0 && this->ActiveOnAll()) {
      BudgetGeneration next = this->latest;
      next.number = this->latest.number + 1;
      next.previous_members = this->latest.members;
      this->latest = next;
    }
    ledger.Adopt(this->latest, this->now);
    if (this->defect == Defect::kNoActivationDelay) {
      ledger.Activate(true, this->now + 1h);
      return;
    }
    ledger.Activate(this->KnownToAll(), this->now);
  }

  bool KnownToAll() const {
    for (const BudgetLedger& ledger : this->ledgers) {
      if (ledger.KnownGeneration() < this->latest.number) {
        return false;
      }
    }
    return true;
  }

  bool ActiveOnAll() const {
    for (const BudgetLedger& ledger : this->ledgers) {
      if (ledger.ActiveGeneration() < this->latest.number) {
        return false;
      }
    }
    return true;
  }

  Defect defect;
  TimePoint now = kStart;
  std::vector<BudgetLedger> ledgers;
  BudgetGeneration latest;
  std::vector<BudgetGrant> in_flight;
  std::uint64_t renumbered = 0;
};

/// Whether the sum of usable shares exceeds the rate in a simulation with
/// random steps from `seed`.
bool Exceeds(std::size_t members, std::uint64_t seed, Defect defect) {
  LedgerSimulation simulation(members, defect);
  std::mt19937_64 random(seed);
  for (int step = 0; step < 600; ++step) {
    const auto choice = random() % 6;
    const auto first = random() % 64;
    const auto second = random() % 64;
    simulation.Step(choice, first, second, random() % kWholeRate);
    if (simulation.UsableSum() > kWholeRate) {
      return true;
    }
  }
  return false;
}

// Guards against units that are created by lost, repeated or late messages or
// by a change of generation.
TEST_CASE("the sum of usable shares never exceeds the rate",
          "[policy][budget_ledger][property]") {
  rc::prop("for any order of grants, deliveries and generations", [] {
    const auto members = *rc::gen::inRange<std::size_t>(2, 9);
    const auto seed = *rc::gen::inRange<std::uint64_t>(0, 1'000'000);
    RC_ASSERT_FALSE(Exceeds(members, seed, Defect::kNone));
  });
}

TEST_CASE("the check of the sum detects injected faults",
          "[policy][budget_ledger][counterproof]") {
  const auto defect =
      GENERATE(Defect::kAddsGrantTwice, Defect::kNoActivationDelay);
  bool found = false;
  for (std::uint64_t seed = 0; seed < 50; ++seed) {
    found = found || Exceeds(4, seed, defect);
  }
  CHECK(found);
}

}  // namespace
}  // namespace qp::policy
