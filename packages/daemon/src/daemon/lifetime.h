#pragma once

namespace qp {

/// Tells the loops of a daemon when to end.
struct Lifetime {
  bool ended = false;
};

}  // namespace qp
