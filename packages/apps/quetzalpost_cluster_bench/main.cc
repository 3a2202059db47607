// Measures the communication between daemons: the real ClusterNode on
// in-memory links and a paused clock, one process for all nodes.

#include <time.h>

#include <algorithm>
#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/atom.hpp>
#include <caf/scheduler/test_coordinator.hpp>
#include <cstdio>
#include <cxxopts.hpp>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "cluster/cluster_node.h"
#include "cluster/in_memory_network.h"
#include "foundation/caf_clock.h"

namespace qp {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kWorkers = 600;
constexpr std::size_t kZones = 11;
constexpr std::size_t kWorkspaces = 1000;
constexpr std::size_t kClasses = 8;
constexpr double kClassRate = 575;  // requests a second, 4,600 for 8 classes
constexpr Duration kClockStep = 10ms;
constexpr Duration kObserveInterval = 1s;

constexpr auto kPeriod = 20s;  // of the steady state

constexpr double kBytesBound = 8000;  // a node and second
constexpr double kCoreBound = 0.023;  // of a core, for a node
constexpr double kStateBound = 128e6;
constexpr double kSpreadBound = 9;  // seconds

/// Actor system whose clock stands still until it is advanced.
class PausedTime {
 public:
  PausedTime() : system(Configure(this->config)) {
    this->caf_clock.emplace(this->system);
  }

  // The testing scheduler runs actors only when asked, also to end them.
  ~PausedTime() {
    this->caf_clock.reset();
    this->Coordinator().run();
  }

  PausedTime(const PausedTime&) = delete;
  PausedTime& operator=(const PausedTime&) = delete;

  CafClock& clock() { return *this->caf_clock; }

  void Advance(Duration step) {
    this->Coordinator().clock().advance_time(step);
    this->Coordinator().run();
  }

 private:
  caf::scheduler::test_coordinator& Coordinator() {
    return dynamic_cast<caf::scheduler::test_coordinator&>(
        this->system.scheduler());
  }

  static caf::actor_system_config& Configure(caf::actor_system_config& config) {
    config.set("scheduler.policy", caf::atom("testing"));
    return config;
  }

  caf::actor_system_config config;
  caf::actor_system system;
  std::optional<CafClock> caf_clock;
};

/// Processor time of the calling thread.
double ThreadSeconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) +
         static_cast<double>(time.tv_nsec) * 1e-9;
}

struct Measurement {
  std::size_t nodes = 0;
  double bytes_per_second = 0;      ///< Median node, steady state.
  double bytes_per_second_max = 0;  ///< Highest node, steady state.
  double change_bytes = 0;          ///< Mean a node, beyond steady state.
  double core = 0;                  ///< Share of a core, mean node.
  double state_bytes = 0;           ///< Highest node.
  double spread_seconds = 0;        ///< Until the last node has the version.
  double observation_age = 0;       ///< Mean of all nodes and workers, seconds.
  double observed_workers = 0;      ///< Fewest that a node knows.
  double idle_after_1s = 0;  ///< Part of the rate, 1 s after demand moved.
  double idle_after_2s = 0;
  double idle_after_5s = 0;
  double idle_after_10s = 0;
  double loss_seconds = 0;       ///< Until the last node notices a loss.
  std::size_t false_losses = 0;  ///< Nodes held for gone that are not.
};

Configuration MakeConfiguration(std::uint64_t version) {
  Configuration configuration;
  configuration.version = version;
  configuration.change_id = "change-" + std::to_string(version);
  configuration.price_sheet.currency = "CAD";
  configuration.models.push_back({"desk-assist", 32, 1U << 30U, 1U << 14U});
  for (std::size_t index = 0; index < kClasses; ++index) {
    RequestClass request_class;
    request_class.name = "class-" + std::to_string(index);
    request_class.model = "desk-assist";
    request_class.target.first_token = 320ms;
    request_class.target.between_tokens = 66ms;
    request_class.target.requests_per_second = kClassRate;
    request_class.target.tokens_per_second = kClassRate * 300;
    configuration.classes.push_back(request_class);
  }
  for (std::size_t index = 0; index < kWorkspaces; ++index) {
    std::string digest = std::to_string(100000 + index);
    digest.resize(64, 'a');
    configuration.workspaces.push_back(
        {"workspace-" + std::to_string(index), digest});
  }
  return configuration;
}

