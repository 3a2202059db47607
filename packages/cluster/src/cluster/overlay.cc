#include "cluster/overlay.h"

#include <algorithm>
#include <array>
#include <functional>
#include <set>
#include <utility>

#include "foundation/hash.h"

namespace qp {

namespace {

using RankedNode = std::pair<std::uint64_t, NameHash>;

std::uint64_t Rank(NameHash node, std::uint64_t salt) {
  const std::array<NameHash, 1> bytes = {node};
  return Hash64({reinterpret_cast<const char*>(bytes.data()), sizeof(bytes)},
                salt);
}

/// Adds the daemons before and after `self` on the ring of `nodes`.
void AddRingNeighbours(NameHash self, std::span<const OverlayNode> nodes,
                       std::uint64_t ring, std::set<NameHash>& neighbours) {
  std::vector<RankedNode> order;
  order.reserve(nodes.size());
  for (const OverlayNode& node : nodes) {
    order.emplace_back(Rank(node.node, ring), node.node);
  }
  std::sort(order.begin(), order.end());
  const auto at =
      std::find(order.begin(), order.end(), RankedNode(Rank(self, ring), self));
  const auto index = static_cast<std::size_t>(at - order.begin());
  const std::size_t count = order.size();
  neighbours.insert(order[(index + 1) % count].second);
  neighbours.insert(order[(index + count - 1) % count].second);
}

/// Returns the daemons in `zone` if `inside` is true, otherwise all others.
std::vector<OverlayNode> FilterByZone(std::span<const OverlayNode> nodes,
                                      NameHash zone, bool inside) {
  std::vector<OverlayNode> selected;
  for (const OverlayNode& node : nodes) {
    if ((node.availability_zone == zone) == inside) {
      selected.push_back(node);
    }
  }
  return selected;
}

void EnsureRemoteNeighbours(NameHash self, std::span<const OverlayNode> remote,
                            std::set<NameHash>& neighbours) {
  std::vector<NameHash> candidates;
  std::size_t present = 0;
  for (const OverlayNode& node : remote) {
    if (neighbours.contains(node.node)) {
      ++present;
    } else {
      candidates.push_back(node.node);
    }
  }
  if (present < kMinRemoteZoneNeighbours) {
    const auto added = ChooseByRendezvous(self, candidates,
                                          kMinRemoteZoneNeighbours - present);
    neighbours.insert(added.begin(), added.end());
  }
}

// Salts of the hashes that order the rings.
constexpr std::uint64_t kZoneRing = 1;
constexpr std::uint64_t kFirstGlobalRing = 2;
constexpr std::uint64_t kSecondGlobalRing = 3;

}  // namespace

std::vector<NameHash> ChooseNeighbours(NameHash self,
                                       std::span<const OverlayNode> nodes) {
  std::set<NameHash> neighbours;
  if (nodes.size() <= kMaxFullMeshNodes) {
    for (const OverlayNode& node : nodes) {
      neighbours.insert(node.node);
    }
  } else {
    const auto own = std::find_if(
        nodes.begin(), nodes.end(),
        [self](const OverlayNode& node) { return node.node == self; });
    const NameHash zone = own->availability_zone;
    AddRingNeighbours(self, FilterByZone(nodes, zone, true), kZoneRing,
                      neighbours);
    AddRingNeighbours(self, nodes, kFirstGlobalRing, neighbours);
    AddRingNeighbours(self, nodes, kSecondGlobalRing, neighbours);
    EnsureRemoteNeighbours(self, FilterByZone(nodes, zone, false), neighbours);
  }
  neighbours.erase(self);
  return {neighbours.begin(), neighbours.end()};
}

std::vector<NameHash> ChooseByRendezvous(NameHash key,
                                         std::span<const NameHash> nodes,
                                         std::size_t count) {
  std::vector<RankedNode> ranked;
  ranked.reserve(nodes.size());
  for (const NameHash node : nodes) {
    ranked.emplace_back(Rank(node, key), node);
  }
  const std::size_t chosen = std::min(count, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<std::ptrdiff_t>(chosen),
                    ranked.end(), std::greater<>());
  std::vector<NameHash> result;
  result.reserve(chosen);
  for (std::size_t index = 0; index < chosen; ++index) {
    result.push_back(ranked[index].second);
  }
  return result;
}

}  // namespace qp
