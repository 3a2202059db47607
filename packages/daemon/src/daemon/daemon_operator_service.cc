#include "daemon/daemon_operator_service.h"

#include <utility>

#include "cluster/cluster_node.h"
#include "config/configuration_json.h"
#include "daemon/bill_json.h"
#include "daemon/cluster_handle.h"
#include "daemon/report_json.h"
#include "foundation/wait.h"
#include "gateway/blackboard_gauges.h"
#include "gateway/timeline_json.h"
#include "storage/configuration_store.h"
#include "storage/usage_store.h"

namespace qp {

namespace {

using nlohmann::json;

ChangeStatus StatusOf(StoreStatus status) {
  switch (status) {
    case StoreStatus::kAccepted:
      return ChangeStatus::kInForce;
    case StoreStatus::kRefused:
      return ChangeStatus::kRefused;
    case StoreStatus::kUnknown:
      return ChangeStatus::kUnknown;
    case StoreStatus::kUnavailable:
      return ChangeStatus::kUnavailable;
  }
  return ChangeStatus::kUnknown;
}

ChangeReport ReportOf(const StoreReport& stored, std::string change_id) {
  ChangeReport report;
  report.status = StatusOf(stored.status);
  report.change_id = std::move(change_id);
  report.version = stored.version;
  report.detail = stored.detail;
  return report;
}

Error NotInForce(std::string step) {
  return {ErrorCode::kUnavailable, std::move(step), "",
          "no configuration is in force yet"};
}

ChangeReport Invalid(const std::vector<Mistake>& mistakes) {
  ChangeReport report;
  report.status = ChangeStatus::kInvalid;
  report.detail = ToString(mistakes);
  return report;
}

}  // namespace

DaemonOperatorService::DaemonOperatorService(Parts service_parts)
    : parts(std::move(service_parts)) {}

Result<json> DaemonOperatorService::CurrentConfiguration() {
  const auto snapshot = this->parts.blackboard.configuration.Read();
  if (!snapshot->value.configuration) {
    return NotInForce("operator.configuration");
  }
  return ToJson(*snapshot->value.configuration);
}

Task<ChangeReport> DaemonOperatorService::Change(json document,
                                                 std::uint64_t expected_version,
                                                 std::string change_id) {
  std::vector<Mistake> mistakes;
  Configuration next = ParseConfiguration(document, mistakes);
  if (!mistakes.empty()) {
    co_return Invalid(mistakes);
  }
  next.change_id = change_id;
  next.version = expected_version + 1;
  const StoreReport stored =
      co_await this->parts.store.Change(next, expected_version);
  const std::string version = std::to_string(stored.version);
  if (stored.status == StoreStatus::kAccepted) {
    this->parts.timeline.Record(EventId::kConfigurationAccepted,
                                {{"version", version}, {"change", change_id}});
    this->parts.cluster.Post(
        [next = std::move(next), now = this->parts.clock.Now()](
            ClusterNode& node) { node.OfferConfiguration(next, now); });
    co_return co_await this->AwaitInForce(change_id, stored.version);
  }
  const bool refused = stored.status == StoreStatus::kRefused;
  this->parts.timeline.Record(refused ? EventId::kConfigurationRefused
                                      : EventId::kConfigurationUnresolved,
                              {{"version", version}, {"change", change_id}});
  ChangeReport report = ReportOf(stored, change_id);
  co_return refused ? this->Refused(document, std::move(report)) : report;
}

ChangeReport DaemonOperatorService::Refused(const json& document,
                                            ChangeReport report) {
  const auto in_force = this->CurrentConfiguration();
  if (in_force) {
    report.difference = json::diff(in_force.value(), document);
  }
  return report;
}

Task<ChangeReport> DaemonOperatorService::AwaitInForce(std::string change_id,
                                                       std::uint64_t version) {
  ChangeReport report;
  report.change_id = std::move(change_id);
  report.version = version;
  const TimePoint deadline = this->parts.clock.Now() + kAcknowledgementBound;
  while (true) {
    report.pending = co_await this->parts.cluster.Ask(
        [version, now = this->parts.clock.Now()](ClusterNode& node) {
          return node.MembersLackingVersion(version, now);
        });
    if (report.pending.empty()) {
      report.status = ChangeStatus::kInForce;
      co_return report;
    }
    if (this->parts.clock.Now() >= deadline) {
      report.status = ChangeStatus::kPending;
      co_return report;
    }
    co_await SleepFor(this->parts.clock, kAcknowledgementInterval);
  }
}

Task<Result<json>> DaemonOperatorService::History() {
  const auto versions = co_await this->parts.store.History();
  if (!versions) {
    co_return versions.error();
  }
  json array = json::array();
  for (const Configuration& configuration : versions.value()) {
    array.push_back(ToJson(configuration));
  }
  co_return array;
}

Task<ChangeReport> DaemonOperatorService::ResolveChange(std::string change_id) {
  const StoreReport stored = co_await this->parts.store.Resolve(change_id);
  if (stored.status == StoreStatus::kAccepted) {
    co_return co_await this->AwaitInForce(change_id, stored.version);
  }
  co_return ReportOf(stored, std::move(change_id));
}

json DaemonOperatorService::StatusReport() {
  const Blackboard& board = this->parts.blackboard;
  const auto readiness = board.readiness.Read();
  const auto configuration = board.configuration.Read();
  json members = json::array();
  for (const Member& member : board.members.Read()->value.members) {
    members.push_back(ToJson(member));
  }
  json backends = json::array();
  for (const Backend& backend : board.backends.Read()->value.backends) {
    backends.push_back(ToJson(backend));
  }
  const auto& in_force = configuration->value.configuration;
  return {{"node", this->parts.node},
          {"ready", readiness->value.ready},
          {"draining", readiness->value.draining},
          {"reason", readiness->value.reason},
          {"configuration_version", in_force ? in_force->version : 0},
          {"budgets", ToJson(board.budgets.Read()->value)},
          {"members", std::move(members)},
          {"backends", std::move(backends)}};
}

json DaemonOperatorService::TimelineReport() {
  return TimelineToJson(this->parts.timeline.Snapshot());
}

Task<Result<json>> DaemonOperatorService::Forecast(json what_if) {
  const auto in_force = this->parts.blackboard.configuration.Read();
  const auto backends = this->parts.blackboard.backends.Read();
  const auto& configuration = in_force->value.configuration;
  if (what_if.is_null()) {
    if (!configuration) {
      co_return NotInForce("operator.forecast");
    }
    co_return ForecastReport(*configuration, backends->value);
  }
  std::vector<Mistake> mistakes;
  const auto other = ParseConfiguration(what_if, mistakes);
  if (!mistakes.empty()) {
    co_return Error{ErrorCode::kInvalidArgument, "operator.forecast", "",
                    ToString(mistakes)};
  }
  co_return WhatIfReport(configuration.value_or(qp::Configuration{}), other,
                         backends->value);
}

Task<Result<json>> DaemonOperatorService::Spending() {
  const auto in_force = this->parts.blackboard.configuration.Read();
  const auto backends = this->parts.blackboard.backends.Read();
  if (!in_force->value.configuration) {
    co_return NotInForce("operator.spending");
  }
  const std::string month = DayOf(this->parts.clock.WallNow()).month;
  const auto used = co_await this->parts.usage.HoursOf(month);
  if (!used) {
    co_return used.error();
  }
  co_return SpendingReport(*in_force->value.configuration, backends->value,
                           month, used.value());
}

void DaemonOperatorService::Drain() { this->parts.begin_drain(); }

std::string DaemonOperatorService::MetricsText() {
  UpdateGauges(this->parts.blackboard, this->parts.metrics);
  return this->parts.metrics.Text();
}

bool DaemonOperatorService::IsReady() {
  const auto readiness = this->parts.blackboard.readiness.Read();
  return readiness->value.ready && !readiness->value.draining;
}

}  // namespace qp
