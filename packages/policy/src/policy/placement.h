#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "foundation/clock.h"
#include "policy/placement_policy.h"

namespace qp::policy {

/// What a change of the plan may cost and how fast it is carried out.
struct PlacementLimits {
  double store_bytes_per_second = 1e9;  ///< Of the weight store, for loads.
  /// Time over which the gain of a new plan must exceed its cost.
  Duration horizon = std::chrono::minutes(10);
  /// Least gain, as part of what the plan in force serves.
  double min_gain = 0.05;
  /// A plan stays in force at least this long unless it has broken down.
  Duration min_dwell = std::chrono::minutes(5);
  /// A better plan must stay better this long, also after a break-down: an
  /// engine whose reports were lost is back by then.
  Duration persistence = std::chrono::seconds(30);
};

struct PlacementDecision {
  bool plan_changed = false;
  std::vector<LayerAssignment> orders;  ///< To be sent now.
};

/// Holds the plan in force, replaces it when a better one earns its cost, and
/// orders its moves at the pace of the weight store. An engine that serves is
/// moved only while the others keep up the answers, as far as that is
/// possible.
class Placement {
 public:
  Placement(std::unique_ptr<PlacementPolicy> policy, PlacementLimits limits);

  /// To be called with each new view of the engines, some seconds apart.
  PlacementDecision Decide(const PlacementInput& input, TimePoint now);

  /// The plan in force, ordered by engine.
  const std::vector<LayerAssignment>& plan() const { return this->target; }

 private:
  struct Order {
    LayerAssignment assignment;
    TimePoint deadline{};  ///< When the load should have ended.
  };

  bool UpdatePlan(const PlacementInput& input,
                  const std::vector<LayerAssignment>& current, TimePoint now);
  double TransitionCost(const PlacementInput& input,
                        const std::vector<LayerAssignment>& current,
                        const std::vector<LayerAssignment>& candidate) const;
  std::vector<LayerAssignment> ScheduleOrders(
      const PlacementInput& input, const std::vector<LayerAssignment>& current,
      TimePoint now);
  void RefillStoreBudget(TimePoint now);

  std::unique_ptr<PlacementPolicy> policy;
  PlacementLimits limits;
  std::vector<LayerAssignment> target;
  std::optional<TimePoint> adopted_at;
  std::optional<TimePoint> better_since;
  std::map<std::string, Order, std::less<>> loading;
  /// Bytes that the store can deliver now; below 0 while loads are under way.
  double store_budget = 0;
  TimePoint refilled_at{};
};

}  // namespace qp::policy
