#pragma once

#include <cstdint>
#include <string>

namespace qp {

/// Name, address and location of a daemon.
struct NodeIdentity {
  std::string node;
  std::string peer_address;  ///< "IP:port".
  std::string region;
  std::string availability_zone;
  std::uint64_t incarnation = 0;  ///< Higher with each start of the node.

  bool operator==(const NodeIdentity&) const = default;
};

/// An entry VM, on which a daemon possibly runs.
struct Contact {
  std::string node;
  std::string peer_address;
};

}  // namespace qp
