#pragma once

namespace qp {

/// Demand for a class at one daemon.
struct ClassDemand {
  double used_per_second = 0;      ///< Requests admitted within the share.
  double shortage_per_second = 0;  ///< Requests refused for lack of share.
};

}  // namespace qp
