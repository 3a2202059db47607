// Admission of requests by the memory of the engines.
#include <algorithm>
#include <string>
#include <utility>

#include "relay/exchange.h"
#include "relay/log_text.h"

namespace qp::relay {

namespace {

/// Urgency that servers are sent for a request with priority 1, from 0 (most
/// urgent) to kMaxUrgency.
constexpr int kDefaultUrgency = 5;
constexpr int kMaxUrgency = 9;

}  // namespace

admission::Request Exchange::MakeAdmissionRequest() {
  admission::Request request;
  request.priority = this->relay.admission.RankOf(
      this->service->name, {this->priority, this->route->priority});
  request.workspace = this->workspace;
  request.tokens = this->KvTokens();
  request.remaining = this->Remaining();
  request.is_retry = this->is_caller_retry;
  return request;
}

int Exchange::ServerUrgency() const {
  const auto* const admission = this->relay.admission.Find(this->service->name);
  if (admission == nullptr) {
    return std::clamp(this->priority + kDefaultUrgency - 1, 0, kMaxUrgency);
  }
  const int rank = this->relay.admission.RankOf(
      this->service->name, {this->priority, this->route->priority});
  const int middle = this->relay.admission.CountRanks(this->service->name) / 2;
  return std::clamp(kDefaultUrgency + rank - middle, 0, kMaxUrgency);
}

bool Exchange::AdmitToEngines() {
  auto* const admission = this->relay.admission.Find(this->service->name);
  // A stream that has begun is never given up for new ones. A request keeps the
  // configuration it came with, in which the service can be without engines.
  if (admission == nullptr || !this->service->engine || this->tries > 0 ||
      this->response_begun || this->admission_hold != nullptr ||
      this->metadata.last_event_id) {
    return true;
  }
  const TimePoint now = this->relay.Now();
  this->is_caller_retry =
      this->relay.admission.IsRetry(this->route->name, this->Remaining(), now);
  LoadAssumptions assumptions;
  assumptions.peer_count = this->relay.processes_in_zone - 1;
  assumptions.silent_peer_count = this->relay.silent_processes_in_zone;
  if (!assumptions.IsLoadKnown()) {
    this->relay.metrics.Count("quetzalpost_admissions_total", "load_unknown");
    return true;  // Engines refuse what they have no memory for.
  }
  auto rooms =
      EstimateZoneRooms(*this->service->engine,
                        this->relay.servers.FindByService(this->service->name),
                        this->relay.availability_zone, assumptions, now);
  if (!this->relay.other_zones_known) {
    std::erase_if(rooms, [](const auto& room) { return !room.is_own; });
  }
  if (rooms.empty()) {
    return true;  // Only a chain over several zones can serve it, if any.
  }
  const admission::Request request = this->MakeAdmissionRequest();
  admission::Decision decision = admission->Decide(request, rooms, now);
  if (decision.admitted) {
    this->relay.metrics.Count(
        "quetzalpost_admissions_total",
        decision.by_minimum_share ? "minimum_share" : "admitted");
    this->open_zones = std::move(decision.open_zones);
    this->admission_hold = std::make_unique<admission::WorkspaceShares::Hold>(
        admission->workspace_shares(), this->workspace, request.tokens);
    return true;
  }
  this->relay.metrics.Count(
      "quetzalpost_admissions_total",
      decision.retry.is_reserved ? "refused_with_place" : "refused");
  this->last_failure = "use " + FormatShare(decision.use) + ", threshold " +
                       FormatShare(decision.threshold);
  this->SendLocalReply({503, "the engines have no memory left for its class",
                        decision.retry.after});
  return false;
}

}  // namespace qp::relay
