#include "relay/comparison_schedule.h"

#include <algorithm>
#include <chrono>

namespace qp::relay {

namespace {

Duration ShareOf(Duration bound, double share) {
  return std::chrono::duration_cast<Duration>(bound * share);
}

}  // namespace

TimePoint ComparisonSchedule::ComparisonDue(double jitter) const {
  return this->last_verified_at +
         ShareOf(this->bound, this->age_share + kJitterShare * jitter);
}

Duration ComparisonSchedule::RetryInterval() const {
  return ShareOf(this->bound, kRetryShare);
}

void ComparisonSchedule::RecordVerified(TimePoint as_of) {
  this->has_verified = true;
  this->last_verified_at = std::max(this->last_verified_at, as_of);
}

}  // namespace qp::relay