class Cluster {
 public:
  Cluster(std::size_t count, std::uint64_t random_seed)
      : network(this->time.clock(), random_seed), random(random_seed) {
    this->network.SetFaults({0.0, 0.0, 1ms, 20ms});
    std::vector<Contact> contacts;
    policy::BudgetGeneration generation;
    generation.number = 1;
    for (std::size_t index = 0; index < count; ++index) {
      contacts.push_back(
          {NameOf(index), "10.0." + std::to_string(index / 250) + "." +
                              std::to_string(index % 250 + 1) + ":7000"});
      generation.members.push_back({NameOf(index), 1});
    }
    for (std::size_t index = 0; index < count; ++index) {
      this->AddNode(index, contacts, random_seed);
      this->nodes.back()->SetBudgetGeneration(generation, this->Now());
    }
    for (std::size_t worker = 0; worker < kWorkers; ++worker) {
      this->workers.push_back("worker-" + std::to_string(worker));
    }
  }

  static std::string NameOf(std::size_t index) {
    std::string number = std::to_string(index);
    number.insert(0, 4 - number.size(), '0');
    return "entry-" + number;
  }

  TimePoint Now() { return this->time.clock().Now(); }

  /// Runs for `duration`, without demand unless `demand` is set.
  void Run(Duration duration) {
    for (Duration passed{0}; passed < duration;
         passed += ClusterNode::kTickInterval) {
      this->TickAll();
      for (Duration step{0}; step < ClusterNode::kTickInterval;
           step += kClockStep) {
        const double before = ThreadSeconds();
        this->time.Advance(kClockStep);
        this->delivery_seconds += ThreadSeconds() - before;
      }
    }
  }

  /// Ends the last node without a farewell. Its state is not measured after.
  void KillLast() {
    this->links.back()->SetReceiver({});
    this->nodes.pop_back();
  }

  /// Demand of each node for each class, requests a second.
  std::vector<double> demand;
  std::vector<std::unique_ptr<ClusterNode>> nodes;
  /// Processor time spent in nodes; deliveries include the network's part.
  double node_seconds = 0;
  double delivery_seconds = 0;

 private:
  void AddNode(std::size_t index, const std::vector<Contact>& contacts,
               std::uint64_t random_seed) {
    const Contact& self = contacts[index];
    const std::size_t zone = index % kZones;
    this->links.push_back(this->network.Connect(self.peer_address));
    this->nodes.push_back(std::make_unique<ClusterNode>(
        NodeIdentity{self.node, self.peer_address,
                     "region-" + std::to_string(zone / 4),
                     "zone-" + std::to_string(zone), 1},
        std::vector<std::string>{}, *this->links.back(), nullptr, this->events,
        random_seed * 1000 + index));
    this->nodes.back()->SetContacts(contacts);
    ClusterNode* node = this->nodes.back().get();
    this->links.back()->SetReceiver([this, node](std::string_view message) {
      node->OnMessage(message, this->Now());
    });
  }

  void TickAll() {
    const double before = ThreadSeconds();
    for (std::size_t index = 0; index < this->nodes.size(); ++index) {
      ClusterNode& node = *this->nodes[index];
      node.Tick(this->Now());
      node.RecordTableRead(this->Now());
      if (!this->demand.empty()) {
        this->ReportDemand(node, this->demand[index]);
      }
    }
    this->node_seconds += ThreadSeconds() - before;
    if (this->Now() >= this->next_observation) {
      this->next_observation = this->Now() + kObserveInterval;
      this->ObserveAll();
    }
  }

  void ReportDemand(ClusterNode& node, double wanted) {
    const BudgetsView view = node.Budgets(this->Now());
    for (const auto& [name, share] : view.shares) {
      const double used = std::min(wanted, share.requests_per_second);
      node.ReportDemand(name, {used, wanted - used}, this->Now());
    }
  }

  void ObserveAll() {
    std::uniform_int_distribution<std::uint32_t> load(0, 40);
    for (const auto& node : this->nodes) {
      for (const std::string& worker : this->workers) {
        const double asked = ThreadSeconds();
        const bool observes = node->ShouldObserve(worker);
        this->node_seconds += ThreadSeconds() - asked;
        if (!observes) {
          continue;
        }
        Observation seen;
        seen.backend = worker;
        seen.incarnation = 1;
        seen.kind = "kind-1";
        seen.model = "desk-assist";
        seen.last_layer = 7;
        seen.slots = 32;
        seen.running = load(this->random);
        seen.queued = load(this->random);
        seen.observed_at = this->Now();
        const double before = ThreadSeconds();
        node->PublishObservation(std::move(seen), this->Now());
        this->node_seconds += ThreadSeconds() - before;
      }
    }
  }

