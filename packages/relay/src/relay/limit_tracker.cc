#include "relay/limit_tracker.h"

#include <chrono>
#include <utility>

#include "relay/age_millis.h"

namespace qp::relay {

void LimitTracker::SetProcesses(std::string own, std::vector<std::string> all,
                                TimePoint now) {
  this->own_name = std::move(own);
  this->processes = std::move(all);
  for (const auto& id : this->servers.Ids()) {
    this->UpdateShare(*this->servers.Find(id), now);
  }
}

void LimitTracker::RecordLimit(Server& server, double rate, TimePoint now) {
  if (this->Record(server, rate, now, now, "self") &&
      this->listener != nullptr) {
    this->listener->OnLimitChange();
  }
}

void LimitTracker::RecordNoLimit(Server& server, TimePoint now) {
  if (!server.request_limit.RateAt(now)) {
    return;
  }
  if (this->Record(server, std::nullopt, now, now, "self") &&
      this->listener != nullptr) {
    this->listener->OnLimitChange();
  }
}

void LimitTracker::Merge(const std::vector<LimitReport>& reports,
                         TimePoint now) {
  for (const auto& report : reports) {
    if (const ServerPtr server = this->servers.Find(report.server)) {
      this->Record(*server, report.rate,
                   now - std::chrono::milliseconds(report.age_ms), now, "peer");
    }
  }
}

std::vector<LimitReport> LimitTracker::MakeReports(TimePoint now) const {
  std::vector<LimitReport> reports;
  this->servers.ForEach([&reports, now](const Server& server) {
    const auto stated_at = server.request_limit.stated_at();
    const auto rate = server.request_limit.RateAt(now);
    if (stated_at && (rate || now - *stated_at < kEndRepeatTime)) {
      reports.push_back({server.record.id, rate, AgeMillis(now, *stated_at)});
    }
  });
  return reports;
}

void LimitTracker::UpdateShare(Server& server, TimePoint now) {
  if (const auto rate = server.request_limit.RateAt(now)) {
    server.request_limit.SetShare(
        ShareOfLimit(*rate, server.record.id, this->own_name, this->processes),
        now);
  }
}

bool LimitTracker::Record(Server& server, std::optional<double> rate,
                          TimePoint stated_at, TimePoint now,
                          std::string_view source) {
  if (!server.request_limit.Record(rate, stated_at)) {
    return false;
  }
  this->UpdateShare(server, now);
  if (!rate) {
    this->events.Record(
        EventId::kServerLimitEnded,
        {{"server", server.record.id}, {"source", std::string(source)}});
    return true;
  }
  this->events.Record(EventId::kServerLimited,
                      {{"server", server.record.id},
                       {"rate", std::to_string(*rate)},
                       {"share", std::to_string(server.request_limit.share())},
                       {"source", std::string(source)}});
  return true;
}

}  // namespace qp::relay
