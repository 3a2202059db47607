#include "relay/gap_estimate.h"

#include <algorithm>

namespace qp::relay {

namespace {

// Weights of the newest gap, from RFC 6298.
constexpr int kMeanShare = 8;
constexpr int kDeviationShare = 4;
constexpr int kDeviations = 4;

}  // namespace

void GapEstimate::Note(Duration gap) {
  if (this->gaps++ == 0) {
    this->mean = gap;
    this->deviation = gap / 2;
    return;
  }
  const Duration error = gap - this->mean;
  this->mean += error / kMeanShare;
  this->deviation +=
      ((error < Duration{0} ? -error : error) - this->deviation) /
      kDeviationShare;
}

Duration GapEstimate::Bound() const {
  if (this->gaps < kNeeded) {
    return kMost;
  }
  return std::clamp(this->mean + kDeviations * this->deviation, kLeast, kMost);
}

}  // namespace qp::relay