  PausedTime time;
  InMemoryNetwork network;
  NullEventSink events;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<PeerLink>> links;
  std::vector<std::string> workers;
  TimePoint next_observation{};
};

std::vector<std::uint64_t> SentBytes(const Cluster& cluster) {
  std::vector<std::uint64_t> bytes;
  for (const auto& node : cluster.nodes) {
    bytes.push_back(node->counters().bytes_sent);
  }
  return bytes;
}

void MeasureSteadyState(Cluster& cluster, Measurement& result) {
  const auto before = SentBytes(cluster);
  const double used_before = cluster.node_seconds + cluster.delivery_seconds;
  cluster.Run(kPeriod);
  const double used =
      cluster.node_seconds + cluster.delivery_seconds - used_before;
  const auto after = SentBytes(cluster);
  std::vector<double> rates;
  for (std::size_t index = 0; index < after.size(); ++index) {
    rates.push_back(static_cast<double>(after[index] - before[index]) /
                    static_cast<double>(kPeriod.count()));
  }
  std::sort(rates.begin(), rates.end());
  result.bytes_per_second = rates[rates.size() / 2];
  result.bytes_per_second_max = rates.back();
  result.core = used / static_cast<double>(kPeriod.count()) /
                static_cast<double>(after.size());
}

void MeasureObservations(Cluster& cluster, Measurement& result) {
  double age = 0;
  std::size_t count = 0;
  std::size_t fewest = kWorkers;
  for (const auto& node : cluster.nodes) {
    const auto all = node->Observations(cluster.Now());
    fewest = std::min(fewest, all.size());
    for (const Observation& seen : all) {
      age += std::chrono::duration<double>(cluster.Now() - seen.observed_at)
                 .count();
      ++count;
    }
  }
  result.observation_age = count > 0 ? age / static_cast<double>(count) : 0;
  result.observed_workers = static_cast<double>(fewest);
}

void MeasureSpread(Cluster& cluster, std::uint64_t version,
                   Measurement& result) {
  const auto before = SentBytes(cluster);
  const TimePoint start = cluster.Now();
  cluster.nodes.front()->OfferConfiguration(MakeConfiguration(version),
                                            cluster.Now());
  const auto has_version = [version](const auto& node) {
    const auto current = node->CurrentConfiguration();
    return current && current->version >= version;
  };
  while (
      !std::all_of(cluster.nodes.begin(), cluster.nodes.end(), has_version) &&
      cluster.Now() < start + 60s) {
    cluster.Run(ClusterNode::kTickInterval);
  }
  const double seconds =
      std::chrono::duration<double>(cluster.Now() - start).count();
  result.spread_seconds = seconds;
  double bytes = 0;
  const auto after = SentBytes(cluster);
  for (std::size_t index = 0; index < after.size(); ++index) {
    bytes += static_cast<double>(after[index] - before[index]);
  }
  result.change_bytes = bytes / static_cast<double>(after.size()) -
                        seconds * result.bytes_per_second;
}

/// Part of the first class's rate that no node uses although the demand is
/// as high as the rate.
double IdlePart(Cluster& cluster) {
  double used = 0;
  for (std::size_t index = 0; index < cluster.nodes.size(); ++index) {
    const auto view = cluster.nodes[index]->Budgets(cluster.Now());
    const auto share = view.shares.find("class-0");
    if (share != view.shares.end()) {
      used +=
          std::min(share->second.requests_per_second, cluster.demand[index]);
    }
  }
  return 1 - used / kClassRate;
}

/// Moves the whole demand from one half of the nodes to the other.
void MeasureIdle(Cluster& cluster, Measurement& result) {
  const std::size_t count = cluster.nodes.size();
  const double wanted = kClassRate * 2 / static_cast<double>(count);
  cluster.demand.assign(count, 0);
  for (std::size_t index = 0; index < count / 2; ++index) {
    cluster.demand[index] = wanted;
  }
  cluster.Run(15s);
  std::reverse(cluster.demand.begin(), cluster.demand.end());
  cluster.Run(1s);
  result.idle_after_1s = IdlePart(cluster);
  cluster.Run(1s);
  result.idle_after_2s = IdlePart(cluster);
  cluster.Run(3s);
  result.idle_after_5s = IdlePart(cluster);
  cluster.Run(5s);
  result.idle_after_10s = IdlePart(cluster);
}

/// Counts, over all nodes, the members held for gone; `name` only if given.
std::size_t CountGone(Cluster& cluster, const std::string& name) {
  std::size_t gone = 0;
  for (const auto& node : cluster.nodes) {
    for (const Member& member : node->Members(cluster.Now()).members) {
      const bool counted = name.empty() || member.node == name;
      gone += counted && member.state == MemberState::kGone ? 1 : 0;
    }
  }
  return gone;
}

