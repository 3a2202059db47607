#pragma once

#include <string>
#include <vector>

namespace qp::bench {

struct FairnessResult {
  double small_share = 0;  ///< Admitted over fair share of the small workspace.
  double class_use = 0;    ///< Admitted over the share of the class.
};

/// A workspace that asks for its fair share beside one that asks fifty times
/// as much, at random times.
FairnessResult MeasureFairness(std::uint64_t seed);

struct DecisionTime {
  std::string decision;
  double median_microseconds = 0;
};

/// Median time of single calls at the design size: 600 engines, 1,000
/// workspaces.
std::vector<DecisionTime> MeasureDecisionTimes(std::uint64_t seed);

}  // namespace qp::bench
