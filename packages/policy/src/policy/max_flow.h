#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace qp::policy {

/// Exact maximum flow in a directed graph with integer capacities, by level
/// graphs and blocking flows (Dinic 1970).
class MaxFlow {
 public:
  using Node = std::size_t;
  using Edge = std::size_t;

  explicit MaxFlow(std::size_t nodes) : outgoing(nodes) {}

  Node AddNode();
  /// `capacity` is at least 0. The edge keeps its number for FlowOn.
  Edge AddEdge(Node from, Node to, std::int64_t capacity);

  /// Replaces a capacity; the next Solve starts from zero flow.
  void SetCapacity(Edge edge, std::int64_t capacity);

  std::int64_t Solve(Node source, Node sink);

  /// Flow on an edge after Solve.
  std::int64_t FlowOn(Edge edge) const;

 private:
  struct Arc {
    Node to = 0;
    std::int64_t residual = 0;
  };

  bool BuildLevels(Node source, Node sink);
  std::int64_t Augment(Node node, Node sink, std::int64_t limit);

  /// Arc 2n is edge n, arc 2n + 1 its reverse.
  std::vector<Arc> arcs;
  std::vector<std::int64_t> capacities;
  std::vector<std::vector<std::size_t>> outgoing;
  std::vector<std::size_t> levels;
  std::vector<std::size_t> next_arc;
};

}  // namespace qp::policy
