#include "relay/hedging/hedge_policy.h"

#include <algorithm>
#include <numeric>

namespace qp::relay {

std::string_view ToString(HedgeDecision decision) {
  switch (decision) {
    case HedgeDecision::kSend:
      return "sent";
    case HedgeDecision::kNotRepeatable:
      return "not_repeatable";
    case HedgeDecision::kNoTriesLeft:
      return "no_tries_left";
    case HedgeDecision::kNoRoom:
      return "held_by_load";
    case HedgeDecision::kOverShare:
      return "held_by_limit";
    case HedgeDecision::kNoRetryBudget:
      return "held_by_retry_budget";
  }
  return "unknown";
}

void HedgePolicy::RecordRequest(std::string_view service, TimePoint now) {
  if (this->enabled()) {
    ServiceState& state = this->Advance(service, now);
    ++state.requests[state.step % kSteps];
  }
}

void HedgePolicy::RecordAnswer(std::string_view service, Duration elapsed,
                               TimePoint now) {
  if (this->enabled()) {
    this->Advance(service, now).times.Record(elapsed, now);
  }
}

std::optional<Duration> HedgePolicy::Delay(std::string_view service,
                                           TimePoint now) {
  if (!this->enabled()) {
    return std::nullopt;
  }
  return this->Advance(service, now)
      .times.Quantile(this->settings.quantile, now);
}

HedgeDecision HedgePolicy::Decide(const HedgeQuery& query, RetryBudget& retries,
                                  TimePoint now) {
  if (!IsHedgeable(query.retry_policy, query.streaming)) {
    return HedgeDecision::kNotRepeatable;
  }
  if (query.tries_run >= query.max_attempts) {
    return HedgeDecision::kNoTriesLeft;
  }
  if (!query.has_server ||
      query.room.busy + 1 > kMaxBusyShare * query.room.places) {
    return HedgeDecision::kNoRoom;
  }
  ServiceState& state = this->Advance(query.service, now);
  const auto sum = [](const auto& counts) {
    return static_cast<double>(
        std::accumulate(counts.begin(), counts.end(), std::uint64_t{0}));
  };
  if (!this->enabled() ||
      sum(state.hedges) + 1 > this->settings.max_share * sum(state.requests)) {
    return HedgeDecision::kOverShare;
  }
  if (!retries.TryAcquire(query.service, now, kReservedRetries)) {
    return HedgeDecision::kNoRetryBudget;
  }
  ++state.hedges[state.step % kSteps];
  return HedgeDecision::kSend;
}

HedgePolicy::ServiceState& HedgePolicy::Advance(std::string_view service,
                                                TimePoint now) {
  const std::int64_t step =
      now.time_since_epoch() / (AnswerTimes::kWindow / kSteps);
  auto found = this->services.find(service);
  if (found == this->services.end()) {
    // Forgets services that the configuration no longer has.
    std::erase_if(this->services, [step](const auto& entry) {
      return entry.second.step + static_cast<std::int64_t>(kSteps) <= step;
    });
    found = this->services.try_emplace(std::string(service)).first;
  }
  ServiceState& state = found->second;
  const auto elapsed_steps = std::min<std::int64_t>(
      step - state.step, static_cast<std::int64_t>(kSteps));
  for (std::int64_t offset = 0; offset < elapsed_steps; ++offset) {
    state.requests[(step - offset) % kSteps] = 0;
    state.hedges[(step - offset) % kSteps] = 0;
  }
  state.step = std::max(step, state.step);
  return state;
}

}  // namespace qp::relay
