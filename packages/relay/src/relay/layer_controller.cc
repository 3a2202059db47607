#include "relay/layer_controller.h"

#include "foundation/wait.h"

namespace qp::relay {

namespace {

/// Loads that slow one another down when a fleet starts.
constexpr double kLoadCrowding = 2.0;

std::string RangeText(LayerRange range) {
  return std::to_string(range.first) + "-" + std::to_string(range.end);
}

}  // namespace

LayerController::LayerController(RelayContext& shared, Clock& time,
                                 EngineControl& engines, Lease& held)
    : relay(shared), clock(time), control(engines), lease(held) {}

Task<void> LayerController::Run() {
  while (!this->relay.draining) {
    co_await SleepFor(this->clock, kInterval);
    if (this->lease.FencingNumber() &&
        this->relay.active_configuration != nullptr) {
      this->acting = true;
      co_await this->Reconcile();
      this->acting = false;
    }
  }
}

Task<void> LayerController::Reconcile() {
  const auto active_configuration = this->relay.active_configuration;
  this->relay.servers.Expire(this->clock.Now());
  for (const auto& [name, service] :
       active_configuration->configuration.services) {
    if (!service.engine) {
      continue;
    }
    const EngineProfile& profile = *service.engine;
    const auto engines = this->Engines(name);
    const auto orders = PlanLayers(profile, engines);
    for (const auto& order : orders) {
      const ServerPtr server = this->relay.servers.Find(order.engine);
      // The lease is looked at again before each order.
      if (server == nullptr || this->relay.draining ||
          !this->lease.FencingNumber()) {
        continue;
      }
      const double share =
          static_cast<double>(order.layers.size()) / profile.layers;
      const auto load_time =
          std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
              profile.load_seconds * share * kLoadCrowding));
      co_await this->Send(server->record, order.layers, load_time);
    }
  }
}

std::vector<PlannedEngine> LayerController::Engines(
    const std::string& service) {
  const TimePoint now = this->clock.Now();
  std::vector<PlannedEngine> engines;
  for (const auto& server : this->relay.servers.FindByService(service)) {
    if (!server->IsUsable() || server->record.accelerator.empty()) {
      continue;
    }
    PlannedEngine engine;
    engine.id = server->record.id;
    engine.availability_zone = server->record.availability_zone;
    engine.accelerator = server->record.accelerator;
    engine.layers = server->record.layers;
    engine.movable = !server->IsSuspect(now);
    const auto ordered =
        this->pending.find({server->record.id, server->record.incarnation});
    if (ordered != this->pending.end()) {
      const bool done = ordered->second.layers == server->record.layers;
      if (done || now >= ordered->second.lost_at) {
        this->pending.erase(ordered);
      } else {
        engine.layers = ordered->second.layers;
        engine.movable = false;
      }
    }
    engines.push_back(std::move(engine));
  }
  return engines;
}

Task<bool> LayerController::LearnOrderCount(ServerRecord engine) {
  const EngineKey key{engine.id, engine.incarnation};
  if (this->order_counts.contains(key)) {
    co_return true;
  }
  if (engine.layers.empty()) {
    // Most likely just started. If not, the order is refused and the engine
    // is asked.
    this->order_counts[key] = 0;
    co_return true;
  }
  const auto state = co_await this->control.GetState(engine);
  if (!state || state.value().incarnation != engine.incarnation) {
    co_return false;
  }
  this->order_counts[key] = state.value().order_count;
  co_return true;
}

Task<void> LayerController::Send(ServerRecord engine, LayerRange layers,
                                 Duration load_time) {
  const EngineKey key{engine.id, engine.incarnation};
  this->pending[key] = {layers, this->clock.Now() + kRetry};
  const bool known = co_await this->LearnOrderCount(engine);
  // The answer may have taken long; the lease is what allows the order.
  if (!known || this->relay.draining || !this->lease.FencingNumber()) {
    co_return;
  }
  const std::uint64_t count = this->order_counts[key];
  this->pending[key] = {layers, this->clock.Now() + load_time + kOrderSlack};
  this->relay.events.Record(EventId::kOrderSent,
                            {{"engine", engine.id},
                             {"layers", RangeText(layers)},
                             {"held", RangeText(engine.layers)},
                             {"order_count", std::to_string(count)}});
  const auto outcome = co_await this->control.SetLayers(engine, layers, count);
  if (outcome && outcome.value() == OrderOutcome::kAccepted) {
    this->order_counts[key] = count + 1;
    co_return;
  }
  this->relay.events.Record(
      EventId::kOrderRefused,
      {{"engine", engine.id},
       {"layers", RangeText(layers)},
       {"detail", outcome ? (outcome.value() == OrderOutcome::kConflict
                                 ? "its state is another"
                                 : "refused")
                          : ToString(outcome.error())}});
  co_await this->RefreshState(std::move(engine), outcome.has_value());
}

Task<void> LayerController::RefreshState(ServerRecord engine, bool answered) {
  const EngineKey key{engine.id, engine.incarnation};
  this->order_counts.erase(key);
  if (!answered) {
    // It may be carried out later, so it stays pending until it counts as
    // lost.
    co_return;
  }
  const auto state = co_await this->control.GetState(engine);
  if (state && state.value().incarnation == engine.incarnation) {
    this->order_counts[key] = state.value().order_count;
  }
  this->pending[key].lost_at = this->clock.Now() + kRetry;
}

}  // namespace qp::relay
