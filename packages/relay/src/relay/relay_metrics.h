#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "foundation/clock.h"

namespace qp::relay {

/// Counters and latency histograms of the relay in the Prometheus text format.
/// Used on the request thread only.
class RelayMetrics {
 public:
  RelayMetrics();
  ~RelayMetrics();

  void Count(std::string_view name, std::string_view label);
  /// `name` is that of a histogram of seconds.
  void Observe(std::string_view name, Duration elapsed);
  std::string Text() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace qp::relay
