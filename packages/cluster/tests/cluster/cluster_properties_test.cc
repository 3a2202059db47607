// Properties of whole clusters under random faults. Each check takes the
// behaviour to test as a parameter. Broken variants of the behaviour prove that
// the check detects violations.

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>

#include "cluster/cluster_harness.h"

namespace qp {
namespace {

using testing::ClusterHarness;
using testing::kClassRate;
using testing::MakeConfiguration;
using namespace std::chrono_literals;

/// Description of a violated property; empty if the property holds.
using Violation = std::optional<std::string>;

/// How a daemon acts on the state of its ClusterNode. Broken variants override
/// one of the decisions.
class Behaviour {
 public:
  virtual ~Behaviour() = default;

  virtual double UsableRate(ClusterHarness& cluster, std::size_t index) {
    const auto view = cluster.node(index).Budgets(cluster.now());
    const auto found = view.shares.find("questions");
    return found != view.shares.end() ? found->second.requests_per_second : 0;
  }

  virtual std::uint64_t Version(ClusterHarness& cluster, std::size_t index) {
    const auto current = cluster.node(index).CurrentConfiguration();
    return current ? current->version : 0;
  }

  virtual bool CanServe(ClusterHarness& cluster, std::size_t index) {
    return cluster.node(index).CurrentConfiguration() &&
           cluster.node(index).HasSyncedWithPeers(cluster.now());
  }

  virtual bool IsConfirmed(ClusterHarness& cluster, std::size_t index) {
    return cluster.node(index).IsConfirmed(cluster.now());
  }

  virtual bool SeesAlive(ClusterHarness& cluster, std::size_t observer,
                         std::size_t subject) {
    return cluster.SeesAlive(observer, subject);
  }
};

/// Injects random faults into a cluster. Step is called once per second.
class FaultSchedule {
 public:
  FaultSchedule(ClusterHarness& target, std::uint64_t seed)
      : cluster(target), random(seed) {}

  std::size_t DrawIndex(std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0,
                                                      count - 1)(this->random);
  }

  bool DrawBool(double probability) {
    return std::bernoulli_distribution(probability)(this->random);
  }

  void Step() {
    if (this->DrawBool(0.1)) {
      this->ChangePartition();
    }
    if (this->DrawBool(0.1)) {
      this->cluster.net().SetFaults(
          {this->DrawBool(0.5) ? 0.15 : 0.0, this->DrawBool(0.5) ? 0.2 : 0.0,
           1ms, this->DrawBool(0.5) ? Duration(200ms) : Duration(5ms)});
    }
    if (this->DrawBool(0.15)) {
      auto& daemon = this->DrawDaemon();
      daemon.table_reachable = !daemon.table_reachable;
    }
    if (this->DrawBool(0.06)) {
      const std::size_t index = this->DrawIndex(this->cluster.daemons().size());
      if (this->cluster.daemons()[index].node) {
        this->cluster.Kill(index);
      } else {
        this->cluster.Start(index);
      }
    }
  }

  /// Reports random demand for each running daemon.
  void ReportDemands(Behaviour& behaviour) {
    for (std::size_t index = 0; index < this->cluster.daemons().size();
         ++index) {
      if (!this->cluster.daemons()[index].node) {
        continue;
      }
      const double wanted = this->DrawBool(0.4) ? kClassRate : 10;
      const double share = behaviour.UsableRate(this->cluster, index);
      this->cluster.node(index).ReportDemand(
          "questions", {std::min(wanted, share), std::max(0.0, wanted - share)},
          this->cluster.now());
    }
  }

  void Heal() {
    this->cluster.net().Heal();
    this->cluster.net().SetFaults({});
  }

 private:
  ClusterHarness::Daemon& DrawDaemon() {
    auto& daemons = this->cluster.daemons();
    return daemons[this->DrawIndex(daemons.size())];
  }

  void ChangePartition() {
    if (this->DrawBool(0.4)) {
      this->cluster.net().Heal();
      return;
    }
    for (const auto& daemon : this->cluster.daemons()) {
      this->cluster.net().SetPartition(daemon.address,
                                       static_cast<int>(this->DrawIndex(2)));
    }
  }

