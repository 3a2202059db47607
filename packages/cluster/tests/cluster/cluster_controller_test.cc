#include "cluster/cluster_controller.h"

#include <catch2/catch.hpp>
#include <memory>

#include "cluster/cluster_harness.h"
#include "cluster/in_memory_network.h"

namespace qp {
namespace {

using testing::MakeConfiguration;
using testing::TestRuntime;
using namespace std::chrono_literals;

struct ControlledDaemon {
  ControlledDaemon(TestRuntime& runtime, InMemoryNetwork& network,
                   const std::string& name, const std::string& address,
                   std::vector<std::string> seeds)
      : link(network.Connect(address)),
        controller(runtime.actors(), runtime.clock(), this->blackboard,
                   {name, address, "region", "zone", 1}, std::move(seeds),
                   *this->link, nullptr, this->events, 11) {}

  Blackboard blackboard;
  NullEventSink events;
  std::unique_ptr<PeerLink> link;
  ClusterController controller;
};

// Guards against a controller that does not tick, receive or publish, and
// against use of its references after its destruction.
TEST_CASE("the controller publishes members and budgets",
          "[cluster][controller]") {
  TestRuntime runtime;
  InMemoryNetwork network(runtime.clock(), 12);
  ControlledDaemon left(runtime, network, "vm-0", "10.0.0.1:7000", {});
  {
    ControlledDaemon right(runtime, network, "vm-1", "10.0.0.2:7000",
                           {"10.0.0.1:7000"});
    CHECK(left.blackboard.members.Claim() == nullptr);
    left.controller.Post([](ClusterNode& node, TimePoint now) {
      node.OfferConfiguration(MakeConfiguration(1), now);
      node.SetBudgetGeneration({1, {{"vm-0", 1}, {"vm-1", 1}}, {}}, now);
    });
    runtime.Advance(3s, 10ms);

    for (ControlledDaemon* daemon : {&left, &right}) {
      REQUIRE(daemon->blackboard.members.Read()->value.members.size() == 1);
      const auto budgets = daemon->blackboard.budgets.Read();
      REQUIRE(budgets->value.shares.contains("questions"));
      CHECK(budgets->value.shares.at("questions").requests_per_second ==
            Approx(500));
    }
  }
  runtime.Advance(3s, 10ms);
  const auto members = left.blackboard.members.Read();
  CHECK(members->value.members[0].state == MemberState::kGone);
}

}  // namespace
}  // namespace qp