void MeasureLoss(Cluster& cluster, Measurement& result) {
  result.false_losses = CountGone(cluster, "");
  const std::string lost = Cluster::NameOf(cluster.nodes.size() - 1);
  cluster.KillLast();
  const TimePoint start = cluster.Now();
  while (CountGone(cluster, lost) < cluster.nodes.size() &&
         cluster.Now() < start + 20s) {
    cluster.Run(ClusterNode::kTickInterval);
  }
  result.loss_seconds =
      std::chrono::duration<double>(cluster.Now() - start).count();
}

Measurement Measure(std::size_t count, std::uint64_t seed) {
  Measurement result;
  result.nodes = count;
  Cluster cluster(count, seed);
  cluster.nodes.front()->OfferConfiguration(MakeConfiguration(1),
                                            cluster.Now());
  cluster.Run(30s);
  MeasureSteadyState(cluster, result);
  MeasureObservations(cluster, result);
  MeasureSpread(cluster, 2, result);
  for (const auto& node : cluster.nodes) {
    result.state_bytes = std::max(
        result.state_bytes, static_cast<double>(node->EstimateStateBytes()));
  }
  MeasureIdle(cluster, result);
  MeasureLoss(cluster, result);
  return result;
}

nlohmann::json ToJson(const Measurement& value) {
  return {{"nodes", value.nodes},
          {"bytes_per_second", value.bytes_per_second},
          {"bytes_per_second_max", value.bytes_per_second_max},
          {"change_bytes", value.change_bytes},
          {"core", value.core},
          {"state_bytes", value.state_bytes},
          {"spread_seconds", value.spread_seconds},
          {"observation_age_seconds", value.observation_age},
          {"observed_workers_fewest", value.observed_workers},
          {"idle_after_1s", value.idle_after_1s},
          {"idle_after_2s", value.idle_after_2s},
          {"idle_after_5s", value.idle_after_5s},
          {"idle_after_10s", value.idle_after_10s},
          {"loss_seconds", value.loss_seconds},
          {"false_losses", value.false_losses},
          {"within_bounds", value.bytes_per_second_max <= kBytesBound &&
                                value.core <= kCoreBound &&
                                value.state_bytes <= kStateBound &&
                                value.spread_seconds <= kSpreadBound}};
}

void PrintRow(const Measurement& value) {
  std::printf(
      "%5zu %8.0f %8.0f %9.0f %7.3f%% %8.2f %7.1f %6.1f %4.0f  %5.1f%% %5.1f%% "
      "%5.1f%% %5.1f%% %7.1f %6zu\n",
      value.nodes, value.bytes_per_second, value.bytes_per_second_max,
      value.change_bytes, value.core * 100, value.state_bytes / 1e6,
      value.spread_seconds, value.observation_age, value.observed_workers,
      value.idle_after_1s * 100, value.idle_after_2s * 100,
      value.idle_after_5s * 100, value.idle_after_10s * 100, value.loss_seconds,
      value.false_losses);
  std::fflush(stdout);
}

int Main(int argc, char** argv) {
  cxxopts::Options options("quetzalpost_cluster_bench",
                           "Cost of the communication between daemons");
  options.add_options()("seed", "Seed of all random numbers",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "nodes", "Numbers of nodes",
      cxxopts::value<std::vector<std::size_t>>()->default_value(
          "8,32,128,380"))("help", "Print this text");
  const auto arguments = options.parse(argc, argv);
  if (arguments.count("help") > 0) {
    std::cout << options.help();
    return 0;
  }
  const auto seed = arguments["seed"].as<std::uint64_t>();
  nlohmann::json report = {{"seed", seed}, {"workers", kWorkers}};
  std::printf(
      "seed %llu, %zu workers; bytes of messages without TCP/IP and frames\n"
      "nodes  B/s med  B/s max  B/change    core  state MB spread s obs s "
      "seen  idle 1s    2s     5s    10s  loss s  false\n",
      static_cast<unsigned long long>(seed), kWorkers);
  for (const std::size_t count :
       arguments["nodes"].as<std::vector<std::size_t>>()) {
    const Measurement result = Measure(count, seed);
    PrintRow(result);
    report["results"].push_back(ToJson(result));
  }
  std::cout << report.dump() << "\n";
  return 0;
}

}  // namespace
}  // namespace qp

int main(int argc, char** argv) { return qp::Main(argc, argv); }
