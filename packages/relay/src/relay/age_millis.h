#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "foundation/clock.h"

namespace qp::relay {

/// Returns the time since `since` in milliseconds, at most one hour.
inline std::uint32_t AgeMillis(TimePoint now, TimePoint since) {
  const Duration age = std::min<Duration>(now - since, std::chrono::hours(1));
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
}

}  // namespace qp::relay
