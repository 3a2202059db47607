#include "admission/thresholds.h"

#include <algorithm>

namespace qp::admission {

Thresholds::Thresholds(const std::set<int>& priorities, const Room& room) {
  const double failure_reserve =
      room.capacity_tokens > 0
          ? std::min(kMaxFailureReserve,
                     room.largest_engine_tokens / room.capacity_tokens)
          : 0.0;
  const double step =
      priorities.size() < 2
          ? 0.0
          : std::min(kStep,
                     kMaxSpread / static_cast<double>(priorities.size() - 1));
  double threshold = kMaxUse;
  for (const int priority : priorities) {
    if (!this->by_priority.empty()) {
      const bool is_second = this->by_priority.size() == 1;
      threshold -= step + (is_second ? failure_reserve : 0.0);
    }
    this->by_priority[priority] = std::max(0.0, threshold);
  }
}

double Thresholds::For(int priority) const {
  if (this->by_priority.empty()) {
    return kMaxUse;
  }
  const auto found = this->by_priority.lower_bound(priority);
  return found == this->by_priority.end() ? this->by_priority.rbegin()->second
                                          : found->second;
}

double Thresholds::ForRetry(int priority) const {
  auto found = this->by_priority.lower_bound(priority);
  if (found == this->by_priority.end() || found == this->by_priority.begin()) {
    return this->For(priority);
  }
  return (--found)->second;
}

}  // namespace qp::admission
