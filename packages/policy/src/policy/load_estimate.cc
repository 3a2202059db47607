#include "policy/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace qp::policy {

namespace {

/// Minimum time for which changes are kept. The estimate from an older report
/// is not corrected by changes that were already dropped.
constexpr Duration kMaxReportAge = std::chrono::seconds(10);

}  // namespace

void LoadEstimate::OnStarted(std::string_view engine, TimePoint now) {
  this->RecordChange(engine, now, 1);
}

void LoadEstimate::OnFinished(std::string_view engine, TimePoint now) {
  this->RecordChange(engine, now, -1);
}

void LoadEstimate::RecordChange(std::string_view engine, TimePoint now,
                                int streams) {
  auto found = this->engines.find(engine);
  if (found == this->engines.end()) {
    if (streams < 0) {
      return;
    }
    found = this->engines.emplace(engine, OwnStreams{}).first;
  }
  OwnStreams& own = found->second;
  if (own.in_flight + streams < 0) {
    return;
  }
  own.in_flight += streams;
  own.changes.push_back({now, streams});
  while (own.changes.front().at + kMaxReportAge < now) {
    own.changes.pop_front();
  }
  if (own.in_flight == 0 && own.changes.empty()) {
    this->engines.erase(found);
  }
}

LoadEstimate::Snapshot LoadEstimate::SnapshotOf(const Backend& engine) const {
  const double reported = static_cast<double>(engine.running) + engine.queued;
  const auto found = this->engines.find(engine.name);
  if (found == this->engines.end()) {
    return {0, reported};
  }
  int own_at_report = found->second.in_flight;
  const auto& changes = found->second.changes;
  for (auto change = changes.rbegin();
       change != changes.rend() && change->at > engine.reported_at; ++change) {
    own_at_report -= change->streams;
  }
  return {static_cast<double>(found->second.in_flight),
          std::max(reported - own_at_report, 0.0)};
}

double LoadEstimate::TotalStreams(const Backend& engine,
                                  const Snapshot& snapshot, const Drift& drift,
                                  TimePoint now) {
  const std::chrono::duration<double> age =
      std::max<Duration>(now - engine.reported_at, Duration::zero());
  const double retained = drift.mean_stream_duration.count() > 0
                              ? std::exp(-age / drift.mean_stream_duration)
                              : 1;
  return snapshot.own + retained * snapshot.others +
         (1 - retained) * drift.others_per_slot * engine.slots;
}

}  // namespace qp::policy
