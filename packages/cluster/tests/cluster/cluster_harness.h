#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "cluster/cluster_node.h"
#include "cluster/in_memory_network.h"
#include "foundation/event.h"
#include "testing/test_runtime.h"

namespace qp::testing {

inline constexpr std::uint64_t kTicksPerTableRead = 10;
inline constexpr double kClassRate = 1000;  // requests per second

inline Configuration MakeConfiguration(std::uint64_t version,
                                       double rate = kClassRate) {
  RequestClass request_class;
  request_class.name = "questions";
  request_class.model = "desk-assist";
  request_class.target.first_token = std::chrono::milliseconds(320);
  request_class.target.between_tokens = std::chrono::milliseconds(66);
  request_class.target.requests_per_second = rate;
  request_class.target.tokens_per_second = rate * 100;
  Configuration configuration;
  configuration.version = version;
  configuration.change_id = "change-" + std::to_string(version);
  configuration.price_sheet.currency = "CAD";
  configuration.classes.push_back(request_class);
  configuration.models.push_back({"desk-assist", 32, 1U << 20U, 1U << 14U});
  return configuration;
}

/// The items of the table that the cluster uses.
struct SharedTable {
  std::optional<Configuration> configuration;
  policy::BudgetGeneration generation;
};

/// Daemons of one cluster on an in-memory network, and a shared table that can
/// be made unreachable for each daemon.
class ClusterHarness {
 public:
  struct Daemon {
    std::string name;
    std::string address;
    std::uint64_t incarnation = 1;
    std::unique_ptr<PeerLink> link;
    std::unique_ptr<ClusterNode> node;  ///< Null while stopped.
    bool table_reachable = true;
    bool serving = false;  ///< Whether the daemon is ready.
  };

  ClusterHarness(std::size_t daemons, std::uint64_t random_seed,
                 std::size_t zones = 3)
      : seed(random_seed),
        zone_count(zones),
        network(this->runtime.clock(), random_seed) {
    for (std::size_t index = 0; index < daemons; ++index) {
      Daemon daemon;
      daemon.name = "vm-" + std::to_string(index);
      daemon.address = "10.0." + std::to_string(index / 250) + "." +
                       std::to_string(index % 250 + 1) + ":7000";
      this->daemon_list.push_back(std::move(daemon));
    }
  }

  void StartAll() {
    for (std::size_t index = 0; index < this->daemon_list.size(); ++index) {
      this->Start(index);
    }
  }

  void Start(std::size_t index) {
    Daemon& daemon = this->daemon_list[index];
    daemon.link = this->network.Connect(daemon.address);
    daemon.node = std::make_unique<ClusterNode>(
        this->IdentityOf(index), std::vector<std::string>{}, *daemon.link,
        nullptr, this->events, this->seed * 1000 + index);
    daemon.node->SetContacts(this->contacts());
    daemon.link->SetReceiver([this, index](std::string_view message) {
      if (this->daemon_list[index].node) {
        this->daemon_list[index].node->OnMessage(message, this->now());
      }
    });
  }

  /// Stops a daemon without a leave message. Its next start has a new
  /// incarnation.
  void Kill(std::size_t index) {
    Daemon& daemon = this->daemon_list[index];
    daemon.node.reset();
    daemon.link.reset();
    daemon.serving = false;
    ++daemon.incarnation;
  }

  /// Advances the clock by `duration` in ticks and calls `check` after each.
  void Run(Duration duration, const std::function<void()>& check = {}) {
    for (Duration passed{0}; passed < duration;
         passed += ClusterNode::kTickInterval) {
      for (Daemon& daemon : this->daemon_list) {
        if (daemon.node) {
          daemon.node->Tick(this->now());
          this->ReadTable(daemon);
        }
      }
      ++this->ticks;
      if (check) {
        check();
      }
      this->runtime.Advance(ClusterNode::kTickInterval,
                            std::chrono::milliseconds(10));
    }
  }

  TimePoint now() { return this->runtime.clock().Now(); }
  std::vector<Daemon>& daemons() { return this->daemon_list; }
  ClusterNode& node(std::size_t index) {
    return *this->daemon_list[index].node;
  }
  InMemoryNetwork& net() { return this->network; }
  SharedTable& table() { return this->shared_table; }

  std::vector<Contact> contacts() const {
    std::vector<Contact> list;
    for (const Daemon& daemon : this->daemon_list) {
      list.push_back({daemon.name, daemon.address});
    }
    return list;
  }

  /// Sum of the usable shares of a class over all running daemons.
  double UsableSum(const std::string& class_name = "questions") {
    double sum = 0;
    for (Daemon& daemon : this->daemon_list) {
      if (daemon.node) {
        const BudgetsView view = daemon.node->Budgets(this->now());
        const auto found = view.shares.find(class_name);
        sum +=
            found != view.shares.end() ? found->second.requests_per_second : 0;
      }
    }
    return sum;
  }

  /// Whether the daemon at index `observer` lists the one at index `subject` as
  /// alive or suspect.
  bool SeesAlive(std::size_t observer, std::size_t subject) {
    for (const Member& member :
         this->node(observer).Members(this->now()).members) {
      if (member.node == this->daemon_list[subject].name) {
        return member.state == MemberState::kAlive ||
               member.state == MemberState::kSuspect;
      }
    }
    return false;
  }

 private:
  NodeIdentity IdentityOf(std::size_t index) const {
    const Daemon& daemon = this->daemon_list[index];
    return {daemon.name, daemon.address, "region",
            "zone-" + std::to_string(index % this->zone_count),
            daemon.incarnation};
  }

  /// Reads and writes the table once per second, as the daemon's controllers
  /// do.
  void ReadTable(Daemon& daemon) {
    if (!daemon.table_reachable || this->ticks % kTicksPerTableRead != 0) {
      return;
    }
    ClusterNode& node = *daemon.node;
    if (this->shared_table.configuration) {
      node.OfferConfiguration(*this->shared_table.configuration, this->now());
    }
    if (this->shared_table.generation.number > 0) {
      node.SetBudgetGeneration(this->shared_table.generation, this->now());
    }
    node.RecordTableRead(this->now());
    const auto proposal = node.ProposeGeneration(this->now());
    if (proposal &&
        proposal->number == this->shared_table.generation.number + 1) {
      this->shared_table.generation = *proposal;
      node.SetBudgetGeneration(*proposal, this->now());
    }
  }

  std::uint64_t seed;
  std::size_t zone_count;
  TestRuntime runtime;
  InMemoryNetwork network;
  NullEventSink events;
  SharedTable shared_table;
  std::vector<Daemon> daemon_list;
  std::uint64_t ticks = 0;
};

}  // namespace qp::testing
