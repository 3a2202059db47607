#include "cluster/cluster_node.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "cluster/cluster_harness.h"

namespace qp {
namespace {

using testing::ClusterHarness;
using testing::MakeConfiguration;
using namespace std::chrono_literals;

// Guards against daemons that never discover each other or never get a share.
TEST_CASE("daemons discover each other and divide the class rate equally",
          "[cluster][node]") {
  ClusterHarness cluster(5, 1);
  cluster.table().configuration = MakeConfiguration(1);
  cluster.StartAll();
  cluster.Run(30s);

  for (std::size_t index = 0; index < 5; ++index) {
    CHECK(cluster.node(index).Members(cluster.now()).members.size() == 4);
    CHECK(cluster.node(index).IsConfirmed(cluster.now()));
    const auto budgets = cluster.node(index).Budgets(cluster.now());
    REQUIRE(budgets.shares.contains("questions"));
    CHECK(budgets.shares.at("questions").requests_per_second ==
          Approx(200).epsilon(0.01));
  }
}

// Guards against a configuration change that reaches only the daemons that read
// the table.
TEST_CASE("a configuration reaches all daemons without the table",
          "[cluster][node]") {
  ClusterHarness cluster(8, 2);
  cluster.StartAll();
  cluster.Run(3s);
  CHECK(
      cluster.node(0).OfferConfiguration(MakeConfiguration(4), cluster.now()));
  CHECK_FALSE(
      cluster.node(0).OfferConfiguration(MakeConfiguration(3), cluster.now()));
  CHECK(cluster.node(0).MembersLackingVersion(4, cluster.now()).size() == 7);
  cluster.Run(2s);

  for (std::size_t index = 0; index < 8; ++index) {
    REQUIRE(cluster.node(index).CurrentConfiguration());
    CHECK(*cluster.node(index).CurrentConfiguration() == MakeConfiguration(4));
  }
  CHECK(cluster.node(0).MembersLackingVersion(4, cluster.now()).empty());
}

// Guards against a configuration that is lost because it exceeds one message.
TEST_CASE(
    "a configuration of several messages reaches all daemons despite loss",
    "[cluster][node]") {
  ClusterHarness cluster(4, 3);
  Configuration large = MakeConfiguration(7);
  for (int index = 0; index < 1000; ++index) {
    large.workspaces.push_back(
        {"workspace-" + std::to_string(index), std::string(64, 'a')});
    large.workspaces.back().token_sha256.replace(0, 4,
                                                 std::to_string(1000 + index));
  }
  cluster.StartAll();
  cluster.Run(2s);
  cluster.net().SetFaults({0.2, 0.1, 1ms, 40ms});
  cluster.node(0).OfferConfiguration(large, cluster.now());
  cluster.Run(9s);

  for (std::size_t index = 0; index < 4; ++index) {
    REQUIRE(cluster.node(index).CurrentConfiguration());
    CHECK(*cluster.node(index).CurrentConfiguration() == large);
  }
}

// Guards against work that is sent to a failed daemon or waits for that daemon.
TEST_CASE("the failure of a daemon is detected within 2 s", "[cluster][node]") {
  const std::size_t count = GENERATE(3, 8, 24);
  ClusterHarness cluster(count, 4);
  cluster.StartAll();
  cluster.Run(10s);
  for (std::size_t index = 1; index < count; ++index) {
    CHECK(cluster.SeesAlive(index, 0));
  }
  cluster.Kill(0);
  cluster.Run(2s + ClusterNode::kTickInterval);
  for (std::size_t index = 1; index < count; ++index) {
    INFO("daemon " << index << " of " << count);
    CHECK_FALSE(cluster.SeesAlive(index, 0));
  }
}

// Guards against backend servers without an observer or with too many of them.
TEST_CASE("each backend server is observed by two daemons", "[cluster][node]") {
  ClusterHarness cluster(8, 5);
  cluster.StartAll();
  cluster.Run(3s);
  for (int backend = 0; backend < 50; ++backend) {
    const std::string name = "worker-" + std::to_string(backend);
    std::size_t observers = 0;
    for (std::size_t index = 0; index < 8; ++index) {
      observers += cluster.node(index).ShouldObserve(name) ? 1 : 0;
    }
    CHECK(observers == 2);
  }
}

// Guards against new work for a backend server that is leaving.
TEST_CASE("a leaving flag reaches all daemons and lasts for the incarnation",
          "[cluster][node]") {
  ClusterHarness cluster(5, 6);
  cluster.StartAll();
  cluster.Run(3s);
  Observation seen;
  seen.backend = "worker-1";
  seen.incarnation = 3;
  seen.model = "desk-assist";
  seen.running = 5;
  seen.observed_at = cluster.now();
  cluster.node(0).PublishObservation(seen, cluster.now());
  cluster.Run(2s);
  seen.leaving = true;
  cluster.node(0).PublishObservation(seen, cluster.now());
  cluster.Run(2s);
  seen.leaving = false;
  seen.running = 2;
  seen.observed_at = cluster.now();
  cluster.node(1).PublishObservation(seen, cluster.now());
  cluster.Run(2s);
  for (std::size_t index = 0; index < 5; ++index) {
    const auto all = cluster.node(index).Observations(cluster.now());
    REQUIRE(all.size() == 1);
    CHECK(all[0].leaving);
    CHECK(all[0].running == 2);
  }
  seen.incarnation = 4;
  cluster.node(2).PublishObservation(seen, cluster.now());
  cluster.Run(2s);
  for (std::size_t index = 0; index < 5; ++index) {
    CHECK_FALSE(cluster.node(index).Observations(cluster.now())[0].leaving);
  }
}

// Guards against shares that are lost in a planned stop of a daemon.
TEST_CASE("a leaving daemon grants its shares to the others",
          "[cluster][node]") {
  ClusterHarness cluster(4, 7);
  cluster.table().configuration = MakeConfiguration(1);
  cluster.StartAll();
  cluster.Run(30s);
  for (auto& daemon : cluster.daemons()) {
    daemon.table_reachable = false;
  }
  cluster.node(3).Leave(cluster.now());
  cluster.Run(1s);
  CHECK(cluster.node(3).HasLeft(cluster.now()));
  CHECK(cluster.node(3)
            .Budgets(cluster.now())
            .shares.at("questions")
            .requests_per_second == Approx(0).margin(0.01));
  cluster.Kill(3);
  CHECK(cluster.UsableSum() == Approx(1000).epsilon(0.01));
  cluster.Run(12s);
  CHECK(cluster.UsableSum() == Approx(1000).epsilon(0.01));
}

// Guards against requests that are refused while other daemons hold unused
// shares.
TEST_CASE("shares move to the daemon with the demand", "[cluster][node]") {
  ClusterHarness cluster(5, 8);
  cluster.table().configuration = MakeConfiguration(1);
  cluster.StartAll();
  cluster.Run(30s);
  cluster.Run(10s, [&cluster] {
    for (std::size_t index = 0; index < 5; ++index) {
      const double wanted = index == 0 ? 900 : 5;
      const double share = cluster.node(index)
                               .Budgets(cluster.now())
                               .shares.at("questions")
                               .requests_per_second;
      cluster.node(index).ReportDemand(
          "questions", {std::min(wanted, share), std::max(0.0, wanted - share)},
          cluster.now());
    }
  });
  CHECK(cluster.node(0)
            .Budgets(cluster.now())
            .shares.at("questions")
            .requests_per_second > 880);
  // The units are conserved exactly; only their floating-point sum is rounded.
  CHECK(cluster.UsableSum() <= 1000 * (1 + 1e-9));
}

// Guards against a loss of confirmation in a table outage: without a full mesh,
// heartbeats arrive through other daemons and can be too old to confirm a
// daemon.
TEST_CASE("a table outage alone stops no daemon of a large cluster",
          "[cluster][node]") {
  const std::size_t count = 64;
  ClusterHarness cluster(count, 10, 11);
  cluster.table().configuration = MakeConfiguration(1);
  cluster.StartAll();
  cluster.Run(30s);
  for (auto& daemon : cluster.daemons()) {
    daemon.table_reachable = false;
  }
  cluster.Run(12s);
  std::size_t unconfirmed = 0;
  cluster.Run(10s, [&] {
    for (std::size_t index = 0; index < count; ++index) {
      unconfirmed += cluster.node(index).IsConfirmed(cluster.now()) ? 0 : 1;
    }
  });
  CHECK(unconfirmed == 0);
}

// Guards against crashes and state changes caused by damaged or foreign input.
TEST_CASE("malformed and unknown messages are counted and dropped",
          "[cluster][node]") {
  ClusterHarness cluster(2, 9);
  cluster.StartAll();
  ClusterNode& node = cluster.node(0);
  node.OnMessage("", cluster.now());
  node.OnMessage("\x93\x01\x02", cluster.now());
  node.OnMessage(std::string(100'000, '\x01'), cluster.now());
  node.OnMessage("\x93\x63\x90\x90", cluster.now());
  CHECK(node.counters().malformed == 3);
  CHECK(node.counters().unknown_kind == 1);
  CHECK(node.Members(cluster.now()).members.empty());
}

}  // namespace
}  // namespace qp
