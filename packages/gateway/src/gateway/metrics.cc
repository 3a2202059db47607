#include "gateway/metrics.h"

#include <algorithm>
#include <array>
#include <boost/histogram.hpp>
#include <mutex>
#include <sstream>
#include <vector>

namespace qp {

namespace {

constexpr double kNanosPerSecond = 1e9;

/// Upper bounds of the buckets, in seconds. They bracket the targets of the
/// design page: 0.066 s between tokens and 0.32 s to the first token.
constexpr std::array kBucketBounds = {0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025,
                                      0.05,   0.066, 0.1,    0.25,  0.32, 0.5,
                                      1.0,    2.5,   5.0,    10.0,  30.0, 60.0};

/// Edges in nanoseconds. Boost.Histogram excludes the upper edge of a bin and
/// Prometheus includes it; one nanosecond, the resolution of Duration, makes
/// up for the difference.
std::vector<double> BucketEdges() {
  std::vector<double> edges = {0};
  for (const double bound : kBucketBounds) {
    edges.push_back(bound * kNanosPerSecond + 1);
  }
  return edges;
}

using Axis = boost::histogram::axis::variable<>;

auto MakeBins() {
  return boost::histogram::make_histogram(Axis(BucketEdges()));
}

class DurationHistogram {
 public:
  void Add(Duration duration) {
    const auto nanos = std::max<std::int64_t>(0, duration.count());
    this->bins(static_cast<double>(nanos));
    this->sum += static_cast<double>(nanos) / kNanosPerSecond;
  }

  /// Observations in bucket `index`; the bucket after the last bound holds
  /// the rest.
  std::uint64_t CountAt(int index) const {
    return static_cast<std::uint64_t>(this->bins.at(index));
  }

  double total_seconds() const { return this->sum; }

 private:
  decltype(MakeBins()) bins = MakeBins();
  double sum = 0;
};

std::string EscapeLabel(std::string_view value) {
  std::string escaped;
  for (const char letter : value) {
    if (letter == '\n') {
      escaped += "\\n";
      continue;
    }
    if (letter == '\\' || letter == '"') {
      escaped += '\\';
    }
    escaped += letter;
  }
  return escaped;
}

std::string LabelText(const Labels& labels, std::string_view bound = {}) {
  std::string text;
  for (const auto& [name, value] : labels) {
    text +=
        (text.empty() ? "" : ",") + name + "=\"" + EscapeLabel(value) + "\"";
  }
  if (!bound.empty()) {
    text += text.empty() ? "" : ",";
    text += "le=\"" + std::string(bound) + "\"";
  }
  return text.empty() ? text : "{" + text + "}";
}

std::string NumberText(double number) {
  std::ostringstream text;
  text.imbue(std::locale::classic());
  text.precision(15);
  text << number;
  return text.str();
}

void WriteHistogram(std::ostream& out, const std::string& name,
                    const Labels& labels, const DurationHistogram& histogram) {
  std::uint64_t cumulative = 0;
  int index = 0;
  for (const double bound : kBucketBounds) {
    cumulative += histogram.CountAt(index++);
    out << name << "_bucket" << LabelText(labels, NumberText(bound)) << ' '
        << cumulative << '\n';
  }
  cumulative += histogram.CountAt(index);
  out << name << "_bucket" << LabelText(labels, "+Inf") << ' ' << cumulative
      << '\n'
      << name << "_sum" << LabelText(labels) << ' '
      << NumberText(histogram.total_seconds()) << '\n'
      << name << "_count" << LabelText(labels) << ' ' << cumulative << '\n';
}

template <class Value>
using Family = std::map<Labels, Value>;
template <class Value>
using Families = std::map<std::string, Family<Value>, std::less<>>;

template <class Value>
Value& SeriesOf(Families<Value>& families, std::string_view name,
                Labels labels) {
  const auto found = families.find(name);
  Family<Value>& family =
      found == families.end() ? families[std::string(name)] : found->second;
  return family[std::move(labels)];
}

}  // namespace

struct Metrics::State {
  mutable std::mutex mutex;
  Families<std::uint64_t> counters;
  Families<double> gauges;
  Families<DurationHistogram> histograms;

  void Observe(std::string_view name, Labels labels, Duration duration) {
    std::lock_guard lock(this->mutex);
    SeriesOf(this->histograms, name, std::move(labels)).Add(duration);
  }
};

Metrics::Metrics() : state(std::make_unique<State>()) {}
Metrics::~Metrics() = default;

void Metrics::OnRequestFinished(std::string_view class_name, Outcome outcome,
                                Duration elapsed) {
  const Labels labels = {{"class", std::string(class_name)},
                         {"outcome", std::string(ToString(outcome))}};
  this->Increment("quetzalpost_requests_total", labels);
  this->state->Observe("quetzalpost_request_seconds", labels, elapsed);
}

void Metrics::OnFirstToken(std::string_view class_name, Duration elapsed) {
  this->state->Observe("quetzalpost_first_token_seconds",
                       {{"class", std::string(class_name)}}, elapsed);
}

void Metrics::OnNextToken(std::string_view class_name,
                          Duration since_previous) {
  this->state->Observe("quetzalpost_between_tokens_seconds",
                       {{"class", std::string(class_name)}}, since_previous);
}

void Metrics::Increment(std::string_view name, Labels labels,
                        std::uint64_t amount) {
  std::lock_guard lock(this->state->mutex);
  SeriesOf(this->state->counters, name, std::move(labels)) += amount;
}

void Metrics::SetGauge(std::string_view name, Labels labels, double value) {
  std::lock_guard lock(this->state->mutex);
  SeriesOf(this->state->gauges, name, std::move(labels)) = value;
}

void Metrics::ReplaceGauge(std::string_view name,
                           std::map<Labels, double> series) {
  std::lock_guard lock(this->state->mutex);
  this->state->gauges.insert_or_assign(std::string(name), std::move(series));
}

std::string Metrics::Text() const {
  std::lock_guard lock(this->state->mutex);
  std::ostringstream out;
  out.imbue(std::locale::classic());
  for (const auto& [name, family] : this->state->counters) {
    out << "# TYPE " << name << " counter\n";
    for (const auto& [labels, value] : family) {
      out << name << LabelText(labels) << ' ' << value << '\n';
    }
  }
  for (const auto& [name, family] : this->state->gauges) {
    out << "# TYPE " << name << " gauge\n";
    for (const auto& [labels, value] : family) {
      out << name << LabelText(labels) << ' ' << NumberText(value) << '\n';
    }
  }
  for (const auto& [name, family] : this->state->histograms) {
    out << "# TYPE " << name << " histogram\n";
    for (const auto& [labels, histogram] : family) {
      WriteHistogram(out, name, labels, histogram);
    }
  }
  return out.str();
}

}  // namespace qp
