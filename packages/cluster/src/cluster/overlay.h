#pragma once

#include <span>
#include <vector>

#include "cluster/messages.h"

namespace qp {

/// A daemon as the overlay sees it.
struct OverlayNode {
  NameHash node = 0;
  NameHash availability_zone = 0;
};

inline constexpr std::size_t kMaxFullMeshNodes = 9;
inline constexpr std::size_t kRingNeighbours = 6;
inline constexpr std::size_t kMinRemoteZoneNeighbours = 2;

/// Neighbours of `self` among `nodes`, which contains `self`. All others up to
/// kMaxFullMeshNodes; beyond, the union of one ring through the daemons of the
/// availability zone and two rings through all daemons, each ordered by
/// hashing. Daemons with the same view agree on who is whose neighbour. A
/// daemon whose rings lead to fewer than kMinRemoteZoneNeighbours daemons of
/// other availability zones adds the highest-hashed ones; only these links
/// can be one-sided. Ordered by hash. Unions of random rings: Law and Siu,
/// Distributed Construction of Random Expander Networks, 2003.
std::vector<NameHash> ChooseNeighbours(NameHash self,
                                       std::span<const OverlayNode> nodes);

/// The `count` daemons with the highest hash of daemon and `key` (rendezvous
/// hashing: Thaler and Ravishankar, 1998), highest first.
std::vector<NameHash> ChooseByRendezvous(NameHash key,
                                         std::span<const NameHash> nodes,
                                         std::size_t count);

}  // namespace qp
