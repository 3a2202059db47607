#pragma once

#include "foundation/clock.h"

namespace qp::relay {

/// Tells how long the next event of a stream may take. Smoothed mean of the
/// gaps so far plus four times their smoothed deviation, as TCP computes its
/// retransmission timeout (Jacobson; RFC 6298).
///
/// Answers the load of lost engines: a gap of 200 to 300 ms makes an answer
/// late, and reading a prompt again on other engines takes some 80 ms of it.
class GapEstimate {
 public:
  /// Bounds below this would be met by the passes of a busy engine.
  static constexpr Duration kLeast = std::chrono::milliseconds(100);
  /// Bound while fewer than kNeeded gaps are known, and the longest.
  static constexpr Duration kMost = std::chrono::milliseconds(600);
  static constexpr int kNeeded = 4;

  void Note(Duration gap);
  Duration Bound() const;
  /// Forgets what another server's events have shown.
  void Reset() { *this = {}; }

 private:
  int gaps = 0;
  Duration mean{};
  Duration deviation{};
};

}  // namespace qp::relay
