#include "relay/relay_metrics.h"

#include <boost/histogram.hpp>
#include <chrono>
#include <vector>

namespace qp::relay {

namespace {

namespace bh = boost::histogram;

using Axis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = bh::histogram<std::tuple<Axis>>;

/// Returns a histogram with buckets from 1 ms (a hop on loopback) to 30 s (the
/// longest deadline).
Histogram MakeHistogram() { return bh::make_histogram(Axis(24, 0.001, 30.0)); }

struct Latency {
  Histogram histogram = MakeHistogram();
  double sum = 0;
  std::uint64_t count = 0;
};

}  // namespace

struct RelayMetrics::State {
  std::map<std::string, std::map<std::string, std::uint64_t, std::less<>>,
           std::less<>>
      counters;
  std::map<std::string, double, std::less<>> gauges;
  std::map<std::string, Latency, std::less<>> latencies;
};

RelayMetrics::RelayMetrics() : state(std::make_unique<State>()) {}
RelayMetrics::~RelayMetrics() = default;

void RelayMetrics::Count(std::string_view name, std::string_view label) {
  auto series = this->state->counters.find(name);
  if (series == this->state->counters.end()) {
    series = this->state->counters.try_emplace(std::string(name)).first;
  }
  const auto counter = series->second.find(label);
  if (counter == series->second.end()) {
    series->second.emplace(std::string(label), 1);
  } else {
    ++counter->second;
  }
}

void RelayMetrics::Observe(std::string_view name, Duration elapsed) {
  auto found = this->state->latencies.find(name);
  if (found == this->state->latencies.end()) {
    found = this->state->latencies.try_emplace(std::string(name)).first;
  }
  const double seconds = std::chrono::duration<double>(elapsed).count();
  found->second.histogram(seconds);
  found->second.sum += seconds;
  ++found->second.count;
}

void RelayMetrics::SetGauge(std::string_view name, double value) {
  this->state->gauges.insert_or_assign(std::string(name), value);
}

std::string RelayMetrics::Text() const {
  std::string text;
  for (const auto& [name, series] : this->state->counters) {
    text += "# TYPE " + name + " counter\n";
    for (const auto& [label, value] : series) {
      text +=
          name + "{outcome=\"" + label + "\"} " + std::to_string(value) + "\n";
    }
  }
  for (const auto& [name, value] : this->state->gauges) {
    text += "# TYPE " + name + " gauge\n" + name + " " + std::to_string(value) +
            "\n";
  }
  for (const auto& [name, latency] : this->state->latencies) {
    text += "# TYPE " + name + " histogram\n";
    std::uint64_t cumulative = 0;
    for (auto&& bucket : bh::indexed(latency.histogram, bh::coverage::all)) {
      cumulative += static_cast<std::uint64_t>(*bucket);
      const auto upper = bucket.bin().upper();
      const bool last = bucket.index() == latency.histogram.axis(0).size();
      text += name + "_bucket{le=\"" + (last ? "+Inf" : std::to_string(upper)) +
              "\"} " + std::to_string(cumulative) + "\n";
    }
    text += name + "_sum " + std::to_string(latency.sum) + "\n";
    text += name + "_count " + std::to_string(latency.count) + "\n";
  }
  return text;
}

}  // namespace qp::relay
