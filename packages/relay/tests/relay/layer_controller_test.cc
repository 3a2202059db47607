#include "relay/layer_controller.h"

#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <stdexcept>

#include "foundation/spawn.h"
#include "relay/idle_engines.h"
#include "relay/relay_harness.h"
#include "storage/table.h"

namespace qp::relay::testing {

namespace {

/// Engines that accept orders at once, unless `unresponsive` is set or the
/// order states another count of begun orders than the engine has.
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
    if (this->throws) {
      throw std::runtime_error("an order that cannot be sent");
    }
    if (this->unresponsive) {
      co_return Error{ErrorCode::kUnknownEffect, "order", engine.id, ""};
    }
    if (order_count != this->begun_orders[engine.id]) {
      co_return OrderOutcome::kConflict;
    }
    ++this->begun_orders[engine.id];
    co_return OrderOutcome::kAccepted;
  }

  Task<Result<EngineState>> GetState(ServerRecord engine) override {
    ++this->state_requests;
    EngineState state;
    state.incarnation = engine.incarnation;
    state.order_count = this->begun_orders[engine.id];
    co_return state;
  }

  std::function<void()> on_order;
  std::vector<Order> orders;
  std::map<std::string, std::uint64_t> begun_orders;
  int state_requests = 0;
  bool unresponsive = false;
  bool throws = false;
};

/// A table that holds one lease item.
class SingleItemTable : public Table {
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

struct Fixture {
  Fixture()
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
  void SetLayerCount(std::uint32_t layers) {
    auto configuration = harness.relay.active_configuration->configuration;
    configuration.services["model"].engine->layers = layers;
    harness.relay.active_configuration =
        std::make_shared<const ActiveConfiguration>(configuration);
  }
  void AcquireLease() {
    asio::co_spawn(harness.runtime.io(), lease.Tick(), asio::detached);
    harness.runtime.Settle();
  }
  void Run(Duration time) {
    if (!std::exchange(started, true)) {
      SpawnLoop(harness.runtime.io(), harness.runtime.clock(), "layers",
                [this] { return controller.Run(); });
    }
    harness.runtime.Advance(time);
  }

  RelayHarness harness;
  ScriptedEngines engines;
  SingleItemTable table;
  Lease lease;
  LayerController controller;
  bool started = false;
};

}  // namespace

TEST_CASE("Without the lease no order is sent", "[relay][keeper]") {
  Fixture fixture;
  fixture.Run(milliseconds(3000));
  CHECK(fixture.engines.orders.empty());
}

TEST_CASE("The lease holder orders layers for each empty engine once",
          "[relay][keeper]") {
  Fixture fixture;
  fixture.AcquireLease();
  fixture.Run(milliseconds(3000));
  REQUIRE(fixture.engines.orders.size() == 4);
  std::set<std::string> engines;
  for (const auto& order : fixture.engines.orders) {
    engines.insert(order.engine);
  }
  CHECK(engines.size() == 4);
}

TEST_CASE("An engine at its limit on requests gets no order",
          "[relay][keeper][limit]") {
  Fixture fixture;
  fixture.AcquireLease();
  auto& relay = fixture.harness.relay;
  relay.limits.SetProcesses("me", {"me"}, relay.Now());
  const std::string limited = relay.servers.Ids().front();
  relay.limits.RecordLimit(*relay.servers.Find(limited), 0, relay.Now());
  fixture.Run(milliseconds(3000));
  CHECK(fixture.engines.orders.size() == 3);
  for (const auto& order : fixture.engines.orders) {
    CHECK(order.engine != limited);
  }
}

TEST_CASE("No order is sent after the lease has expired", "[relay][keeper]") {
  Fixture fixture;
  fixture.AcquireLease();
  fixture.harness.runtime.Advance(LeaseTerms{}.term);
  fixture.Run(milliseconds(3000));
  CHECK(fixture.engines.orders.empty());
}

TEST_CASE(
    "The state of an engine that took an order from another process is "
    "fetched before the next order",
    "[relay][keeper]") {
  Fixture fixture;
  for (int index = 0; index < 4; ++index) {
    fixture.engines.begun_orders["e" + std::to_string(index)] = 1;
  }
  fixture.AcquireLease();
  fixture.Run(milliseconds(1000));
  CHECK(fixture.engines.orders.size() == 4);
  CHECK(fixture.engines.state_requests == 4);
  fixture.Run(LayerController::kRetryInterval);
  REQUIRE(fixture.engines.orders.size() == 8);
  CHECK(fixture.engines.orders.back().order_count == 1);
}

TEST_CASE(
    "An order without a response is not sent again while the engine can "
    "still carry it out",
    "[relay][keeper]") {
  Fixture fixture;
  fixture.engines.unresponsive = true;
  fixture.AcquireLease();
  fixture.Run(LayerController::kOrderSlack);
  CHECK(fixture.engines.orders.size() == 4);
}

// Guards against two orders for the same uncovered layers: a stopping process
// released the lease while its own order was under way, and the next holder
// sent another order.
TEST_CASE(
    "A stopping process sends no further order and reports when it is done",
    "[relay][keeper][stop]") {
  Fixture fixture;
  bool was_reconciling = false;
  fixture.engines.on_order = [&] {
    was_reconciling = fixture.controller.is_reconciling();
    fixture.harness.relay.draining = true;
  };
  fixture.AcquireLease();
  fixture.Run(milliseconds(3000));
  CHECK(was_reconciling);
  CHECK(fixture.engines.orders.size() == 1);
  CHECK_FALSE(fixture.controller.is_reconciling());
}

// Guards against engines that never get an order: an entry with layers that
// the model lacks ended the loop of the process that holds the lease.
TEST_CASE("An engine with layers that the model lacks stops no order",
          "[relay][keeper]") {
  Fixture fixture;
  fixture.AcquireLease();
  SECTION("when it is listed before the first order") {
    fixture.Put("odd", {0, 160});
    fixture.Run(milliseconds(1000));
  }
  SECTION("when its entry changes later") {
    fixture.Run(milliseconds(1000));
    fixture.Put("e0", {0, 160});
    fixture.Put("e4", {});
    fixture.Run(milliseconds(1000));
  }
  SECTION("when the configuration changes to a smaller model") {
    fixture.Run(milliseconds(1000));
    fixture.SetLayerCount(40);
    fixture.Put("e4", {});
    fixture.Run(milliseconds(1000));
    for (const auto& order : fixture.engines.orders) {
      if (order.engine == "e4") {
        CHECK(order.layers.end <= 40);
      }
    }
  }
  std::set<std::string> engines;
  for (const auto& order : fixture.engines.orders) {
    engines.insert(order.engine);
  }
  CHECK(engines.contains("e1"));
  CHECK(engines.contains(engines.contains("e4") ? "e4" : "e3"));
}

// Guards against a lease that is held while nobody sends orders: an exception
// ended the loop without a trace.
TEST_CASE("An exception during a reconciliation is recorded and not the end",
          "[relay][keeper]") {
  Fixture fixture;
  fixture.AcquireLease();
  fixture.engines.throws = true;
  fixture.Run(milliseconds(1000));
  REQUIRE(fixture.engines.orders.size() == 1);
  CHECK_FALSE(fixture.controller.is_reconciling());
  fixture.engines.throws = false;
  fixture.Run(milliseconds(4000));
  // The engine whose order threw can have received it.
  CHECK(fixture.engines.orders.size() == 4);
}

}  // namespace qp::relay::testing
