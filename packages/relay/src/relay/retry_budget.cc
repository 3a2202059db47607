#include "relay/retry_budget.h"

#include <algorithm>
#include <numeric>

namespace qp::relay {

void RetryBudget::RecordRequest(std::string_view service, TimePoint now) {
  Usage& used = this->Advance(service, now);
  used.requests[used.step % kSteps] += 1;
}

bool RetryBudget::TryAcquire(std::string_view service, TimePoint now,
                             double reserved) {
  Usage& used = this->Advance(service, now);
  const double requests =
      std::accumulate(used.requests.begin(), used.requests.end(), 0.0);
  const double retries =
      std::accumulate(used.retries.begin(), used.retries.end(), 0.0);
  const bool in_first_window = now - this->process_start < this->limits.window;
  const double limit =
      (in_first_window ? kInitialUsableFraction : kUsableFraction) *
      (this->limits.ratio * requests +
       this->limits.extra / static_cast<double>(this->process_count));
  if (retries + 1 + reserved > limit) {
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
  const auto elapsed_steps = std::min<std::int64_t>(step - used.step, kSteps);
  for (std::int64_t offset = 1; offset <= elapsed_steps; ++offset) {
    used.requests[(used.step + offset) % kSteps] = 0;
    used.retries[(used.step + offset) % kSteps] = 0;
  }
  used.step = std::max<std::int64_t>(step, used.step);
  return used;
}

}  // namespace qp::relay
