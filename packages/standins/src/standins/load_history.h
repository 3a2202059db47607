#pragma once

#include <cstdint>
#include <deque>

#include "foundation/clock.h"

namespace qp::standins {

struct Load {
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
};

/// Load of a backend server, readable as it was some time ago, because real
/// servers report it with a lag.
class LoadHistory {
 public:
  void Set(TimePoint now, Load load);
  const Load& current() const { return this->latest; }
  Load At(TimePoint when) const;

 private:
  struct Change {
    TimePoint at;
    Load load;
  };

  Load latest;
  std::deque<Change> changes;
};

}  // namespace qp::standins
