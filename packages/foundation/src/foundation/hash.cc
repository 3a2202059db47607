#include "foundation/hash.h"

#include <xxhash.h>

namespace qp {

std::uint64_t Hash64(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

}  // namespace qp