  ClusterHarness& cluster;
  std::mt19937_64 random;
};

struct Scenario {
  std::size_t daemons = 5;
  std::uint64_t seed = 1;
};

Scenario GenerateScenario() {
  Scenario scenario;
  scenario.daemons = *rc::gen::inRange<std::size_t>(2, 8);
  scenario.seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
  return scenario;
}

void StartWithConfiguration(ClusterHarness& cluster) {
  cluster.table().configuration = MakeConfiguration(1);
  cluster.StartAll();
  cluster.Run(25s);
}

/// Whether `check` finds a violation for any of 40 seeds.
bool FindsViolation(const std::function<Violation(Scenario)>& check) {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    if (check({3 + seed % 5, seed})) {
      return true;
    }
  }
  return false;
}

void ExpectNoViolation(const Violation& violation) {
  if (violation) {
    RC_FAIL(*violation);
  }
}

// Property: the sum of the usable shares never exceeds the target.

/// New configurations at random times multiply the rate of the class by
/// `rate_step`, if it is not 1. While daemons use different versions, the sum
/// is limited to the lowest of their rates if the rate rises, and to the
/// highest if it falls, that is, to the old rate.
Violation CheckBudgetSum(Behaviour& behaviour, Scenario scenario,
                         double rate_step) {
  ClusterHarness cluster(scenario.daemons, scenario.seed);
  FaultSchedule faults(cluster, scenario.seed);
  StartWithConfiguration(cluster);
  std::map<std::uint64_t, double> rates = {{1, kClassRate}};
  Violation violation;
  const auto check = [&] {
    double sum = 0;
    std::optional<double> limit;
    for (std::size_t index = 0; index < scenario.daemons; ++index) {
      if (!cluster.daemons()[index].node) {
        continue;
      }
      sum += behaviour.UsableRate(cluster, index);
      const auto current = cluster.node(index).CurrentConfiguration();
      if (current && cluster.node(index).IsConfirmed(cluster.now())) {
        const double rate = rates.at(current->version);
        limit = rate_step < 1 ? std::max(limit.value_or(rate), rate)
                              : std::min(limit.value_or(rate), rate);
      }
    }
    if (sum > limit.value_or(0) * (1 + 1e-9) && !violation) {
      violation = "usable shares add up to " + std::to_string(sum) + " of " +
                  std::to_string(limit.value_or(0));
    }
  };
  for (int second = 0; second < 90 && !violation; ++second) {
    faults.Step();
    faults.ReportDemands(behaviour);
    if (rate_step != 1 && faults.DrawBool(0.05)) {
      const std::uint64_t version = cluster.table().configuration->version + 1;
      rates[version] = rates[version - 1] * rate_step;
      cluster.table().configuration =
          MakeConfiguration(version, rates[version]);
    }
    cluster.Run(1s, check);
  }
  return violation;
}

/// Broken: uses the newest generation as soon as it is in the table, before it
/// is active.
class SharesOfInactiveGeneration : public Behaviour {
 public:
  double UsableRate(ClusterHarness& cluster, std::size_t index) override {
    if (!cluster.daemons()[index].table_reachable) {
      return Behaviour::UsableRate(cluster, index);
    }
    const auto& members = cluster.table().generation.members;
    return members.empty() ? 0
                           : kClassRate / static_cast<double>(members.size());
  }
};

/// Broken: keeps using its last confirmed shares without confirmation.
class SharesWithoutConfirmation : public Behaviour {
 public:
  double UsableRate(ClusterHarness& cluster, std::size_t index) override {
    const auto& daemon = cluster.daemons()[index];
    double& last = this->last_usable[{daemon.name, daemon.incarnation}];
    if (cluster.node(index).IsConfirmed(cluster.now())) {
      last = Behaviour::UsableRate(cluster, index);
    }
    return last;
  }

 private:
  std::map<std::pair<std::string, std::uint64_t>, double> last_usable;
};

/// Broken: uses a new rate as soon as it is known.
class ImmediateRateChange : public Behaviour {
 public:
  double UsableRate(ClusterHarness& cluster, std::size_t index) override {
    const double usable = Behaviour::UsableRate(cluster, index);
    const auto current = cluster.node(index).CurrentConfiguration();
    if (usable == 0 || !current) {
      return 0;
    }
    const double new_share = current->classes[0].target.requests_per_second /
                             static_cast<double>(cluster.daemons().size());
    return std::max(usable, new_share);
  }
};

