#pragma once

#include <cstddef>

namespace qp::detail {

// Bytes that a standard container adds to each element on a 64-bit machine:
// links, colour or cached hash, and the allocator's header.
inline constexpr std::size_t kHashNodeBytes = 32;
inline constexpr std::size_t kTreeNodeBytes = 48;

}  // namespace qp::detail
