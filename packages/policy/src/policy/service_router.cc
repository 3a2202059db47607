#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>

#include "policy/chain_router.h"

namespace qp::policy {

namespace {

/// Weight of a new sample in the moving averages below.
constexpr double kSampleWeight = 0.05;
/// Initial value of the mean number of calls that finish between two reports. A
/// high value makes the use of reports improbable until the true mean is known:
/// reliance on old reports makes many daemons choose the same server.
constexpr double kInitialFinishedPerReport = 10;

void UpdateMean(double& mean, double value) {
  mean += kSampleWeight * (value - mean);
}

}  // namespace

struct ServiceRouter::State {
  /// Calls of this daemon to one server.
  struct OwnCalls {
    std::uint32_t in_flight = 0;
    /// Calls that have finished since the report last changed.
    double finished_since_report = 0;
    /// Calls in flight when the current report was first seen.
    std::uint32_t in_flight_at_report = 0;
    TimePoint reported_at{};
  };

  std::mt19937_64 generator;
  std::map<std::string, OwnCalls, std::less<>> servers;
  /// Moving averages over all servers.
  double mean_finished_per_report = kInitialFinishedPerReport;
  double mean_in_flight = 1;

  /// Probability with which a report is used. It falls with the age of the
  /// report and with the interval between reports, since all daemons act on the
  /// same figures until the next report. Both times are measured in mean call
  /// durations: by Little's law, the number of calls that finish in a time,
  /// divided by the mean number in flight, is that time in this unit.
  double ReportUseProbability(const OwnCalls& own) const {
    constexpr double kMinInFlight = 0.01;
    const double mean_calls = std::max(this->mean_in_flight, kMinInFlight);
    const double age = own.finished_since_report / mean_calls;
    const double interval = this->mean_finished_per_report / mean_calls;
    return std::exp(-age) / (1 + interval);
  }

  /// Calls per slot. Calls of other daemons count only if the probability of
  /// using the report is above `threshold`.
  double Load(const Backend& server, double threshold) {
    OwnCalls& own = this->servers[server.name];
    UpdateMean(this->mean_in_flight, own.in_flight);
    if (own.reported_at != server.reported_at) {
      UpdateMean(this->mean_finished_per_report, own.finished_since_report);
      own.reported_at = server.reported_at;
      own.finished_since_report = 0;
      own.in_flight_at_report = own.in_flight;
    }
    const double reported = static_cast<double>(server.running) + server.queued;
    const double others = std::max(reported - own.in_flight_at_report, 0.0);
    const double counted_others =
        threshold < this->ReportUseProbability(own) ? others : 0;
    return (own.in_flight + counted_others) /
           std::max<std::uint32_t>(server.slots, 1);
  }
};

ServiceRouter::ServiceRouter(std::uint64_t seed)
    : state(std::make_unique<State>()) {
  this->state->generator.seed(seed);
}

ServiceRouter::~ServiceRouter() = default;

std::optional<Backend> ServiceRouter::Choose(
    const BackendsView& backends, std::string_view service,
    std::span<const std::string> excluded) {
  std::vector<const Backend*> candidates;
  for (const auto& backend : backends.backends) {
    const bool usable = backend.role == BackendRole::kService &&
                        backend.service == service && backend.IsRoutable() &&
                        std::find(excluded.begin(), excluded.end(),
                                  backend.name) == excluded.end();
    if (usable) {
      candidates.push_back(&backend);
    }
  }
  if (candidates.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> draw(0, candidates.size() - 1);
  const std::size_t first = draw(this->state->generator);
  std::size_t second = first;
  while (candidates.size() > 1 && second == first) {
    second = draw(this->state->generator);
  }
  std::uniform_real_distribution<double> draw_threshold(0, 1);
  const double threshold = draw_threshold(this->state->generator);
  const Backend* chosen = candidates[first];
  const Backend* other = candidates[second];
  if (this->state->Load(*other, threshold) <
      this->state->Load(*chosen, threshold)) {
    chosen = other;
  }
  return *chosen;
}

void ServiceRouter::OnStarted(std::string_view server) {
  ++this->state->servers[std::string(server)].in_flight;
}

void ServiceRouter::OnFinished(std::string_view server) {
  const auto found = this->state->servers.find(server);
  if (found != this->state->servers.end() && found->second.in_flight > 0) {
    --found->second.in_flight;
    ++found->second.finished_since_report;
  }
}

}  // namespace qp::policy
