#include "relay/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace qp::relay {

void RetryBudget::RecordRequest(std::string_view service, TimePoint now) {
  Usage& used = this->Advance(service, now);
  used.requests[used.step % kSteps] += 1;
}

bool RetryBudget::TryAcquire(std::string_view service, TimePoint now) {
  Usage& used = this->Advance(service, now);
  const double requests =
      std::accumulate(used.requests.begin(), used.requests.end(), 0.0);
  const double retries =
      std::accumulate(used.retries.begin(), used.retries.end(), 0.0);
  const bool first = now - this->started < this->limits.window;
  const double bound =
      (first ? kFirstUse : kUse) *
      (this->limits.ratio * requests +
       this->limits.extra / static_cast<double>(this->processes));
  if (retries + 1 > bound) {
    return false;
  }
  used.retries[used.step % kSteps] += 1;
  return true;
}

RetryBudget::Usage& RetryBudget::Advance(std::string_view service,
                                         TimePoint now) {
  auto found = this->usage.find(service);
  if (found == this->usage.end()) {
    found = this->usage.emplace(std::string(service), Usage{}).first;
  }
  Usage& used = found->second;
  const auto step =
      now.time_since_epoch() / (this->limits.window / (kSteps - 1));
  const auto passed = std::min<std::int64_t>(step - used.step, kSteps);
  for (std::int64_t offset = 1; offset <= passed; ++offset) {
    used.requests[(used.step + offset) % kSteps] = 0;
    used.retries[(used.step + offset) % kSteps] = 0;
  }
  used.step = std::max<std::int64_t>(step, used.step);
  return used;
}

}  // namespace qp::relay
