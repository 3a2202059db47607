#pragma once

#include <random>

#include "foundation/clock.h"

namespace qp {

/// Random delay of 1 s to 2 s before a refused caller retries. The jitter keeps
/// callers that were refused together from retrying together.
inline Duration JitteredRetryAfter(std::mt19937_64& random) {
  std::uniform_int_distribution<std::int64_t> millis(1000, 2000);
  return std::chrono::milliseconds(millis(random));
}

}  // namespace qp