// Guards against admission above the target during faults and while generations
// change.
TEST_CASE("usable shares never exceed the target",
          "[cluster][property][budget]") {
  rc::prop("constant rate", [] {
    Behaviour real;
    ExpectNoViolation(CheckBudgetSum(real, GenerateScenario(), 1));
  });
  rc::prop("rising rate", [] {
    Behaviour real;
    ExpectNoViolation(CheckBudgetSum(real, GenerateScenario(), 1.5));
  });
  rc::prop("falling rate", [] {
    Behaviour real;
    ExpectNoViolation(CheckBudgetSum(real, GenerateScenario(), 0.7));
  });
}

TEST_CASE("the budget check detects broken variants",
          "[cluster][property][budget][counterproof]") {
  CHECK(FindsViolation([](Scenario scenario) {
    SharesOfInactiveGeneration broken;
    return CheckBudgetSum(broken, scenario, 1);
  }));
  CHECK(FindsViolation([](Scenario scenario) {
    SharesWithoutConfirmation broken;
    return CheckBudgetSum(broken, scenario, 1);
  }));
  CHECK(FindsViolation([](Scenario scenario) {
    ImmediateRateChange broken;
    return CheckBudgetSum(broken, scenario, 1.5);
  }));
}

// Property: a configuration never reverts and reaches all connected daemons
// within 9 s.

Violation CheckConfiguration(Behaviour& behaviour, Scenario scenario) {
  ClusterHarness cluster(scenario.daemons, scenario.seed);
  FaultSchedule faults(cluster, scenario.seed);
  StartWithConfiguration(cluster);
  std::map<std::pair<std::size_t, std::uint64_t>, std::uint64_t> highest;
  Violation violation;
  const auto check = [&] {
    for (std::size_t index = 0; index < scenario.daemons; ++index) {
      const auto& daemon = cluster.daemons()[index];
      if (!daemon.node) {
        continue;
      }
      std::uint64_t& before = highest[{index, daemon.incarnation}];
      const std::uint64_t version = behaviour.Version(cluster, index);
      if (version < before && !violation) {
        violation = daemon.name + " went from version " +
                    std::to_string(before) + " to " + std::to_string(version);
      }
      before = std::max(before, version);
    }
  };
  for (int second = 0; second < 40; ++second) {
    faults.Step();
    if (faults.DrawBool(0.2)) {
      cluster.table().configuration =
          MakeConfiguration(cluster.table().configuration->version + 1);
    }
    cluster.Run(1s, check);
  }
  faults.Heal();
  cluster.Run(3s, check);
  const std::uint64_t accepted = cluster.table().configuration->version + 1;
  std::optional<std::size_t> accepting_daemon;
  for (std::size_t index = 0; index < scenario.daemons; ++index) {
    cluster.daemons()[index].table_reachable = false;
    if (cluster.daemons()[index].node) {
      accepting_daemon = index;
    }
  }
  if (accepting_daemon) {
    cluster.node(*accepting_daemon)
        .OfferConfiguration(MakeConfiguration(accepted), cluster.now());
  }
  cluster.Run(9s, check);
  for (std::size_t index = 0; index < scenario.daemons && accepting_daemon;
       ++index) {
    if (cluster.daemons()[index].node &&
        behaviour.Version(cluster, index) != accepted && !violation) {
      violation = cluster.daemons()[index].name + " lacks the version";
    }
  }
  return violation;
}

/// Broken: adopts the version of the peer with the latest heartbeat, even if
/// that version is older.
class LatestHeardVersion : public Behaviour {
 public:
  std::uint64_t Version(ClusterHarness& cluster, std::size_t index) override {
    const auto view = cluster.node(index).Members(cluster.now());
    const auto latest =
        std::max_element(view.members.begin(), view.members.end(),
                         [](const Member& left, const Member& right) {
                           return left.heard_at < right.heard_at;
                         });
    return latest == view.members.end() ? Behaviour::Version(cluster, index)
                                        : latest->configuration_version;
  }
};

