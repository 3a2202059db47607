#pragma once

#include <random>
#include <span>
#include <vector>

namespace qp::policy {

/// Part of the coming work that each server should receive so that streams
/// end up in proportion to `capacities`, if `arrivals` streams come before the
/// next report. With fresh reports the least loaded receive all of it; the
/// older the reports, the closer the result is to the capacities (Dahlin,
/// Interpreting Stale Load Information, 1999). Sums to 1; empty for no
/// servers.
std::vector<double> SharesOfArrivals(std::span<const double> streams,
                                     std::span<const double> capacities,
                                     double arrivals);

/// Picks in proportion to weights with less variance than independent draws
/// (smooth weighted round robin). The start is random, so that routers with
/// the same weights do not pick in step.
class WeightedRoundRobin {
 public:
  WeightedRoundRobin(std::size_t size, std::mt19937_64& generator);

  std::size_t Next(std::span<const double> shares) const;

  /// Notes that `chosen` was used at these shares.
  void Commit(std::span<const double> shares, std::size_t chosen);

 private:
  std::vector<double> credits;
};

}  // namespace qp::policy
