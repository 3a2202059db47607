#pragma once

#include <map>
#include <set>

#include "admission/room.h"

namespace qp::admission {

/// Highest use of the bottleneck, as a share of its capacity, up to which new
/// requests of each class are admitted. A class is identified by its priority;
/// 0 is the most urgent.
///
/// The thresholds are trunk reservation (Kelly, "Loss Networks", Annals of
/// Applied Probability 1(3), 1991): the least urgent class is refused first,
/// and a small reserve protects urgent classes almost completely. They answer
/// peaks of several classes of one service, during which engines fail.
class Thresholds {
 public:
  /// Use that no admission may exceed: engines preempt requests when their
  /// memory runs out, and the use is known only approximately.
  static constexpr double kMaxUse = 0.97;
  /// Largest share of the capacity that each class leaves to the next more
  /// urgent one. It covers what arrives in about half a second at peak, the
  /// time until a change of the load is seen by all processes and acted on.
  static constexpr double kStep = 0.04;
  /// Largest difference between the thresholds of two classes.
  static constexpr double kMaxSpread = 0.10;
  /// Largest share of the capacity that less urgent classes leave for the
  /// requests of an engine that fails.
  static constexpr double kMaxFailureReserve = 0.01;

  /// `priorities`: of all classes of the service.
  Thresholds(const std::set<int>& priorities, const Room& room);

  /// Threshold of a class. An unknown priority has that of the nearest less
  /// urgent class, or of the least urgent one.
  double For(int priority) const;
  /// Threshold of the next more urgent class; its own for the most urgent one.
  double ForRetry(int priority) const;

 private:
  std::map<int, double> by_priority;
};

}  // namespace qp::admission
