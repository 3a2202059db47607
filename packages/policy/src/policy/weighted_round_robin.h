#pragma once

#include <random>
#include <span>
#include <vector>

namespace qp::policy {

/// Share of the next `arrivals` streams that each server should receive so that
/// its streams become proportional to its capacity. `arrivals` is the number of
/// streams expected before the next load report; it must be above 0. With fresh
/// reports, the least loaded servers receive all streams; the older the
/// reports, the closer the shares are to the capacities (Dahlin, Interpreting
/// Stale Load Information, 1999). The shares sum to 1; the result is empty if
/// there are no servers.
std::vector<double> SharesOfArrivals(std::span<const double> streams,
                                     std::span<const double> capacities,
                                     double arrivals);

/// Chooses in proportion to weights with less variance than independent random
/// draws (smooth weighted round robin). The initial credits are random, so that
/// routers with the same weights do not make the same choices at the same time.
class WeightedRoundRobin {
 public:
  WeightedRoundRobin(std::size_t size, std::mt19937_64& generator);

  /// Returns the index to choose next. The state changes only in Commit, so
  /// that choices that are not used leave it as it is.
  std::size_t Next(std::span<const double> shares) const;

  /// Records that `chosen` was used at these shares.
  void Commit(std::span<const double> shares, std::size_t chosen);

 private:
  /// Initial credit plus the shares received minus the number of choices, by
  /// index.
  std::vector<double> credits;
};

}  // namespace qp::policy
