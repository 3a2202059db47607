#pragma once

#include <compare>
#include <cstdint>

#include "foundation/clock.h"

namespace qp {

/// Stamp that never orders an effect before its cause.
struct HybridTime {
  WallMillis millis = 0;
  std::uint32_t counter = 0;

  auto operator<=>(const HybridTime&) const = default;
};

/// Hybrid logical clock: wall time where possible, a counter where the wall
/// clock stands still or runs behind a stamp that was received. Source:
/// Kulkarni et al., Logical Physical Clocks, 2014.
class HybridClock {
 public:
  /// Stamp for a local event at wall time `now`.
  HybridTime Tick(WallMillis now);

  /// Takes in the stamp of a received message; later local stamps are greater.
  void Observe(HybridTime received, WallMillis now);

 private:
  HybridTime last;
};

}  // namespace qp
