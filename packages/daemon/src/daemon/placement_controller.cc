#include "daemon/placement_controller.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

#include "foundation/spawn.h"
#include "foundation/wait.h"
#include "http/client.h"
#include "storage/lease.h"

namespace qp {

namespace {

constexpr std::string_view kOrdersTarget = "/v1/engine/orders";

std::vector<Backend> RoutableEngines(const BackendsView& view) {
  std::vector<Backend> engines;
  std::copy_if(view.backends.begin(), view.backends.end(),
               std::back_inserter(engines), [](const Backend& backend) {
                 return backend.role == BackendRole::kEngine &&
                        backend.IsRoutable();
               });
  return engines;
}

http::Request MakeOrder(const policy::LayerAssignment& assignment,
                        std::uint64_t fence, WallMillis latest_start) {
  const nlohmann::json body = {{"fence", fence},
                               {"latest_start_ms", latest_start},
                               {"model", assignment.model},
                               {"first_layer", assignment.first_layer},
                               {"last_layer", assignment.last_layer}};
  return http::MakeRequest(http::Verb::post, kOrdersTarget, body.dump());
}

std::vector<EventField> OrderFields(const policy::LayerAssignment& assignment,
                                    std::uint64_t fence) {
  return {{"engine", assignment.engine},
          {"model", assignment.model},
          {"first_layer", std::to_string(assignment.first_layer)},
          {"last_layer", std::to_string(assignment.last_layer)},
          {"fence", std::to_string(fence)}};
}

}  // namespace

PlacementController::PlacementController(asio::io_context& context, Clock& time,
                                         const Blackboard& board,
                                         http::Client& http_client,
                                         Lease& order_lease, EventSink& sink,
                                         const Lifetime& life)
    : io(context),
      clock(time),
      blackboard(board),
      client(http_client),
      lease(order_lease),
      events(sink),
      lifetime(life),
      placement(std::make_unique<policy::FlowGuidedPlacement>(),
                policy::PlacementLimits{}) {}

Task<void> PlacementController::Run() {
  while (!this->lifetime.ended) {
    const auto readiness = this->blackboard.readiness.Read();
    if (readiness->value.draining) {
      co_await this->lease.Resign();
      co_return;
    }
    if (readiness->value.ready) {
      co_await this->lease.Tick();
      this->Decide();
    }
    co_await SleepFor(this->clock, Lease::kTickInterval);
  }
}

void PlacementController::Decide() {
  const auto configuration = this->blackboard.configuration.Read();
  if (!this->lease.FencingNumber() || !configuration->value.configuration) {
    return;
  }
  const Configuration& targets = *configuration->value.configuration;
  const auto backends = this->blackboard.backends.Read();
  const std::vector<Backend> engines = RoutableEngines(backends->value);
  const auto demands = policy::DemandsOf(targets);
  policy::PlacementInput input;
  input.engines = engines;
  input.models = targets.models;
  input.kinds = targets.kinds;
  input.demands = demands;
  const auto decision = this->placement.Decide(input, this->clock.Now());
  for (const policy::LayerAssignment& order : decision.orders) {
    const auto engine = std::find_if(
        engines.begin(), engines.end(),
        [&](const Backend& backend) { return backend.name == order.engine; });
    if (engine != engines.end() &&
        this->being_ordered.insert(order.engine).second) {
      Spawn(this->io, "placement.order", this->SendOrder(*engine, order));
    }
  }
}

Task<void> PlacementController::SendOrder(Backend engine,
                                          policy::LayerAssignment assignment) {
  const std::string name = assignment.engine;
  try {
    co_await this->SendFencedOrder(std::move(engine), std::move(assignment));
  } catch (...) {
    this->being_ordered.erase(name);
    throw;
  }
  this->being_ordered.erase(name);
}

Task<void> PlacementController::SendFencedOrder(
    Backend engine, policy::LayerAssignment assignment) {
  // Asked right before the write: the coroutine may have waited.
  const auto fence = this->lease.FencingNumber();
  if (fence) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        this->lease.TimeLeft());
    auto fields = OrderFields(assignment, *fence);
    this->events.Record(EventId::kOrderSent, std::move(fields));
    auto order =
        MakeOrder(assignment, *fence, this->clock.WallNow() + left.count());
    const auto response =
        co_await this->client.Send(engine.address, std::move(order),
                                   kOrderBound, http::Connection::kFresh);
    if (response && response.value().result() != http::Status::ok) {
      auto refused = OrderFields(assignment, *fence);
      this->events.Record(EventId::kOrderRefused, std::move(refused));
    }
  }
}

}  // namespace qp
