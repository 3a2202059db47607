#pragma once

#include <cstdint>
#include <string_view>

namespace qp {

/// 64-bit XXH3 hash, the same on all machines. Not cryptographic.
std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed = 0);

}  // namespace qp
