#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace qp::policy {

/// Computes the exact maximum flow in a directed graph with integer capacities
/// by level graphs and blocking flows (Dinic 1970).
class MaxFlow {
 public:
  using Node = std::size_t;
  using Edge = std::size_t;

  explicit MaxFlow(std::size_t nodes) : outgoing(nodes) {}

  Node AddNode();
  /// `capacity` must not be negative. Edges are numbered from 0 in the order in
  /// which they are added.
  Edge AddEdge(Node from, Node to, std::int64_t capacity);

  /// Replaces a capacity. It takes effect with the next Solve.
  void SetCapacity(Edge edge, std::int64_t capacity);

  /// Computes a maximum flow, starting from zero flow, and returns its value.
  std::int64_t Solve(Node source, Node sink);

  /// Flow on an edge in the result of the last Solve.
  std::int64_t FlowOn(Edge edge) const;

 private:
  /// One direction of an edge in the residual graph.
  struct Arc {
    Node to = 0;
    std::int64_t residual = 0;
  };

  /// Computes the distance of each node from the source in the residual graph.
  /// Returns whether the sink can be reached.
  bool BuildLevels(Node source, Node sink);
  /// Sends up to `limit` along one path of the level graph and returns how much
  /// was sent; 0 if the graph has no such path left.
  std::int64_t Augment(Node node, Node sink, std::int64_t limit);

  /// Arc 2n is edge n, arc 2n + 1 is its reverse.
  std::vector<Arc> arcs;
  std::vector<std::int64_t> capacities;            ///< By edge.
  std::vector<std::vector<std::size_t>> outgoing;  ///< Arcs, by node.
  std::vector<std::size_t> levels;                 ///< By node.
  /// By node: the first outgoing arc that is not exhausted.
  std::vector<std::size_t> next_arc;
};

}  // namespace qp::policy
