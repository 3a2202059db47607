#pragma once

#include "foundation/clock.h"

namespace qp::policy {

/// Limits retries to a fraction of requests, so that a partial outage does not
/// cause a retry storm. A small reserve allows retries at low traffic.
class RetryBudget {
 public:
  static constexpr double kRetriesPerRequest = 0.1;
  /// Initial and maximum balance, in retries.
  static constexpr double kReserve = 10;

  /// Adds kRetriesPerRequest to the budget. Called once per request, before its
  /// first attempt, and not for retries.
  void RecordRequest();
  /// Acquires one retry from the budget; false if none is left.
  bool TryAcquire();

 private:
  double balance = kReserve;  ///< Retries left.
};

}  // namespace qp::policy
