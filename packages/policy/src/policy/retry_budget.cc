#include "policy/retry_budget.h"

#include <algorithm>

namespace qp::policy {

void RetryBudget::RecordRequest() {
  this->balance = std::min(this->balance + kRetriesPerRequest, kReserve);
}

bool RetryBudget::TryAcquire() {
  // The floating-point sum of ten times 0.1 is slightly less than 1.
  constexpr double kRounding = 1e-9;
  if (this->balance + kRounding < 1) {
    return false;
  }
  this->balance -= 1;
  return true;
}

}  // namespace qp::policy
