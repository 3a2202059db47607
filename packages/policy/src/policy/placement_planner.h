#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "foundation/clock.h"
#include "policy/placement_policy.h"

namespace qp::policy {

/// Limits on when the plan changes and how fast a change is carried out.
struct PlacementLimits {
  double store_bytes_per_second = 1e9;  ///< Rate of the weight store for loads.
  /// Time within which the gain of a new plan must exceed the cost of changing
  /// to it.
  Duration horizon = std::chrono::minutes(10);
  /// Minimum gain, as a fraction of what the active plan serves.
  double min_gain = 0.05;
  /// Minimum time that a plan stays active unless it has broken down.
  Duration min_plan_lifetime = std::chrono::minutes(5);
  /// Minimum time for which a new plan must be better before it becomes active.
  /// It also applies after a breakdown, because an engine whose reports were
  /// lost is reachable again by then.
  Duration min_gain_duration = std::chrono::seconds(30);
};

struct PlacementDecision {
  bool plan_changed = false;
  std::vector<LayerAssignment> orders;  ///< To be sent to the engines now.
};

/// Keeps the active plan, replaces it when the gain of a better one exceeds its
/// cost, and orders its moves at the rate of the weight store. As far as
/// possible, an engine that serves is moved only while the remaining engines
/// serve most of the load.
class PlacementPlanner {
 public:
  PlacementPlanner(std::unique_ptr<PlacementPolicy> policy,
                   PlacementLimits limits);

  /// Must be called with each new view of the engines, some seconds apart.
  PlacementDecision Decide(const PlacementInput& input, TimePoint now);

  /// The active plan, ordered by engine.
  const std::vector<LayerAssignment>& plan() const { return this->active_plan; }

 private:
  /// An order whose load is in progress.
  struct Order {
    LayerAssignment assignment;
    TimePoint deadline{};  ///< After it, the order is sent again.
  };

  /// Returns whether the active plan was replaced.
  bool UpdatePlan(const PlacementInput& input,
                  const std::vector<LayerAssignment>& current, TimePoint now);
  /// Tokens that are not produced while engines load the weights for
  /// `candidate`, if the store serves one load after the other.
  double TransitionCost(const PlacementInput& input,
                        const std::vector<LayerAssignment>& current,
                        const std::vector<LayerAssignment>& candidate) const;
  /// Returns the orders to send now and adds them to `loading`.
  std::vector<LayerAssignment> ScheduleOrders(
      const PlacementInput& input, const std::vector<LayerAssignment>& current,
      TimePoint now);
  void RefillStoreBudget(TimePoint now);

  std::unique_ptr<PlacementPolicy> policy;
  PlacementLimits limits;
  std::vector<LayerAssignment> active_plan;
  /// When `active_plan` became active; empty before the first plan.
  std::optional<TimePoint> activated_at;
  /// Since when each decision has found a better plan; empty if the last
  /// decision found none or changed the plan.
  std::optional<TimePoint> better_since;
  std::map<std::string, Order, std::less<>> loading;  ///< By engine.
  /// Token bucket of the store, in bytes; negative while the store still
  /// delivers weights that were ordered.
  double store_budget_bytes = 0;
  TimePoint refilled_at{};
};

}  // namespace qp::policy
