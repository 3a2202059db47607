#include "gateway/blackboard_gauges.h"

#include <map>
#include <string>
#include <string_view>

#include "blackboard/blackboard.h"
#include "gateway/metrics.h"

namespace qp {

namespace {

using Series = std::map<Labels, double>;

std::string_view StateOf(const Backend& backend) {
  if (!backend.reachable) {
    return "unreachable";
  }
  return backend.leaving ? "leaving" : "routable";
}

std::string_view RoleOf(const Backend& backend) {
  return backend.role == BackendRole::kEngine ? "engine" : "service";
}

Series MembersByState(const MembersView& view) {
  Series series;
  for (const MemberState state : {MemberState::kAlive, MemberState::kSuspect,
                                  MemberState::kLeaving, MemberState::kGone}) {
    series[{{"state", std::string(ToString(state))}}] = 0;
  }
  for (const Member& member : view.members) {
    ++series[{{"state", std::string(ToString(member.state))}}];
  }
  return series;
}

Series BackendsByState(const BackendsView& view) {
  Series series;
  for (const char* role : {"engine", "service"}) {
    for (const char* state : {"routable", "leaving", "unreachable"}) {
      series[{{"role", role}, {"state", state}}] = 0;
    }
  }
  for (const Backend& backend : view.backends) {
    ++series[{{"role", std::string(RoleOf(backend))},
              {"state", std::string(StateOf(backend))}}];
  }
  return series;
}

void UpdateBudgets(const BudgetsView& view, Metrics& metrics) {
  Series requests;
  Series tokens;
  for (const auto& [class_name, share] : view.shares) {
    requests[{{"class", class_name}}] = share.requests_per_second;
    tokens[{{"class", class_name}}] = share.tokens_per_second;
  }
  metrics.SetGauge("quetzalpost_budget_generation", {},
                   static_cast<double>(view.generation));
  metrics.ReplaceGauge("quetzalpost_budget_requests_per_second",
                       std::move(requests));
  metrics.ReplaceGauge("quetzalpost_budget_tokens_per_second",
                       std::move(tokens));
}

}  // namespace

void UpdateGauges(const Blackboard& blackboard, Metrics& metrics) {
  const auto readiness = blackboard.readiness.Read();
  metrics.SetGauge("quetzalpost_ready", {}, readiness->value.ready ? 1 : 0);
  metrics.SetGauge("quetzalpost_draining", {},
                   readiness->value.draining ? 1 : 0);
  const auto configuration = blackboard.configuration.Read();
  const auto& in_force = configuration->value.configuration;
  metrics.SetGauge("quetzalpost_configuration_version", {},
                   in_force ? static_cast<double>(in_force->version) : 0);
  metrics.ReplaceGauge("quetzalpost_members",
                       MembersByState(blackboard.members.Read()->value));
  metrics.ReplaceGauge("quetzalpost_backend_servers",
                       BackendsByState(blackboard.backends.Read()->value));
  UpdateBudgets(blackboard.budgets.Read()->value, metrics);
}

}  // namespace qp
