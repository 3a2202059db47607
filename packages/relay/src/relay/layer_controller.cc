#include "relay/layer_controller.h"

#include <exception>

#include "foundation/wait.h"

namespace qp::relay {

namespace {

/// Factor on the predicted time to load layers, because engines that load at
/// the same time, for example after a common start, slow one another down.
constexpr double kConcurrentLoadFactor = 2.0;

std::string FormatRange(LayerRange range) {
  return std::to_string(range.first) + "-" + std::to_string(range.end);
}

}  // namespace

LayerController::LayerController(RelayContext& context, Clock& time,
                                 EngineControl& engines, Lease& layer_lease)
    : relay(context), clock(time), control(engines), lease(layer_lease) {}

Task<void> LayerController::Run() {
  while (!this->relay.draining) {
    co_await SleepFor(this->clock, kInterval);
    if (this->lease.FencingNumber() &&
        this->relay.active_configuration != nullptr) {
      this->reconciling = true;
      try {
        co_await this->Reconcile();
      } catch (...) {
        this->reconciling = false;
        throw;
      }
      this->reconciling = false;
    }
  }
}

Task<void> LayerController::Reconcile() {
  const auto active_configuration = this->relay.active_configuration;
  this->relay.servers.Expire(this->clock.Now());
  std::exception_ptr failure;
  for (const auto& [name, service] :
       active_configuration->configuration.services) {
    if (!service.engine) {
      continue;
    }
    try {
      co_await this->ReconcileService(name, *service.engine);
    } catch (...) {
      // The other services must get their orders.
      failure = std::current_exception();
    }
  }
  if (failure) {
    std::rethrow_exception(failure);
  }
}

Task<void> LayerController::ReconcileService(const std::string& service,
                                             const EngineProfile& profile) {
  const auto engines = this->PlannedEngines(service, profile.layers);
  const auto orders = PlanLayers(profile, engines);
  for (const auto& order : orders) {
    const ServerPtr server = this->relay.servers.Find(order.engine);
    // The lease can have ended since the previous order was sent.
    if (server == nullptr || this->relay.draining ||
        !this->lease.FencingNumber()) {
      continue;
    }
    // Without room for an order, the engine is ordered in a later round.
    if (!server->request_limit.HasRoom(this->clock.Now())) {
      continue;
    }
    const double share =
        static_cast<double>(order.layers.size()) / profile.layers;
    const auto load_time =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
            profile.load_seconds * share * kConcurrentLoadFactor));
    co_await this->Send(server->record, order.layers, load_time);
  }
}

std::vector<PlannedEngine> LayerController::PlannedEngines(
    const std::string& service, std::uint32_t layer_count) {
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
      const bool obsolete = !ordered->second.layers.IsWithin(layer_count);
      if (done || obsolete || now >= ordered->second.lost_at) {
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

bool LayerController::AcquireRequest(const ServerRecord& engine) {
  const ServerPtr server = this->relay.servers.Find(engine.id);
  return server == nullptr ||
         server->request_limit.TryAcquire(this->clock.Now());
}

Task<bool> LayerController::FetchOrderCount(ServerRecord engine) {
  const EngineKey key{engine.id, engine.incarnation};
  if (this->order_counts.contains(key)) {
    co_return true;
  }
  if (engine.layers.empty()) {
    // An engine without layers has most likely just started and begun no order.
    // If it has begun one, it refuses the next order, and its order count is
    // fetched then.
    this->order_counts[key] = 0;
    co_return true;
  }
  if (!this->AcquireRequest(engine)) {
    co_return false;
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
  this->pending[key] = {layers, this->clock.Now() + kRetryInterval};
  const bool known = co_await this->FetchOrderCount(engine);
  // The lease can have ended while the order count was fetched.
  if (!known || this->relay.draining || !this->lease.FencingNumber() ||
      !this->AcquireRequest(engine)) {
    co_return;
  }
  const std::uint64_t count = this->order_counts[key];
  this->pending[key] = {layers, this->clock.Now() + load_time + kOrderSlack};
  this->relay.events.Record(EventId::kOrderSent,
                            {{"engine", engine.id},
                             {"layers", FormatRange(layers)},
                             {"held", FormatRange(engine.layers)},
                             {"order_count", std::to_string(count)}});
  const auto outcome = co_await this->control.SetLayers(engine, layers, count);
  if (outcome && outcome.value() == OrderOutcome::kAccepted) {
    this->order_counts[key] = count + 1;
    co_return;
  }
  this->relay.events.Record(
      EventId::kOrderRefused,
      {{"engine", engine.id},
       {"layers", FormatRange(layers)},
       {"detail",
        outcome ? (outcome.value() == OrderOutcome::kConflict
                       ? "the engine's state differs from the expected one"
                       : "refused")
                : ToString(outcome.error())}});
  co_await this->RefreshState(std::move(engine), outcome.has_value());
}

Task<void> LayerController::RefreshState(ServerRecord engine, bool answered) {
  const EngineKey key{engine.id, engine.incarnation};
  this->order_counts.erase(key);
  if (!answered) {
    // The engine can still carry the order out, so the order stays pending
    // until it counts as lost.
    co_return;
  }
  this->pending[key].lost_at = this->clock.Now() + kRetryInterval;
  if (!this->AcquireRequest(engine)) {
    co_return;
  }
  const auto state = co_await this->control.GetState(engine);
  if (state && state.value().incarnation == engine.incarnation) {
    this->order_counts[key] = state.value().order_count;
  }
  this->pending[key].lost_at = this->clock.Now() + kRetryInterval;
}

}  // namespace qp::relay
