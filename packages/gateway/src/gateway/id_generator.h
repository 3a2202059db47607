#pragma once

#include <cstdint>
#include <random>
#include <string>

namespace qp {

/// Draws ids from a stated seed. Processes that must not draw the same ids
/// take different seeds.
class IdGenerator {
 public:
  explicit IdGenerator(std::uint64_t seed) : random(seed) {}

  /// 16 lower-case hex digits.
  std::string Next();

 private:
  std::mt19937_64 random;
};

}  // namespace qp
