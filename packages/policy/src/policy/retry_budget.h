#pragma once

#include "foundation/clock.h"

namespace qp::policy {

/// Keeps retries below a fraction of first tries, so that a brown-out does
/// not become a storm. A small reserve allows retries at low traffic.
class RetryBudget {
 public:
  static constexpr double kRetriesPerRequest = 0.1;
  static constexpr double kReserve = 10;  // retries

  void RecordRequest();
  /// Takes one retry from the budget; false if none is left.
  bool TryAcquire();

 private:
  double balance = kReserve;
};

}  // namespace qp::policy
