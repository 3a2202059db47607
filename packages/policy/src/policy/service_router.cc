#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <random>

#include "policy/chain_router.h"

namespace qp::policy {

struct ServiceRouter::State {
  struct Own {
    std::uint32_t in_flight = 0;
    /// Calls of this daemon that ended since the report last changed.
    double finished_since_report = 0;
    std::uint32_t reported = 0;
    TimePoint reported_at{};
  };

  std::mt19937_64 generator;
  std::map<std::string, Own, std::less<>> servers;

  /// Calls per slot. The report counts less the more calls have ended since:
  /// by Little's law, ended calls over calls in flight is the age of the
  /// report in durations of a call.
  double Load(const Backend& server) {
    Own& own = this->servers[server.name];
    if (own.reported_at != server.reported_at) {
      own.reported_at = server.reported_at;
      own.finished_since_report = 0;
      own.reported = own.in_flight;
    }
    const double reported = static_cast<double>(server.running) + server.queued;
    const double others = std::max(reported - own.reported, 0.0);
    const double age =
        own.finished_since_report / std::max<double>(own.in_flight, 1);
    return (own.in_flight + others * std::exp(-age)) /
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
  const Backend* chosen = candidates[first];
  if (this->state->Load(*candidates[second]) < this->state->Load(*chosen)) {
    chosen = candidates[second];
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
