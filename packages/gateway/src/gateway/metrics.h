#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "calls/outcome.h"
#include "foundation/clock.h"

namespace qp {

/// Label names and values of one series, ordered by name.
using Labels = std::map<std::string, std::string>;

/// Metrics of one daemon in the Prometheus text format. Thread-safe, since
/// controllers report here as well as the request thread.
///
/// The label `class` only takes names of configured classes, or "none"; the
/// number of series is therefore bounded by the configuration.
class Metrics {
 public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /// Counts a request and its time from arrival to the end of the answer.
  void OnRequestFinished(std::string_view class_name, Outcome outcome,
                         Duration elapsed);
  void OnFirstToken(std::string_view class_name, Duration elapsed);
  void OnNextToken(std::string_view class_name, Duration since_previous);

  /// Adds to a counter. `name` must be a metric name that ends in `_total`.
  void Increment(std::string_view name, Labels labels,
                 std::uint64_t amount = 1);
  void SetGauge(std::string_view name, Labels labels, double value);
  /// Replaces all series of a gauge, so that none outlives what it describes.
  void ReplaceGauge(std::string_view name, std::map<Labels, double> series);

  std::string Text() const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace qp
