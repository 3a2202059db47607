#pragma once

#include <cstdint>
#include <string>

namespace qp {

/// Who and where a daemon is.
struct NodeIdentity {
  std::string node;
  std::string peer_address;  ///< "IP:port".
  std::string region;
  std::string availability_zone;
  std::uint64_t incarnation = 0;  ///< Grows with each start of the node.

  bool operator==(const NodeIdentity&) const = default;
};

/// An entry VM that may run a daemon.
struct Contact {
  std::string node;
  std::string peer_address;
};

}  // namespace qp
