#pragma once

#include <random>

#include "foundation/clock.h"

namespace qp {

/// Time after which a refused caller may return: 1 s to 2 s, spread so that
/// callers refused together do not return together.
inline Duration JitteredRetryAfter(std::mt19937_64& random) {
  std::uniform_int_distribution<std::int64_t> millis(1000, 2000);
  return std::chrono::milliseconds(millis(random));
}

}  // namespace qp
