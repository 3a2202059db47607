#include "relay/admission/model_admission.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <utility>

namespace qp::relay {

namespace {

/// Window of the longest stated wait of a route. A change of the route's
/// timeout is learned within two windows.
constexpr Duration kUsualWaitWindow = std::chrono::seconds(10);

/// Urgencies with which requests reach the service.
std::set<Urgency> UrgenciesOf(const DeploymentConfiguration& configuration,
                              const std::string& service) {
  // Empty for workspaces that leave the priority to the route.
  std::set<std::optional<int>> workspace_priorities;
  for (const auto& [key, workspace] : configuration.workspaces_by_key) {
    workspace_priorities.insert(workspace.priority);
  }
  std::set<Urgency> urgencies;
  for (const auto& route : configuration.routes) {
    const bool is_served =
        std::any_of(route->services.begin(), route->services.end(),
                    [&service](const auto& choice) {
                      return choice.service == service && choice.weight > 0;
                    });
    if (!is_served) {
      continue;
    }
    if (!configuration.has_workspaces || route->anonymous) {
      urgencies.insert({route->priority, route->priority});
    }
    for (const auto& priority : workspace_priorities) {
      urgencies.insert({priority.value_or(route->priority), route->priority});
    }
  }
  return urgencies;
}

}  // namespace

void ModelAdmission::Apply(const DeploymentConfiguration& configuration) {
  std::erase_if(this->by_service, [&configuration](const auto& entry) {
    const auto found = configuration.services.find(entry.first);
    return found == configuration.services.end() || !found->second.engine;
  });
  for (const auto& [name, service] : configuration.services) {
    if (!service.engine) {
      continue;
    }
    ServiceState& state = this->by_service[name];
    if (state.admission == nullptr) {
      state.admission =
          std::make_unique<admission::ServiceAdmission>(this->random_seed);
    }
    state.urgencies = UrgenciesOf(configuration, name);
    std::set<int> ranks;
    for (int rank = 0; rank < this->CountRanks(name); ++rank) {
      ranks.insert(ranks.end(), rank);
    }
    state.admission->SetClasses(std::move(ranks));
  }
  std::erase_if(this->usual_waits, [&configuration](const auto& entry) {
    return std::none_of(
        configuration.routes.begin(), configuration.routes.end(),
        [&entry](const auto& route) { return route->name == entry.first; });
  });
}

admission::ServiceAdmission* ModelAdmission::Find(std::string_view service) {
  const auto found = this->by_service.find(service);
  return found == this->by_service.end() ||
                 !found->second.admission->is_active()
             ? nullptr
             : found->second.admission.get();
}

int ModelAdmission::RankOf(std::string_view service, Urgency urgency) const {
  const auto found = this->by_service.find(service);
  if (found == this->by_service.end()) {
    return 0;
  }
  const auto& urgencies = found->second.urgencies;
  return static_cast<int>(
      std::distance(urgencies.begin(), urgencies.lower_bound(urgency)));
}

int ModelAdmission::CountRanks(std::string_view service) const {
  const auto found = this->by_service.find(service);
  return found == this->by_service.end()
             ? 0
             : static_cast<int>(found->second.urgencies.size());
}

bool ModelAdmission::IsRetry(std::string_view route, Duration remaining,
                             TimePoint now) {
  auto found = this->usual_waits.find(route);
  if (found == this->usual_waits.end()) {
    found = this->usual_waits
                .emplace(std::string(route), UsualWait{remaining, {}, now})
                .first;
  }
  UsualWait& usual = found->second;
  if (now - usual.window_began >= kUsualWaitWindow) {
    usual = {remaining, usual.current, now};
  }
  usual.current = std::max(usual.current, remaining);
  return remaining + kMinRetryElapsed <=
         std::max(usual.current, usual.previous);
}

void ModelAdmission::Merge(std::string_view node,
                           const std::vector<AdmissionReport>& reports,
                           TimePoint now) {
  for (const auto& [service, report] : reports) {
    if (const auto admission = this->Find(service)) {
      admission->Merge(node, report, now);
    }
  }
}

std::vector<AdmissionReport> ModelAdmission::MakeReports(TimePoint now) {
  std::vector<AdmissionReport> reports;
  for (const auto& [service, state] : this->by_service) {
    if (state.admission->is_active()) {
      reports.push_back({service, state.admission->MakeReport(now)});
    }
  }
  return reports;
}

}  // namespace qp::relay
