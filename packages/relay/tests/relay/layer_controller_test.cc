#include "relay/layer_controller.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "relay/idle_engines.h"
#include "relay/relay_harness.h"
#include "storage/table.h"

namespace qp::relay::testing {

namespace {

/// Engines that take orders at once, unless told otherwise.
class ScriptedEngines : public IdleEngines {
 public:
  struct Order {
    std::string engine;
    LayerRange layers;
    std::uint64_t order_count;
  };

  Task<Result<OrderOutcome>> SetLayers(ServerRecord engine, LayerRange layers,
                                       std::uint64_t order_count) override {
    this->orders.push_back({engine.id, layers, order_count});
    if (this->on_order) {
      this->on_order();
    }
    if (this->silent) {
      co_return Error{ErrorCode::kUnknownEffect, "order", engine.id, ""};
    }
    if (order_count != this->begun[engine.id]) {
      co_return OrderOutcome::kConflict;
    }
    ++this->begun[engine.id];
    co_return OrderOutcome::kAccepted;
  }

  Task<Result<EngineState>> GetState(ServerRecord engine) override {
    ++this->asked;
    EngineState state;
    state.incarnation = engine.incarnation;
    state.order_count = this->begun[engine.id];
    co_return state;
  }

  std::function<void()> on_order;
  std::vector<Order> orders;
  std::map<std::string, std::uint64_t> begun;
  int asked = 0;
  bool silent = false;
};

/// A table that holds one lease item.
class OneItemTable : public Table {
 public:
  Task<Result<std::optional<TableItem>>> Read(std::string) override {
    co_return this->item;
  }
  Task<Result<std::vector<TableItem>>> Scan(std::string) override {
    co_return std::vector<TableItem>();
  }
  Task<Result<std::vector<OperationResult>>> Transact(
      TransactMode, std::vector<TableOperation> operations) override {
    ++this->version;
    this->item.emplace();
    this->item->key = operations.front().key;
    this->item->value = *operations.front().put;
    this->item->version = this->version;
    OperationResult result;
    result.applied = true;
    result.version = this->version;
    co_return std::vector<OperationResult>(1, result);
  }

  std::optional<TableItem> item;
  std::uint64_t version = 0;
};

struct World {
  World()
      : lease(table, harness.runtime.clock(), harness.events, "lease", "me"),
        controller(harness.relay, harness.runtime.clock(), engines, lease) {
    DeploymentConfiguration configuration;
    configuration.version = 1;
    configuration.services["model"].name = "model";
    configuration.services["model"].engine = MakeProfile();
    harness.relay.active_configuration =
        std::make_shared<const ActiveConfiguration>(configuration);
    for (int index = 0; index < 4; ++index) {
      this->Put("e" + std::to_string(index), {});
    }
  }

  void Put(std::string id, LayerRange layers) {
    auto record = MakeRecord(std::move(id), "model");
    record.accelerator = "large";
    record.layers = layers;
    harness.relay.servers.Put(record, harness.relay.Now());
  }
  void TakeLease() {
    asio::co_spawn(harness.runtime.io(), lease.Tick(), asio::detached);
    harness.runtime.Settle();
  }
  void Run(Duration time) {
    if (!std::exchange(running, true)) {
      asio::co_spawn(harness.runtime.io(), controller.Run(), asio::detached);
    }
    harness.runtime.Advance(time);
  }

  RelayHarness harness;
  ScriptedEngines engines;
  OneItemTable table;
  Lease lease;
  LayerController controller;
  bool running = false;
};

}  // namespace

TEST_CASE("Without the lease no order is sent", "[relay][keeper]") {
  World world;
  world.Run(milliseconds(3000));
  CHECK(world.engines.orders.empty());
}

TEST_CASE("The holder of the lease gives each empty engine its layers once",
          "[relay][keeper]") {
  World world;
  world.TakeLease();
  world.Run(milliseconds(3000));
  REQUIRE(world.engines.orders.size() == 4);
  std::set<std::string> engines;
  for (const auto& order : world.engines.orders) {
    engines.insert(order.engine);
  }
  CHECK(engines.size() == 4);
}

TEST_CASE("Orders end with the lease", "[relay][keeper]") {
  World world;
  world.TakeLease();
  world.harness.runtime.Advance(LeaseTerms{}.term);
  world.Run(milliseconds(3000));
  CHECK(world.engines.orders.empty());
}

TEST_CASE(
    "An engine that another has ordered meanwhile is asked before the "
    "next order",
    "[relay][keeper]") {
  World world;
  for (int index = 0; index < 4; ++index) {
    world.engines.begun["e" + std::to_string(index)] = 1;
  }
  world.TakeLease();
  world.Run(milliseconds(1000));
  CHECK(world.engines.orders.size() == 4);
  CHECK(world.engines.asked == 4);
  world.Run(LayerController::kRetry);
  REQUIRE(world.engines.orders.size() == 8);
  CHECK(world.engines.orders.back().order_count == 1);
}

TEST_CASE(
    "An order without an answer is not repeated while it may still be "
    "carried out",
    "[relay][keeper]") {
  World world;
  world.engines.silent = true;
  world.TakeLease();
  world.Run(LayerController::kOrderSlack);
  CHECK(world.engines.orders.size() == 4);
}

// A process that stopped gave the lease up with an order of its own under way,
// and the next holder ordered for the same hole.
TEST_CASE(
    "A process that stops sends no further order and tells when it is done",
    "[relay][keeper][stop]") {
  World world;
  bool acting = false;
  world.engines.on_order = [&] {
    acting = world.controller.is_acting();
    world.harness.relay.draining = true;
  };
  world.TakeLease();
  world.Run(milliseconds(3000));
  CHECK(acting);
  CHECK(world.engines.orders.size() == 1);
  CHECK_FALSE(world.controller.is_acting());
}

}  // namespace qp::relay::testing
