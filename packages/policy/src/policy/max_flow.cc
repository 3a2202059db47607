#include "policy/max_flow.h"

#include <algorithm>
#include <limits>

namespace qp::policy {

namespace {

constexpr std::size_t kUnreachable = std::numeric_limits<std::size_t>::max();

}  // namespace

MaxFlow::Node MaxFlow::AddNode() {
  this->outgoing.emplace_back();
  return this->outgoing.size() - 1;
}

MaxFlow::Edge MaxFlow::AddEdge(Node from, Node to, std::int64_t capacity) {
  this->outgoing[from].push_back(this->arcs.size());
  this->arcs.push_back({to, 0});
  this->outgoing[to].push_back(this->arcs.size());
  this->arcs.push_back({from, 0});
  this->capacities.push_back(capacity);
  return this->capacities.size() - 1;
}

void MaxFlow::SetCapacity(Edge edge, std::int64_t capacity) {
  this->capacities[edge] = capacity;
}

std::int64_t MaxFlow::Solve(Node source, Node sink) {
  for (Edge edge = 0; edge < this->capacities.size(); ++edge) {
    this->arcs[2 * edge].residual = this->capacities[edge];
    this->arcs[2 * edge + 1].residual = 0;
  }
  if (source == sink) {
    return 0;
  }
  std::int64_t total = 0;
  while (this->BuildLevels(source, sink)) {
    this->next_arc.assign(this->outgoing.size(), 0);
    while (const auto flow = this->Augment(
               source, sink, std::numeric_limits<std::int64_t>::max())) {
      total += flow;
    }
  }
  return total;
}

std::int64_t MaxFlow::FlowOn(Edge edge) const {
  return this->arcs[2 * edge + 1].residual;
}

bool MaxFlow::BuildLevels(Node source, Node sink) {
  this->levels.assign(this->outgoing.size(), kUnreachable);
  this->levels[source] = 0;
  std::vector<Node> queue{source};
  for (std::size_t i = 0; i < queue.size(); ++i) {
    for (const auto index : this->outgoing[queue[i]]) {
      const Arc& arc = this->arcs[index];
      if (arc.residual > 0 && this->levels[arc.to] == kUnreachable) {
        this->levels[arc.to] = this->levels[queue[i]] + 1;
        queue.push_back(arc.to);
      }
    }
  }
  return this->levels[sink] != kUnreachable;
}

std::int64_t MaxFlow::Augment(Node node, Node sink, std::int64_t limit) {
  if (node == sink) {
    return limit;
  }
  for (auto& next = this->next_arc[node]; next < this->outgoing[node].size();
       ++next) {
    const std::size_t index = this->outgoing[node][next];
    const Arc arc = this->arcs[index];
    if (arc.residual <= 0 || this->levels[arc.to] != this->levels[node] + 1) {
      continue;
    }
    const auto flow =
        this->Augment(arc.to, sink, std::min(limit, arc.residual));
    if (flow > 0) {
      this->arcs[index].residual -= flow;
      this->arcs[index ^ 1].residual += flow;
      return flow;
    }
  }
  return 0;
}

}  // namespace qp::policy