/// Broken: learns versions only from the table.
class TableOnlyVersion : public Behaviour {
 public:
  std::uint64_t Version(ClusterHarness& cluster, std::size_t index) override {
    const auto& daemon = cluster.daemons()[index];
    std::uint64_t& read = this->versions[{index, daemon.incarnation}];
    if (daemon.table_reachable) {
      read = std::max(read, cluster.table().configuration->version);
    }
    return read;
  }

 private:
  std::map<std::pair<std::size_t, std::uint64_t>, std::uint64_t> versions;
};

// Guards against a change that is reverted or active on some daemons only.
TEST_CASE("a configuration never reverts and reaches all daemons within 9 s",
          "[cluster][property][configuration]") {
  rc::prop("under faults, then without the table", [] {
    Behaviour real;
    ExpectNoViolation(CheckConfiguration(real, GenerateScenario()));
  });
}

TEST_CASE("the configuration check detects broken variants",
          "[cluster][property][configuration][counterproof]") {
  CHECK(FindsViolation([](Scenario scenario) {
    LatestHeardVersion broken;
    return CheckConfiguration(broken, scenario);
  }));
  CHECK(FindsViolation([](Scenario scenario) {
    TableOnlyVersion broken;
    return CheckConfiguration(broken, scenario);
  }));
}

// Property: all other daemons detect the loss of a daemon within 2 s.

Violation CheckLoss(Behaviour& behaviour, Scenario scenario) {
  ClusterHarness cluster(scenario.daemons, scenario.seed);
  FaultSchedule faults(cluster, scenario.seed);
  cluster.net().SetFaults({0.05, 0.1, 1ms, 50ms});
  cluster.StartAll();
  cluster.Run(8s);
  cluster.Run(ClusterNode::kTickInterval *
              static_cast<int>(faults.DrawIndex(10) + 1));
  const std::size_t lost = faults.DrawIndex(scenario.daemons);
  cluster.Kill(lost);
  // The first tick after 2 s still counts as in time.
  cluster.Run(2s + ClusterNode::kTickInterval);
  for (std::size_t index = 0; index < scenario.daemons; ++index) {
    if (index != lost && behaviour.SeesAlive(cluster, index, lost)) {
      return cluster.daemons()[index].name + " of " +
             std::to_string(scenario.daemons) + " has not detected the loss";
    }
  }
  return std::nullopt;
}

/// Broken: waits for the confirmation period of 9 s before it reports a loss.
class LateLossDetection : public Behaviour {
 public:
  bool SeesAlive(ClusterHarness& cluster, std::size_t observer,
                 std::size_t subject) override {
    for (const Member& member :
         cluster.node(observer).Members(cluster.now()).members) {
      if (member.node == cluster.daemons()[subject].name) {
        return cluster.now() < member.heard_at + 9s;
      }
    }
    return false;
  }
};

// Guards against requests that wait for a lost daemon, in a full mesh and in
// larger clusters.
TEST_CASE("all daemons detect the loss of a daemon within 2 s",
          "[cluster][property][loss]") {
  rc::prop("in clusters up to 40 daemons", [] {
    Behaviour real;
    Scenario scenario = GenerateScenario();
    scenario.daemons = *rc::gen::inRange<std::size_t>(2, 40);
    ExpectNoViolation(CheckLoss(real, scenario));
  });
}

TEST_CASE("the loss check detects a broken variant",
          "[cluster][property][loss][counterproof]") {
  CHECK(FindsViolation([](Scenario scenario) {
    LateLossDetection broken;
    return CheckLoss(broken, scenario);
  }));
}

// Property: a starting daemon never serves a version older than one that a peer
// has.

