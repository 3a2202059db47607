#pragma once

#include <compare>
#include <cstdint>

#include "foundation/clock.h"

namespace qp {

/// Timestamp in an order in which an effect never precedes its cause.
struct HybridTime {
  WallMillis millis = 0;
  std::uint32_t counter = 0;  ///< Orders timestamps of the same millisecond.

  auto operator<=>(const HybridTime&) const = default;
};

/// Hybrid logical clock: follows the wall clock, and increments a counter while
/// the wall clock does not advance or is behind a received timestamp. Source:
/// Kulkarni et al., Logical Physical Clocks, 2014.
class HybridClock {
 public:
  /// Returns the timestamp of a local event at wall time `now`.
  HybridTime Tick(WallMillis now);

  /// Applies the timestamp of a received message: later Tick results exceed it.
  void Observe(HybridTime received, WallMillis now);

 private:
  HybridTime last;
};

}  // namespace qp
