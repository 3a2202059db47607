#include "relay/hedging/answer_times.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace qp::relay {

void AnswerTimes::Record(Duration elapsed, TimePoint now) {
  this->Advance(now);
  ++this->steps[this->newest_step % kSteps][BucketOf(elapsed)];
}

std::optional<Duration> AnswerTimes::Quantile(double quantile, TimePoint now) {
  this->Advance(now);
  std::array<std::uint64_t, kBuckets> sums{};
  std::uint64_t total = 0;
  for (const Counts& step : this->steps) {
    for (std::size_t bucket = 0; bucket < kBuckets; ++bucket) {
      sums[bucket] += step[bucket];
      total += step[bucket];
    }
  }
  const auto count = static_cast<double>(total);
  // The tolerance keeps 1 - 0.95 from asking for one answer more.
  constexpr double kTolerance = 1e-9;
  if (count * (1 - quantile) + kTolerance < kMinTailCount) {
    return std::nullopt;
  }
  double below = 0;
  for (std::size_t bucket = 0; bucket + 1 < kBuckets; ++bucket) {
    below += static_cast<double>(sums[bucket]);
    if (below + kTolerance >= quantile * count) {
      return std::chrono::duration_cast<Duration>(
          kShortest * std::pow(kGrowth, static_cast<double>(bucket)));
    }
  }
  return std::nullopt;
}

std::size_t AnswerTimes::BucketOf(Duration elapsed) {
  if (elapsed <= kShortest) {
    return 0;
  }
  const double ratio = std::chrono::duration<double>(elapsed) / kShortest;
  const double bucket = std::ceil(std::log(ratio) / std::log(kGrowth));
  return static_cast<std::size_t>(
      std::min(bucket, static_cast<double>(kBuckets - 1)));
}

void AnswerTimes::Advance(TimePoint now) {
  const std::int64_t step = now.time_since_epoch() / (kWindow / kSteps);
  const auto elapsed_steps = std::min<std::int64_t>(
      step - this->newest_step, static_cast<std::int64_t>(kSteps));
  for (std::int64_t offset = 0; offset < elapsed_steps; ++offset) {
    this->steps[(step - offset) % kSteps].fill(0);
  }
  this->newest_step = std::max(step, this->newest_step);
}

}  // namespace qp::relay
