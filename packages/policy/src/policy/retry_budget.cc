#include "policy/retry_budget.h"

#include <algorithm>

namespace qp::policy {

void RetryBudget::OnFirstTry() {
  this->balance = std::min(this->balance + kRetriesPerFirstTry, kReserve);
}

bool RetryBudget::TryTake() {
  // Ten additions of 0.1 sum to slightly less than 1.
  constexpr double kRounding = 1e-9;
  if (this->balance + kRounding < 1) {
    return false;
  }
  this->balance -= 1;
  return true;
}

}  // namespace qp::policy
