#include "cluster/overlay.h"

#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>
#include <string>

namespace qp {
namespace {

std::vector<OverlayNode> GenerateNodes() {
  const auto count = *rc::gen::inRange<std::size_t>(1, 120);
  const auto zones = *rc::gen::inRange<std::size_t>(1, 12);
  const auto seed = *rc::gen::inRange<std::size_t>(0, 100'000);
  std::vector<OverlayNode> nodes;
  for (std::size_t index = 0; index < count; ++index) {
    nodes.push_back(
        {HashName("vm-" + std::to_string(seed + index)),
         HashName("zone-" + std::to_string((index * index) % zones))});
  }
  return nodes;
}

// Guards against an overlay that is not connected, in which updates do not
// reach all daemons.
TEST_CASE("the overlay connects all daemons", "[cluster][overlay][property]") {
  rc::prop("starting at the first daemon", [] {
    const auto nodes = GenerateNodes();
    std::set<NameHash> reached = {nodes.front().node};
    std::vector<NameHash> frontier = {nodes.front().node};
    while (!frontier.empty()) {
      const NameHash at = frontier.back();
      frontier.pop_back();
      for (const NameHash next : ChooseNeighbours(at, nodes)) {
        if (reached.insert(next).second) {
          frontier.push_back(next);
        }
      }
    }
    RC_ASSERT(reached.size() == nodes.size());
  });
}

// Guards against daemons that are isolated when the links of their availability
// zone fail, and against more neighbours than the byte budget allows.
TEST_CASE("each daemon has few neighbours, some in other availability zones",
          "[cluster][overlay][property]") {
  rc::prop("for each daemon", [] {
    const auto nodes = GenerateNodes();
    std::map<NameHash, NameHash> zones;
    for (const OverlayNode& node : nodes) {
      zones[node.node] = node.availability_zone;
    }
    for (const OverlayNode& node : nodes) {
      const auto neighbours = ChooseNeighbours(node.node, nodes);
      const auto is_remote = [&](NameHash other) {
        return zones[other] != node.availability_zone;
      };
      const auto remote = static_cast<std::size_t>(
          std::count_if(neighbours.begin(), neighbours.end(), is_remote));
      const auto all_remote = static_cast<std::size_t>(std::count_if(
          nodes.begin(), nodes.end(),
          [&](const OverlayNode& other) { return is_remote(other.node); }));
      RC_ASSERT(remote >= std::min(all_remote, kMinRemoteZoneNeighbours));
      RC_ASSERT(neighbours.size() <= kMaxFullMeshNodes - 1);
      RC_ASSERT(std::count(neighbours.begin(), neighbours.end(), node.node) ==
                0);
    }
  });
}

}  // namespace
}  // namespace qp
