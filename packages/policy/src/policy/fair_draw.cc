#include "policy/fair_draw.h"

#include <algorithm>
#include <numeric>

namespace qp::policy {

std::vector<double> SharesOfArrivals(std::span<const double> streams,
                                     std::span<const double> capacities,
                                     double arrivals) {
  const std::size_t size = streams.size();
  std::vector<std::size_t> order(size);
  std::iota(order.begin(), order.end(), 0);
  const auto load = [&](std::size_t i) { return streams[i] / capacities[i]; };
  std::sort(order.begin(), order.end(),
            [&](auto left, auto right) { return load(left) < load(right); });

  // Fills the least loaded up to a common level of streams per capacity.
  double level = 0;
  double filled_streams = 0;
  double filled_capacity = 0;
  for (std::size_t i = 0; i < size; ++i) {
    if (i > 0 && load(order[i]) >= level) {
      break;
    }
    filled_streams += streams[order[i]];
    filled_capacity += capacities[order[i]];
    level = (filled_streams + arrivals) / filled_capacity;
  }
  std::vector<double> shares(size);
  for (std::size_t i = 0; i < size; ++i) {
    shares[i] = std::max(level * capacities[i] - streams[i], 0.0) / arrivals;
  }
  return shares;
}

FairDraw::FairDraw(std::size_t size, std::mt19937_64& generator) {
  std::uniform_real_distribution<double> start(0, 1);
  for (std::size_t i = 0; i < size; ++i) {
    this->credits.push_back(start(generator));
  }
}

std::size_t FairDraw::Next(std::span<const double> shares) const {
  std::size_t best = 0;
  for (std::size_t i = 1; i < shares.size(); ++i) {
    if (this->credits[i] + shares[i] > this->credits[best] + shares[best]) {
      best = i;
    }
  }
  return best;
}

void FairDraw::Commit(std::span<const double> shares, std::size_t picked) {
  for (std::size_t i = 0; i < shares.size(); ++i) {
    this->credits[i] += shares[i];
  }
  this->credits[picked] -= 1;
}

}  // namespace qp::policy
