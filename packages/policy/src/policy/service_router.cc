#include <algorithm>
#include <functional>
#include <map>
#include <random>

#include "policy/chain_router.h"

namespace qp::policy {

struct ServiceRouter::State {
  std::mt19937_64 generator;
  std::map<std::string, std::uint32_t, std::less<>> in_flight;

  /// Calls per slot: the report, or this daemon's own calls where they are
  /// already more than the lagging report says.
  double Load(const Backend& server) const {
    const auto own = this->in_flight.find(server.name);
    const std::uint32_t calls = own == this->in_flight.end() ? 0 : own->second;
    const double reported = static_cast<double>(server.running) + server.queued;
    return (reported + calls) / std::max<std::uint32_t>(server.slots, 1);
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
  auto& calls = this->state->in_flight;
  const auto found = calls.find(server);
  if (found == calls.end()) {
    calls.emplace(server, 1);
  } else {
    ++found->second;
  }
}

void ServiceRouter::OnFinished(std::string_view server) {
  const auto found = this->state->in_flight.find(server);
  if (found != this->state->in_flight.end() && --found->second == 0) {
    this->state->in_flight.erase(found);
  }
}

}  // namespace qp::policy
