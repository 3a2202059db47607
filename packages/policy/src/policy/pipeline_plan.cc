#include "policy/pipeline_plan.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>
#include <utility>

#include "policy/max_flow.h"

namespace qp::policy {

namespace {

/// Integer flow units per token per second. Rounding errors are below 0.1% at 1
/// token/s.
constexpr double kUnitsPerToken = 1000;
/// Capacity of an unlimited edge, in flow units. Sums of it must not overflow
/// std::int64_t.
constexpr double kMaxUnits = 1e15;
/// Number of bisection steps when the load of layer ranges is balanced. It is
/// small because each step computes one maximum flow on the thread that serves
/// requests.
constexpr int kBalancingSteps = 4;
/// Largest fraction of the inter-token latency target that the round trip of a
/// link may use. Slower links would leave too little time for engines and
/// queues, and streams would occupy their slots for longer than the engines are
/// planned for.
constexpr double kMaxLinkFraction = 0.5;

std::int64_t ToUnits(double tokens_per_second) {
  return std::max<std::int64_t>(
      std::llround(std::min(tokens_per_second * kUnitsPerToken, kMaxUnits)), 1);
}

std::vector<EngineGroup> GroupEngines(std::span<const Backend> backends,
                                      std::span<const std::size_t> usable,
                                      std::span<const AcceleratorKind> kinds) {
  using Key = std::tuple<std::uint32_t, std::uint32_t, std::string_view,
                         std::string_view, std::string_view>;
  std::map<Key, EngineGroup> groups;
  for (const auto index : usable) {
    const Backend& engine = backends[index];
    const Key key{engine.first_layer, engine.last_layer, engine.region,
                  engine.availability_zone, engine.kind};
    groups[key].members.push_back(index);
  }
  std::vector<EngineGroup> result;
  for (auto& [key, group] : groups) {
    std::tie(group.first_layer, group.last_layer, group.region,
             group.availability_zone, group.kind) = key;
    const std::string& name = group.kind;
    const auto kind = std::find_if(
        kinds.begin(), kinds.end(),
        [&name](const auto& candidate) { return candidate.name == name; });
    const bool known = kind != kinds.end() && kind->layer_tokens_per_second > 0;
    const double slots =
        std::max<std::uint32_t>(backends[group.members.front()].slots, 1);
    group.layer_tokens_per_second =
        known ? kind->layer_tokens_per_second : slots / kDefaultLayerSeconds;
    result.push_back(std::move(group));
  }
  return result;
}

/// Flow network of the groups. By symmetry, the members of a group can share
/// its flow equally, so the maximum flow of the groups equals that of the
/// single engines.
class GroupNetwork {
 public:
  GroupNetwork(std::span<const EngineGroup> groups, const PipelineQuery& query)
      : flow(2 + 2 * groups.size()), groups(groups) {
    for (std::size_t i = 0; i < groups.size(); ++i) {
      this->engine_edges.push_back(
          this->flow.AddEdge(In(i), Out(i), this->Capacity(i)));
      if (groups[i].first_layer == 0) {
        this->entry_edges.emplace_back(
            i, this->flow.AddEdge(kSource, In(i), ToUnits(kMaxUnits)));
      }
      if (groups[i].last_layer + 1 == query.model.layers) {
        this->flow.AddEdge(Out(i), kSink, ToUnits(kMaxUnits));
      } else {
        this->AddLinks(i, query);
      }
    }
  }

  std::int64_t Solve() { return this->flow.Solve(kSource, kSink); }

  /// Balances the load within each layer range: lowers the capacities of its
  /// groups in proportion to the flow through the range, as far as the maximum
  /// flow stays the same. Otherwise a range with spare capacity can have some
  /// engines at full load and others idle. `maximum` is the result of Solve.
  void BalanceRanges(std::int64_t maximum) {
    std::map<Range, double> flows;
    std::map<Range, double> capacities;
    for (std::size_t i = 0; i < this->groups.size(); ++i) {
      const Range range = RangeOf(this->groups[i]);
      flows[range] +=
          static_cast<double>(this->flow.FlowOn(this->engine_edges[i]));
      capacities[range] += static_cast<double>(this->Capacity(i));
    }
    const auto solve_at = [&](double spare_fraction) {
      for (std::size_t i = 0; i < this->groups.size(); ++i) {
        const Range range = RangeOf(this->groups[i]);
        const double utilization = flows[range] / capacities[range];
        this->ScaleCapacity(i,
                            utilization + spare_fraction * (1 - utilization));
      }
      return this->Solve();
    };
    if (solve_at(0) == maximum) {
      return;
    }
    double low = 0;
    double high = 1;
    for (int step = 0; step < kBalancingSteps; ++step) {
      const double middle = (low + high) / 2;
      (solve_at(middle) == maximum ? high : low) = middle;
    }
    solve_at(high);
  }

