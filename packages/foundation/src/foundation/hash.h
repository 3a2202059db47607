#pragma once

#include <cstdint>
#include <string_view>

namespace qp {

/// XXH3, 64 bits. Not for secrets; equal on all machines.
std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed = 0);

}  // namespace qp
