#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "foundation/clock.h"

namespace qp::relay {

/// Counters, gauges and latency histograms of the relay in the Prometheus text
/// format. Used on the request thread only.
class RelayMetrics {
 public:
  RelayMetrics();
  ~RelayMetrics();

  /// Increments the counter `name` for the outcome `label`.
  void Count(std::string_view name, std::string_view label);
  /// Adds `elapsed` in seconds to histogram `name`.
  void Observe(std::string_view name, Duration elapsed);
  /// Sets the gauge `name`.
  void SetGauge(std::string_view name, double value);
  /// Returns all counters, gauges and histograms in the Prometheus text format.
  std::string Text() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace qp::relay
