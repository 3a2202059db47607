#include "relay/store_availability.h"

#include <algorithm>

namespace qp::relay {

void StoreAvailability::RecordAnswer(TimePoint as_of, TimePoint now) {
  this->last_answer_as_of = std::max(this->last_answer_as_of, as_of);
  if (this->unanswered_since && as_of > *this->unanswered_since) {
    this->RecordReturn(now);
  }
}

void StoreAvailability::RecordFailure(TimePoint began) {
  if (this->last_answer_as_of <= began) {
    this->unanswered_since =
        std::max(this->unanswered_since.value_or(began), began);
  }
}

void StoreAvailability::RecordReturn(TimePoint now) {
  this->unanswered_since.reset();
  this->returned_at = now;
}

std::optional<TimePoint> StoreAvailability::ReturnedAt(TimePoint now) const {
  return this->is_available() ? this->returned_at : std::optional(now);
}

}  // namespace qp::relay
