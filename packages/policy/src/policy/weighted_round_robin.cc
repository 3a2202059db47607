#include "policy/weighted_round_robin.h"

#include <algorithm>
#include <numeric>

namespace qp::policy {

std::vector<double> SharesOfArrivals(std::span<const double> streams,
                                     std::span<const double> capacities,
                                     double arrivals) {
  const std::size_t size = streams.size();
  std::vector<std::size_t> by_load(size);
  std::iota(by_load.begin(), by_load.end(), 0);
  const auto load = [&](std::size_t i) { return streams[i] / capacities[i]; };
  std::sort(by_load.begin(), by_load.end(),
            [&](auto left, auto right) { return load(left) < load(right); });

  // Raises the least loaded servers to a common level of streams per unit of
  // capacity.
  double level = 0;
  double filled_streams = 0;
  double filled_capacity = 0;
  for (std::size_t i = 0; i < size; ++i) {
    if (i > 0 && load(by_load[i]) >= level) {
      break;
    }
    filled_streams += streams[by_load[i]];
    filled_capacity += capacities[by_load[i]];
    level = (filled_streams + arrivals) / filled_capacity;
  }
  std::vector<double> shares(size);
  for (std::size_t i = 0; i < size; ++i) {
    shares[i] = std::max(level * capacities[i] - streams[i], 0.0) / arrivals;
  }
  return shares;
}

WeightedRoundRobin::WeightedRoundRobin(std::size_t size,
                                       std::mt19937_64& generator) {
  std::uniform_real_distribution<double> credit(0, 1);
  for (std::size_t i = 0; i < size; ++i) {
    this->credits.push_back(credit(generator));
  }
}

std::size_t WeightedRoundRobin::Next(std::span<const double> shares) const {
  std::size_t best = 0;
  for (std::size_t i = 1; i < shares.size(); ++i) {
    if (this->credits[i] + shares[i] > this->credits[best] + shares[best]) {
      best = i;
    }
  }
  return best;
}

void WeightedRoundRobin::Commit(std::span<const double> shares,
                                std::size_t chosen) {
  for (std::size_t i = 0; i < shares.size(); ++i) {
    this->credits[i] += shares[i];
  }
  this->credits[chosen] -= 1;
}

}  // namespace qp::policy
