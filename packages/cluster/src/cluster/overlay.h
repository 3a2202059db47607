#pragma once

#include <span>
#include <vector>

#include "cluster/messages.h"

namespace qp {

/// A daemon and its availability zone, by the hashes of their names.
struct OverlayNode {
  NameHash node = 0;
  NameHash availability_zone = 0;
};

/// Up to this many daemons, each is a neighbour of all others.
inline constexpr std::size_t kMaxFullMeshNodes = 9;
/// Maximum number of ring neighbours of a daemon: two on each of three rings.
inline constexpr std::size_t kRingNeighbours = 6;
/// Minimum number of neighbours in other availability zones.
inline constexpr std::size_t kMinRemoteZoneNeighbours = 2;

/// Returns the neighbours of `self` among `nodes`, which contains `self`,
/// ordered by hash. With up to kMaxFullMeshNodes daemons, these are all other
/// daemons. With more daemons, they are the neighbours on one ring through the
/// daemons of its availability zone and on two rings through all daemons, each
/// ordered by a different hash (union of random rings: Law and Siu, Distributed
/// Construction of Random Expander Networks, 2003). Neighbourhood on the rings
/// is mutual between daemons with the same view. A daemon that has fewer than
/// kMinRemoteZoneNeighbours neighbours in other availability zones adds daemons
/// there by rendezvous hashing; only these links can be one-sided.
std::vector<NameHash> ChooseNeighbours(NameHash self,
                                       std::span<const OverlayNode> nodes);

/// Returns the `count` daemons with the highest combined hash of daemon and
/// `key` (rendezvous hashing: Thaler and Ravishankar, 1998), highest first.
std::vector<NameHash> ChooseByRendezvous(NameHash key,
                                         std::span<const NameHash> nodes,
                                         std::size_t count);

}  // namespace qp
