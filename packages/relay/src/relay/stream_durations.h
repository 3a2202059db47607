#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "foundation/clock.h"

namespace qp::relay {

/// Estimates how long a stream takes from the streams that have ended, by their
/// time for each token that the caller had stated.
///
/// The estimate is the mean plus a multiple of the mean deviation, as for the
/// retransmission timeout of TCP (Jacobson and Karels, "Congestion Avoidance
/// and Control", 1988), because the times vary with the load.
class StreamDurations {
 public:
  /// A stream of `service` with `tokens` stated tokens was served in
  /// `duration`. Ignored if the number of tokens is not positive.
  void Record(std::string_view service, double tokens, Duration duration);
  /// Duration that most streams with `tokens` stated tokens don't exceed, at
  /// most kMaxEstimate. Empty if no stream of the service has ended yet or
  /// `tokens` is not positive.
  std::optional<Duration> Estimate(std::string_view service,
                                   double tokens) const;

  static constexpr Duration kMaxEstimate = std::chrono::hours(1);

 private:
  /// Seconds per token.
  struct Average {
    double mean = 0;
    double deviation = 0;
  };

  std::map<std::string, Average, std::less<>> averages;
};

}  // namespace qp::relay
