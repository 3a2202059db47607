#pragma once

#include <string>
#include <string_view>

#include "relay/exchange.h"

namespace qp::relay {

/// The second try of a request that a slow server is working on, from the start
/// of its delay.
struct Exchange::Hedge {
  explicit Hedge(TimerQueue& timers) : timer(timers) {}

  ScopedTimer timer;  ///< Runs until the hedge is sent.
  TimePoint due{};
  Duration delay{};
  double quantile = 0;      ///< The setting that the delay follows.
  int second_number = 0;    ///< Try number of the second try; 0 until sent.
  std::string first_id;     ///< Server of the first try.
  std::string second_id;    ///< Server of the second try.
  std::string_view winner;  ///< Try whose answer was chosen.
  bool second_won = false;
};

}  // namespace qp::relay
