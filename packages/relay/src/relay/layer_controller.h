#pragma once

#include <map>
#include <string>
#include <utility>

#include "relay/deployment_store.h"
#include "relay/layer_plan.h"
#include "relay/relay.h"
#include "storage/lease.h"

namespace qp::relay {

/// Gives the engines their layers while it holds the lease. Each order names
/// the number of orders that the engine must have begun, so that of two
/// holders, or of an old and a new order, only one takes effect.
class LayerController {
 public:
  /// Time between two looks at the engines, of the holder of the lease.
  static constexpr Duration kInterval = std::chrono::milliseconds(500);
  /// Time beyond its load after which an order counts as lost: heartbeats
  /// show the layers some 1.2 s late.
  static constexpr Duration kOrderSlack = std::chrono::milliseconds(4000);

  /// Time until a refused order is tried again. Heartbeats come every 1.2 s.
  static constexpr Duration kRetry = std::chrono::milliseconds(1500);

  LayerController(RelayContext& relay, Clock& clock, EngineControl& control,
                  Lease& lease);

  /// Runs until the process ends or drains.
  Task<void> Run();
  /// Whether an order may be on its way. Once the process drains, no further
  /// one follows.
  bool is_acting() const { return this->acting; }

 private:
  using EngineKey = std::pair<std::string, std::int64_t>;
  struct Pending {
    LayerRange layers;
    TimePoint lost_at{};
  };

  Task<void> Reconcile();
  std::vector<PlannedEngine> Engines(const std::string& service);
  Task<void> Send(ServerRecord engine, LayerRange layers, Duration load_time);
  /// After an order that was not taken: finds out what the engine did.
  Task<void> RefreshState(ServerRecord engine, bool answered);
  /// Learns how many orders an engine has begun, if that is not known.
  Task<bool> LearnOrderCount(ServerRecord engine);

  RelayContext& relay;
  Clock& clock;
  EngineControl& control;
  Lease& lease;
  bool acting = false;
  std::map<EngineKey, Pending> pending;
  std::map<EngineKey, std::uint64_t> order_counts;
};

}  // namespace qp::relay
