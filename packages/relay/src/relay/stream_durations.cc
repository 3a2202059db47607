#include "relay/stream_durations.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace qp::relay {

namespace {

/// Weights of the newest duration in the mean and in the mean deviation.
constexpr double kMeanWeight = 1.0 / 8;
constexpr double kDeviationWeight = 1.0 / 4;
constexpr double kDeviations = 2;

using Seconds = std::chrono::duration<double>;

}  // namespace

void StreamDurations::Record(std::string_view service, double tokens,
                             Duration duration) {
  if (!(tokens > 0)) {
    return;
  }
  const double sample = Seconds(duration).count() / tokens;
  const auto [found, is_first] =
      this->averages.try_emplace(std::string(service));
  Average& average = found->second;
  if (is_first) {
    average = {sample, sample / 2};
    return;
  }
  const double error = sample - average.mean;
  average.mean += kMeanWeight * error;
  average.deviation += kDeviationWeight * (std::abs(error) - average.deviation);
}

std::optional<Duration> StreamDurations::Estimate(std::string_view service,
                                                  double tokens) const {
  const auto found = this->averages.find(service);
  if (found == this->averages.end() || !(tokens > 0)) {
    return std::nullopt;
  }
  const Average& average = found->second;
  const Seconds estimate(tokens *
                         (average.mean + kDeviations * average.deviation));
  return std::chrono::duration_cast<Duration>(
      std::min(estimate, Seconds(kMaxEstimate)));
}

}  // namespace qp::relay
