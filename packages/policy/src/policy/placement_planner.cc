#include "policy/placement_planner.h"

#include <algorithm>
#include <tuple>

namespace qp::policy {

namespace {

using Seconds = std::chrono::duration<double>;
using Assignments = std::vector<LayerAssignment>;

/// Fraction of the tokens per second served now that the remaining engines must
/// still serve while an engine is being moved.
constexpr double kMinServedWhileMoving = 0.75;
/// The active plan has broken down if it serves less than this fraction of the
/// tokens per second that the candidate plan serves.
constexpr double kBrokenDownFraction = 0.7;
/// Timeout of a load, after which it is ordered again, as a multiple of its
/// expected duration. kMinLoadTimeout is added.
constexpr double kLoadTimeoutFactor = 3;
/// Timeout of a load of 0 bytes.
constexpr Seconds kMinLoadTimeout{5.0};

Assignments CurrentAssignments(const PlacementInput& input) {
  Assignments current;
  for (const auto& engine : input.engines) {
    if (engine.role == BackendRole::kEngine && engine.IsRoutable() &&
        !engine.model.empty()) {
      current.push_back(
          {engine.name, engine.model, engine.first_layer, engine.last_layer});
    }
  }
  return current;
}

const LayerAssignment* FindAssignment(const Assignments& assignments,
                                      std::string_view engine) {
  const auto found =
      std::find_if(assignments.begin(), assignments.end(),
                   [&](const auto& item) { return item.engine == engine; });
  return found == assignments.end() ? nullptr : &*found;
}

Assignments Without(Assignments assignments, std::string_view engine) {
  std::erase_if(assignments,
                [&](const auto& item) { return item.engine == engine; });
  return assignments;
}

std::uint32_t CommonLayers(const LayerAssignment& a, const LayerAssignment& b) {
  if (a.model != b.model) {
    return 0;
  }
  const auto first = std::max(a.first_layer, b.first_layer);
  const auto last = std::min(a.last_layer, b.last_layer);
  return last >= first ? last - first + 1 : 0;
}

/// Bytes of weights to load when an engine changes from `before`, which can be
/// null, to `after`.
double LoadBytes(const PlacementInput& input, const LayerAssignment* before,
                 const LayerAssignment& after) {
  const auto model =
      std::find_if(input.models.begin(), input.models.end(),
                   [&](const auto& item) { return item.name == after.model; });
  const auto held = before == nullptr ? 0 : CommonLayers(*before, after);
  const auto layers = after.last_layer - after.first_layer + 1 - held;
  return static_cast<double>(model->layer_bytes) * layers;
}

/// Swaps assignments between engines of the same kind and zone so that engines
/// keep layers they already hold. The algorithm is greedy: it matches engines
/// with unchanged ranges first, then those with the most layers in common.
Assignments ReduceLayerMoves(const PlacementInput& input,
                             const Assignments& current,
                             Assignments candidate) {
  using EngineClass = std::tuple<std::string, std::string, std::string>;
  std::map<std::string_view, EngineClass> class_of;
  for (const auto& engine : input.engines) {
    class_of.emplace(
        engine.name,
        EngineClass{engine.region, engine.availability_zone, engine.kind});
  }
  std::map<EngineClass, std::vector<std::size_t>> classes;
  for (std::size_t i = 0; i < candidate.size(); ++i) {
    classes[class_of.at(candidate[i].engine)].push_back(i);
  }
  for (const auto& [key, members] : classes) {
    struct Pair {
      std::uint32_t common = 0;
      bool equal = false;
      std::size_t engine = 0;
      std::size_t range = 0;
    };
    std::vector<Pair> pairs;
    for (const auto engine : members) {
      const auto* held = FindAssignment(current, candidate[engine].engine);
      for (const auto range : members) {
        const auto& wanted = candidate[range];
        const bool equal = held != nullptr && held->model == wanted.model &&
                           held->first_layer == wanted.first_layer &&
                           held->last_layer == wanted.last_layer;
        pairs.push_back(
            {held ? CommonLayers(*held, wanted) : 0, equal, engine, range});
      }
    }
    std::stable_sort(
        pairs.begin(), pairs.end(), [](const auto& a, const auto& b) {
          return std::tie(a.equal, a.common) > std::tie(b.equal, b.common);
        });
    const Assignments wanted = candidate;
    std::map<std::size_t, bool> engine_done;
    std::map<std::size_t, bool> range_done;
    for (const auto& pair : pairs) {
      if (!engine_done[pair.engine] && !range_done[pair.range]) {
        engine_done[pair.engine] = range_done[pair.range] = true;
        const std::string engine = wanted[pair.engine].engine;
        candidate[pair.engine] = wanted[pair.range];
        candidate[pair.engine].engine = engine;
      }
    }
  }
  return candidate;
}

}  // namespace

PlacementPlanner::PlacementPlanner(std::unique_ptr<PlacementPolicy> policy,
                                   PlacementLimits limits)
    : policy(std::move(policy)), limits(limits) {}

PlacementDecision PlacementPlanner::Decide(const PlacementInput& input,
                                           TimePoint now) {
  const Assignments current = CurrentAssignments(input);
  PlacementDecision decision;
  decision.plan_changed = this->UpdatePlan(input, current, now);
  this->RefillStoreBudget(now);
  decision.orders = this->ScheduleOrders(input, current, now);
  return decision;
}

bool PlacementPlanner::UpdatePlan(const PlacementInput& input,
                                  const Assignments& current, TimePoint now) {
  const Assignments& active = this->activated_at ? this->active_plan : current;
  auto candidate = ReduceLayerMoves(input, active, this->policy->Assign(input));
  const double served = ServedTokensPerSecond(input, active);
  const double gain = ServedTokensPerSecond(input, candidate) - served;
  const double cost = this->TransitionCost(input, active, candidate);
  const double expected_gain = gain * Seconds(this->limits.horizon).count();
  if (gain <= this->limits.min_gain * served || expected_gain <= cost) {
    this->better_since.reset();
    if (!this->activated_at && !current.empty()) {
      // A daemon that takes over keeps the current assignments as its plan.
      this->active_plan = current;
      this->activated_at = now;
    }
    return false;
  }
  this->better_since = this->better_since.value_or(now);
  const bool broken_down = served < kBrokenDownFraction * (served + gain);
  const bool min_lifetime_elapsed =
      !this->activated_at ||
      now - *this->activated_at >= this->limits.min_plan_lifetime;
  const bool gain_persists =
      active.empty() ||
      now - *this->better_since >= this->limits.min_gain_duration;
  if (!gain_persists || !(min_lifetime_elapsed || broken_down)) {
    return false;
  }
  this->active_plan = std::move(candidate);
  this->activated_at = now;
  this->better_since.reset();
  return true;
}

double PlacementPlanner::TransitionCost(const PlacementInput& input,
                                        const Assignments& current,
                                        const Assignments& candidate) const {
  double cost = 0;
  for (const auto& wanted : candidate) {
    const auto* held = FindAssignment(current, wanted.engine);
    if (held == nullptr) {
      continue;
    }
    const double bytes = LoadBytes(input, held, wanted);
    const Seconds load_time{bytes / this->limits.store_bytes_per_second};
    const auto engine = std::find_if(
        input.engines.begin(), input.engines.end(),
        [&](const auto& item) { return item.name == wanted.engine; });
    const auto kind = std::find_if(
        input.kinds.begin(), input.kinds.end(),
        [&](const auto& item) { return item.name == engine->kind; });
    const auto model = std::find_if(
        input.models.begin(), input.models.end(),
        [&](const auto& item) { return item.name == wanted.model; });
    cost += kind->layer_tokens_per_second / model->layers * load_time.count();
  }
  return cost;
}

void PlacementPlanner::RefillStoreBudget(TimePoint now) {
  const Seconds elapsed = now - this->refilled_at;
  this->refilled_at = now;
  this->store_budget_bytes =
      std::min(this->store_budget_bytes +
                   elapsed.count() * this->limits.store_bytes_per_second,
               0.0);
}

Assignments PlacementPlanner::ScheduleOrders(const PlacementInput& input,
                                             const Assignments& current,
                                             TimePoint now) {
  std::erase_if(this->loading, [&](const auto& item) {
    const auto* held = FindAssignment(current, item.first);
    return item.second.deadline < now ||
           (held != nullptr && *held == item.second.assignment);
  });
  Assignments serving = current;
  for (const auto& [engine, order] : this->loading) {
    serving = Without(std::move(serving), engine);
  }
  std::vector<const LayerAssignment*> waiting;
  for (const auto& wanted : this->active_plan) {
    const auto engine = std::find_if(
        input.engines.begin(), input.engines.end(),
        [&](const auto& item) { return item.name == wanted.engine; });
    const auto* held = FindAssignment(current, wanted.engine);
    const bool routable = engine != input.engines.end() && engine->IsRoutable();
    if (routable && !(held != nullptr && *held == wanted) &&
        !this->loading.contains(wanted.engine)) {
      waiting.push_back(&wanted);
    }
  }
  // Engines that serve nothing are moved first.
  std::stable_partition(waiting.begin(), waiting.end(), [&](const auto* item) {
    return FindAssignment(serving, item->engine) == nullptr;
  });
  Assignments orders;
  const double served = ServedTokensPerSecond(input, serving);
  for (const auto* wanted : waiting) {
    if (this->store_budget_bytes < 0) {
      break;
    }
    const auto rest = Without(serving, wanted->engine);
    const bool keeps_serving =
        ServedTokensPerSecond(input, rest) >= kMinServedWhileMoving * served;
    // The last move is ordered all the same if no load is in progress: nothing
    // is left that could raise the capacity of the remaining engines.
    if (!keeps_serving &&
        !(this->loading.empty() && wanted == waiting.back())) {
      continue;
    }
    const double bytes =
        LoadBytes(input, FindAssignment(current, wanted->engine), *wanted);
    this->store_budget_bytes -= bytes;
    const Seconds timeout =
        kMinLoadTimeout +
        kLoadTimeoutFactor *
            Seconds(bytes / this->limits.store_bytes_per_second);
    this->loading[wanted->engine] = {
        *wanted, now + std::chrono::duration_cast<Duration>(timeout)};
    orders.push_back(*wanted);
    serving = rest;
  }
  return orders;
}

}  // namespace qp::policy