  /// Copies the flow of the last Solve to the hops of `plan`.
  void FillPlan(PipelinePlan& plan) const {
    for (const auto& [group, edge] : this->entry_edges) {
      AppendHop(plan.entries, group, this->flow.FlowOn(edge));
    }
    plan.next.resize(this->groups.size());
    for (const auto& [from, to, edge] : this->link_edges) {
      AppendHop(plan.next[from], to, this->flow.FlowOn(edge));
    }
  }

 private:
  static constexpr MaxFlow::Node kSource = 0;
  static constexpr MaxFlow::Node kSink = 1;
  static MaxFlow::Node In(std::size_t group) { return 2 + 2 * group; }
  static MaxFlow::Node Out(std::size_t group) { return 3 + 2 * group; }

  static void AppendHop(std::vector<GroupHop>& hops, std::size_t group,
                        std::int64_t units) {
    if (units > 0) {
      hops.push_back({group, static_cast<double>(units) / kUnitsPerToken});
    }
  }

  std::int64_t Capacity(std::size_t group) const {
    return ToUnits(this->groups[group].TokensPerSecond() *
                   static_cast<double>(this->groups[group].members.size()));
  }

  static bool IsTooSlow(const Link& link, const PipelineQuery& query) {
    return query.inter_token_latency > Duration::zero() &&
           2 * link.latency > kMaxLinkFraction * query.inter_token_latency;
  }

  void AddLinks(std::size_t from, const PipelineQuery& query) {
    const EngineGroup& sender = this->groups[from];
    for (std::size_t to = 0; to < this->groups.size(); ++to) {
      const EngineGroup& receiver = this->groups[to];
      const std::uint32_t layer = sender.last_layer + 1;
      if (receiver.first_layer > layer || receiver.last_layer < layer) {
        continue;
      }
      const Link link =
          query.links.Between(sender.location(), receiver.location());
      if (IsTooSlow(link, query)) {
        continue;
      }
      const double pairs = static_cast<double>(sender.members.size()) *
                           static_cast<double>(receiver.members.size());
      const double bytes = std::max<double>(query.model.activation_bytes, 1);
      this->link_edges.emplace_back(
          from, to,
          this->flow.AddEdge(Out(from), In(to),
                             ToUnits(pairs * link.bytes_per_second / bytes)));
    }
  }

  using Range = std::pair<std::uint32_t, std::uint32_t>;

  static Range RangeOf(const EngineGroup& group) {
    return {group.first_layer, group.last_layer};
  }

  void ScaleCapacity(std::size_t group, double factor) {
    const double units = factor * static_cast<double>(this->Capacity(group));
    this->flow.SetCapacity(this->engine_edges[group],
                           static_cast<std::int64_t>(std::ceil(units)));
  }

  MaxFlow flow;
  std::span<const EngineGroup> groups;
  std::vector<MaxFlow::Edge> engine_edges;
  std::vector<std::pair<std::size_t, MaxFlow::Edge>> entry_edges;
  std::vector<std::tuple<std::size_t, std::size_t, MaxFlow::Edge>> link_edges;
};

}  // namespace

namespace {

/// Returns the query without its latency target if that target excludes so many
/// links that no flow is possible.
PipelineQuery RelaxIfInfeasible(const PipelineQuery& query,
                                std::span<const EngineGroup> groups) {
  PipelineQuery relaxed = query;
  const bool limited = query.inter_token_latency > Duration::zero();
  if (limited && GroupNetwork(groups, query).Solve() == 0) {
    relaxed.inter_token_latency = Duration::zero();
  }
  return relaxed;
}

}  // namespace

PipelinePlan PlanPipeline(std::span<const Backend> backends,
                          std::span<const std::size_t> usable,
                          const PipelineQuery& query) {
  PipelinePlan plan;
  plan.groups = GroupEngines(backends, usable, query.kinds);
  GroupNetwork network(plan.groups, RelaxIfInfeasible(query, plan.groups));
  const std::int64_t maximum = network.Solve();
  network.BalanceRanges(maximum);
  network.FillPlan(plan);
  plan.tokens_per_second = static_cast<double>(maximum) / kUnitsPerToken;
  return plan;
}

double PipelineBound(std::span<const Backend> backends,
                     std::span<const std::size_t> usable,
                     const PipelineQuery& query) {
  const auto groups = GroupEngines(backends, usable, query.kinds);
  GroupNetwork network(groups, RelaxIfInfeasible(query, groups));
  return static_cast<double>(network.Solve()) / kUnitsPerToken;
}

}  // namespace qp::policy
