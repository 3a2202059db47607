#pragma once

#include <cstddef>

namespace qp::detail {

// Estimated overhead per element of a node-based standard container on a 64-bit
// machine, in bytes: links, the colour or the cached hash, and the allocator's
// header. kHashNodeBytes is for unordered containers, kTreeNodeBytes for
// ordered ones.
inline constexpr std::size_t kHashNodeBytes = 32;
inline constexpr std::size_t kTreeNodeBytes = 48;

}  // namespace qp::detail
