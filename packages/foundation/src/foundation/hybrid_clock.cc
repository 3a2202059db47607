#include "foundation/hybrid_clock.h"

#include <algorithm>

namespace qp {

HybridTime HybridClock::Tick(WallMillis now) {
  if (now > this->last.millis) {
    this->last = {now, 0};
  } else {
    ++this->last.counter;
  }
  return this->last;
}

void HybridClock::Observe(HybridTime received, WallMillis now) {
  this->last = std::max(this->last, received);
  if (now > this->last.millis) {
    this->last = {now, 0};
  }
}

}  // namespace qp
