#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "foundation/clock.h"

namespace qp::relay {

/// Times that answers of one service have taken over a sliding window, for
/// estimates of their quantiles.
///
/// Counts are kept in buckets whose bounds grow by kGrowth, as in other
/// log-linear histograms, and in steps of the window: memory is fixed, about
/// 3 KB, and a quantile is at most kGrowth too high.
class AnswerTimes {
 public:
  /// Answers older than that are forgotten, a step at a time.
  static constexpr Duration kWindow = std::chrono::seconds(30);
  /// Answers that must have taken longer than a quantile for it to be known:
  /// with fewer, one slow answer decides the estimate. The quantile 0.95 needs
  /// 100 answers, 0.99 needs 500.
  static constexpr double kMinTailCount = 5;

  void Record(Duration elapsed, TimePoint now);
  /// Upper bound of the bucket that contains the quantile, 0 to 1. Empty if
  /// too few answers are known, or if the bucket has no bound.
  std::optional<Duration> Quantile(double quantile, TimePoint now);

 private:
  static constexpr std::size_t kSteps = 6;
  /// The buckets reach from kShortest, a hop inside a zone, to over 50 s, more
  /// than the longest time limit of a plain request.
  static constexpr std::size_t kBuckets = 128;
  static constexpr Duration kShortest = std::chrono::microseconds(250);
  static constexpr double kGrowth = 1.1;

  using Counts = std::array<std::uint32_t, kBuckets>;

  static std::size_t BucketOf(Duration elapsed);
  /// Clears the steps that have left the window.
  void Advance(TimePoint now);

  std::array<Counts, kSteps> steps{};
  std::int64_t newest_step = 0;  ///< Index since the start of the clock.
};

}  // namespace qp::relay
