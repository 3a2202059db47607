#include "admission/service_admission.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

#include "admission/thresholds.h"

namespace qp::admission {

namespace {

/// Time constant of the average rate of admissions, in seconds.
constexpr double kRateSeconds = 2.0;
/// Callers wait no longer than this share of the time until their deadline.
constexpr double kMaxDelayShare = 0.3;
/// Most requests that a class can save up below its minimum share.
constexpr double kMaxUnservedShares = 2.0;

}  // namespace

void ServiceAdmission::SetClasses(std::set<int> given) {
  this->priorities = std::move(given);
}

Decision ServiceAdmission::Decide(const Request& request,
                                  std::span<const ZoneRoom> rooms,
                                  TimePoint now) {
  this->retries.Expire(now);
  this->workspaces.Expire(now);
  double& unserved = this->unserved_shares[request.priority];
  unserved = std::min(unserved + kMinShare, kMaxUnservedShares);

  // Callers that return without a place are treated like new ones.
  const bool has_place =
      request.is_retry && this->retries.DuePlaces(request.priority, now) > 0;
  const double penalty =
      this->workspaces.IsOverShare(request.workspace) ? kOverSharePenalty : 0;
  Decision decision;
  double best_margin = -std::numeric_limits<double>::infinity();
  std::vector<std::string> below_limit;
  for (const auto& [zone, room, is_own] : rooms) {
    const Thresholds thresholds(this->priorities, room);
    const double threshold = (has_place ? thresholds.ForRetry(request.priority)
                                        : thresholds.For(request.priority)) -
                             penalty - (is_own ? 0 : kOtherZonePenalty);
    const double use = this->UseFor(request, room, now);
    if (threshold - use > best_margin) {
      best_margin = threshold - use;
      decision.use = use;
      decision.threshold = threshold;
    }
    if (use < threshold) {
      decision.open_zones.emplace_back(zone);
    }
    if (room.Use() < Thresholds::kMaxUse) {
      below_limit.emplace_back(zone);
    }
  }
  decision.admitted = !decision.open_zones.empty();
  if (!decision.admitted && unserved >= 1 && !below_limit.empty()) {
    decision.admitted = true;
    decision.by_minimum_share = true;
    decision.open_zones = std::move(below_limit);
  }
  if (decision.admitted) {
    unserved = std::max(0.0, unserved - 1);
    this->RecordAdmitted(request.priority, now);
  } else {
    decision.retry = this->ScheduleRetry(request, now);
  }
  return decision;
}

double ServiceAdmission::UseFor(const Request& request, const Room& room,
                                TimePoint now) {
  if (request.is_retry || room.capacity_tokens <= 0) {
    return room.Use();
  }
  const double reserved =
      this->retries.DuePlaces(request.priority, now) * request.tokens;
  return room.Use() + reserved / room.capacity_tokens;
}

RetrySchedule::Retry ServiceAdmission::ScheduleRetry(const Request& request,
                                                     TimePoint now) {
  return this->retries.Schedule(request.priority,
                                this->AdmittedRate(request.priority, now),
                                MaxDelay(request), now);
}

Duration ServiceAdmission::MaxDelay(const Request& request) {
  return std::chrono::duration_cast<Duration>(
      std::max(request.remaining, Duration{0}) * kMaxDelayShare);
}

void ServiceAdmission::Advance(Rate& rate, TimePoint now) const {
  const double elapsed =
      std::chrono::duration<double>(now - rate.updated).count();
  rate.per_second *= std::exp(-std::max(0.0, elapsed) / kRateSeconds);
  rate.updated = now;
}

void ServiceAdmission::RecordAdmitted(int priority, TimePoint now) {
  Rate& rate = this->admitted[priority];
  this->Advance(rate, now);
  rate.per_second += 1 / kRateSeconds;
}

double ServiceAdmission::AdmittedRate(int priority, TimePoint now) {
  std::erase_if(this->peers, [now](const auto& entry) {
    return now - entry.second.received > kMaxReportAge;
  });
  Rate& own = this->admitted[priority];
  this->Advance(own, now);
  double sum = own.per_second;
  for (const auto& [node, peer] : this->peers) {
    const auto found = peer.per_second.find(priority);
    sum += found == peer.per_second.end() ? 0 : found->second;
  }
  return sum;
}

void ServiceAdmission::Merge(std::string_view node, const ServiceReport& report,
                             TimePoint now) {
  PeerRates rates;
  rates.received = now;
  for (const auto& rate : report.admitted) {
    if (this->priorities.contains(rate.priority) &&
        std::isfinite(rate.per_second)) {
      rates.per_second[rate.priority] =
          std::clamp(rate.per_second, 0.0, kMaxReportedRate);
    }
  }
  this->peers.insert_or_assign(std::string(node), std::move(rates));
  this->retries.Merge(node, report.reserved, now);
  this->workspaces.Merge(node, report.workspaces, now);
}

ServiceReport ServiceAdmission::MakeReport(TimePoint now) {
  this->retries.Expire(now);
  this->workspaces.Expire(now);
  std::erase_if(this->peers, [now](const auto& entry) {
    return now - entry.second.received > kMaxReportAge;
  });
  ServiceReport report;
  for (auto& [priority, rate] : this->admitted) {
    this->Advance(rate, now);
    if (rate.per_second > 0.01) {
      report.admitted.push_back({priority, rate.per_second});
    }
  }
  report.reserved = this->retries.MakeReport(now);
  report.workspaces = this->workspaces.MakeReport();
  return report;
}

}  // namespace qp::admission
