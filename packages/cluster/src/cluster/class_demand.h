#pragma once

namespace qp {

/// Demand for a request class at one daemon.
struct ClassDemand {
  double used_per_second = 0;      ///< Requests admitted within the share.
  double shortage_per_second = 0;  ///< Requests refused because it was used up.
};

}  // namespace qp
