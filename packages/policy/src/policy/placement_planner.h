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
  /// Rate at which the weight store delivers weights to all engines together.
  double store_bytes_per_second = 1e9;
  /// Time within which the gain of a new plan must exceed the cost of changing
  /// to it.
  Duration horizon = std::chrono::minutes(10);
  /// Minimum gain of a new plan, as a fraction of the tokens per second that
  /// the active plan serves.
  double min_gain = 0.05;
  /// Minimum time that a plan stays active unless it has broken down.
  Duration min_plan_lifetime = std::chrono::minutes(5);
  /// Minimum time for which a new plan must be better before it becomes active.
  /// It also applies if the active plan has broken down: the cause can be a
  /// lost report that makes an engine seem unreachable, and the next report
  /// arrives within this time.
  Duration min_gain_duration = std::chrono::seconds(30);
};

struct PlacementDecision {
  bool plan_changed = false;
  std::vector<LayerAssignment> orders;  ///< To be sent to the engines now.
};

/// Keeps the active plan, replaces it when the gain of a better plan exceeds
/// the cost of the change, and orders the necessary loads at the rate of the
/// weight store. As far as possible, an engine that serves is moved only while
/// the remaining engines serve most of the load.
class PlacementPlanner {
 public:
  PlacementPlanner(std::unique_ptr<PlacementPolicy> policy,
                   PlacementLimits limits);

  /// Decides whether to change the plan and which orders to send now. Must be
  /// called with each new view of the engines, every few seconds.
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
  /// Number of tokens that engines fail to produce while they load the weights
  /// for `candidate`. Each load is assumed to have the full rate of the store.
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
  /// Time of the first of the latest consecutive decisions that all found a
  /// better plan; empty if the last decision found none or changed the plan.
  std::optional<TimePoint> better_since;
  /// Orders whose loads are in progress, by engine.
  std::map<std::string, Order, std::less<>> loading;
  /// Token bucket of the store, in bytes; negative while the store still
  /// delivers weights that were ordered.
  double store_budget_bytes = 0;
  TimePoint refilled_at{};
};

}  // namespace qp::policy
