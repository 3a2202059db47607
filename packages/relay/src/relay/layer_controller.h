#pragma once

#include <map>
#include <string>
#include <utility>

#include "relay/deployment_store.h"
#include "relay/layer_plan.h"
#include "relay/relay.h"
#include "storage/lease.h"

namespace qp::relay {

/// Assigns layers to the engines while this process holds the lease. Each order
/// states the number of orders that the engine must have begun before. If two
/// lease holders send orders, or an old order arrives besides a new one, only
/// one of the two orders therefore takes effect.
class LayerController {
 public:
  /// Time between two reconciliations by the holder of the lease.
  static constexpr Duration kInterval = std::chrono::milliseconds(500);
  /// Time after the predicted end of loading layers at which the order to load
  /// them counts as lost. Heartbeats report the new layers about 1.2 s late.
  static constexpr Duration kOrderSlack = std::chrono::milliseconds(4000);

  /// Time until a refused order is sent again. Longer than the 1.2 s between
  /// heartbeats.
  static constexpr Duration kRetryInterval = std::chrono::milliseconds(1500);

  LayerController(RelayContext& relay, Clock& clock, EngineControl& control,
                  Lease& lease);

  /// Runs until the process ends or drains. Can be started again after an
  /// exception.
  Task<void> Run();
  /// Whether a reconciliation is running, during which an order can be under
  /// way. Once the process drains, no further order is sent.
  bool is_reconciling() const { return this->reconciling; }

 private:
  /// Id and incarnation of an engine.
  using EngineKey = std::pair<std::string, std::int64_t>;
  /// The last order to an engine. The order counts as lost if the engine does
  /// not hold `layers` by `lost_at`.
  struct Pending {
    LayerRange layers;
    TimePoint lost_at{};
  };

  Task<void> Reconcile();
  /// `service` and `profile` must live until the task has ended.
  Task<void> ReconcileService(const std::string& service,
                              const EngineProfile& profile);
  /// State of the engines of a service whose model has `layer_count` layers.
  std::vector<PlannedEngine> PlannedEngines(const std::string& service,
                                            std::uint32_t layer_count);
  Task<void> Send(ServerRecord engine, LayerRange layers, Duration load_time);
  /// Fetches the order count of an engine that did not accept an order.
  /// `answered`: whether the engine responded to the order. If it did not, the
  /// order count is only forgotten.
  Task<void> RefreshState(ServerRecord engine, bool answered);
  /// Fetches the number of orders that the engine has begun, unless that number
  /// is known. False if the engine does not report it or has restarted.
  /// Counts a request to the engine against its limit on requests; false if
  /// there is no room for it now.
  bool AcquireRequest(const ServerRecord& engine);
  Task<bool> FetchOrderCount(ServerRecord engine);

  RelayContext& relay;
  Clock& clock;
  EngineControl& control;
  Lease& lease;
  bool reconciling = false;
  std::map<EngineKey, Pending> pending;
  /// Number of orders that each engine has begun since its start, as far as
  /// known.
  std::map<EngineKey, std::uint64_t> order_counts;
};

}  // namespace qp::relay
