#include "storage/store_era.h"

#include <utility>

namespace qp {

bool StoreEra::OnAnswer(std::optional<std::uint64_t> answer_era) {
  if (!answer_era || answer_era == this->newest) {
    return true;
  }
  if (this->newest && *answer_era < *this->newest) {
    return false;
  }
  const bool was_known = std::exchange(this->newest, answer_era).has_value();
  if (was_known) {
    for (RestoreListener* listener : this->listeners) {
      listener->OnStoreRestored(*answer_era);
    }
  }
  return true;
}

}  // namespace qp
