#include "policy/retry_budget.h"

#include <catch2/catch.hpp>

// Guards against retries that multiply the load during a partial outage.
TEST_CASE("Retries beyond the reserve stay within a tenth of the requests",
          "[retry]") {
  qp::policy::RetryBudget budget;
  int retries = 0;
  constexpr int kRequests = 10000;
  for (int i = 0; i < kRequests; ++i) {
    budget.RecordRequest();
    while (budget.TryAcquire()) {
      ++retries;
    }
  }
  CHECK(retries <= kRequests / 10 + 10);
  // A budget that is never refilled passes the check above and fails this one.
  CHECK(retries >= kRequests / 10);
}

TEST_CASE(
    "A period without retries adds no more than the reserve to the budget",
    "[retry]") {
  qp::policy::RetryBudget budget;
  for (int i = 0; i < 100000; ++i) {
    budget.RecordRequest();
  }
  int retries = 0;
  while (budget.TryAcquire()) {
    ++retries;
  }
  CHECK(retries == 10);
}