Violation CheckStart(Behaviour& behaviour, Scenario scenario) {
  ClusterHarness cluster(scenario.daemons, scenario.seed);
  FaultSchedule faults(cluster, scenario.seed);
  cluster.net().SetFaults({0, 0.2, 1ms, 150ms});
  StartWithConfiguration(cluster);
  const std::size_t starting = faults.DrawIndex(scenario.daemons);
  const std::size_t informed = (starting + 1) % scenario.daemons;
  cluster.Kill(starting);
  cluster.Run(Duration(1s) * static_cast<int>(faults.DrawIndex(6)));
  for (auto& daemon : cluster.daemons()) {
    daemon.table_reachable = false;
  }
  // The other daemons do not receive messages of the informed one, which has
  // the newer version.
  for (std::size_t index = 0; index < scenario.daemons; ++index) {
    if (index != starting && index != informed) {
      const auto& daemons = cluster.daemons();
      cluster.net().BlockPath(daemons[informed].address,
                              daemons[index].address);
    }
  }
  cluster.node(informed).OfferConfiguration(MakeConfiguration(2),
                                            cluster.now());
  cluster.Start(starting);
  Violation violation;
  cluster.Run(12s, [&] {
    if (behaviour.CanServe(cluster, starting) &&
        behaviour.Version(cluster, starting) < 2 && !violation) {
      violation = "serves version " +
                  std::to_string(behaviour.Version(cluster, starting));
    }
  });
  if (!violation && !behaviour.CanServe(cluster, starting)) {
    violation = "does not start although all peers have responded";
  }
  return violation;
}

/// Broken: starts with the first configuration that it receives.
class StartWithFirstConfiguration : public Behaviour {
 public:
  bool CanServe(ClusterHarness& cluster, std::size_t index) override {
    return cluster.node(index).CurrentConfiguration() != nullptr;
  }
};

// Guards against a daemon that starts with an outdated version while the table
// is unavailable.
TEST_CASE("a starting daemon serves no version older than its peers have",
          "[cluster][property][start]") {
  rc::prop("while the table is unavailable", [] {
    Behaviour real;
    ExpectNoViolation(CheckStart(real, GenerateScenario()));
  });
}

TEST_CASE("the start check detects a broken variant",
          "[cluster][property][start][counterproof]") {
  CHECK(FindsViolation([](Scenario scenario) {
    StartWithFirstConfiguration broken;
    return CheckStart(broken, scenario);
  }));
}

// Property: a daemon that reaches neither the table nor a majority loses its
// confirmation within 9 s.

Violation CheckStop(Behaviour& behaviour, Scenario scenario) {
  ClusterHarness cluster(scenario.daemons, scenario.seed);
  FaultSchedule faults(cluster, scenario.seed);
  StartWithConfiguration(cluster);
  const std::size_t minority = 1 + faults.DrawIndex((scenario.daemons + 1) / 2);
  for (std::size_t index = 0; index < scenario.daemons; ++index) {
    auto& daemon = cluster.daemons()[index];
    daemon.table_reachable = false;
    const bool separated = 2 * minority <= scenario.daemons && index < minority;
    cluster.net().SetPartition(daemon.address, separated ? 1 : 0);
  }
  const bool split = 2 * minority <= scenario.daemons;
  cluster.Run(9s + ClusterNode::kTickInterval);
  for (std::size_t index = 0; index < scenario.daemons; ++index) {
    const bool has_majority =
        !split || (index >= minority &&
                   2 * (scenario.daemons - minority) > scenario.daemons);
    const bool confirmed = behaviour.IsConfirmed(cluster, index);
    if (confirmed != has_majority) {
      return cluster.daemons()[index].name + " is " +
             (confirmed ? "confirmed without" : "unconfirmed with") +
             " a majority of " + std::to_string(scenario.daemons);
    }
  }
  return std::nullopt;
}

/// Broken: stays confirmed indefinitely after the first confirmation.
class PermanentConfirmation : public Behaviour {
 public:
  bool IsConfirmed(ClusterHarness& cluster, std::size_t index) override {
    return cluster.node(index).ConfirmedAt().has_value();
  }
};

// Guards against a partitioned daemon that admits requests indefinitely, and
// against a majority that stops although only the table is unavailable.
TEST_CASE("a daemon without the table and without a majority stops within 9 s",
          "[cluster][property][confirmation]") {
  rc::prop("after a partition", [] {
    Behaviour real;
    ExpectNoViolation(CheckStop(real, GenerateScenario()));
  });
}

TEST_CASE("the stop check detects a broken variant",
          "[cluster][property][confirmation][counterproof]") {
  CHECK(FindsViolation([](Scenario scenario) {
    PermanentConfirmation broken;
    return CheckStop(broken, scenario);
  }));
}

}  // namespace
}  // namespace qp
