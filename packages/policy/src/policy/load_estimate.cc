#include "policy/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace qp::policy {

namespace {

/// A report older than this is not corrected by single changes.
constexpr Duration kMostReportAge = std::chrono::seconds(10);

}  // namespace

void LoadEstimate::OnStarted(std::string_view engine, TimePoint now) {
  this->Record(engine, now, 1);
}

void LoadEstimate::OnFinished(std::string_view engine, TimePoint now) {
  this->Record(engine, now, -1);
}

void LoadEstimate::Record(std::string_view engine, TimePoint now, int streams) {
  auto found = this->engines.find(engine);
  if (found == this->engines.end()) {
    if (streams < 0) {
      return;
    }
    found = this->engines.emplace(engine, Own{}).first;
  }
  Own& own = found->second;
  if (own.in_flight + streams < 0) {
    return;
  }
  own.in_flight += streams;
  own.changes.push_back({now, streams});
  while (own.changes.front().at + kMostReportAge < now) {
    own.changes.pop_front();
  }
  if (own.in_flight == 0 && own.changes.empty()) {
    this->engines.erase(found);
  }
}

LoadEstimate::Snapshot LoadEstimate::At(const Backend& engine) const {
  const double reported = static_cast<double>(engine.running) + engine.queued;
  const auto found = this->engines.find(engine.name);
  if (found == this->engines.end()) {
    return {0, reported};
  }
  int own_then = found->second.in_flight;
  const auto& changes = found->second.changes;
  for (auto change = changes.rbegin();
       change != changes.rend() && change->at > engine.reported_at; ++change) {
    own_then -= change->streams;
  }
  return {static_cast<double>(found->second.in_flight),
          std::max(reported - own_then, 0.0)};
}

double LoadEstimate::Streams(const Backend& engine, const Snapshot& snapshot,
                             const Drift& drift, TimePoint now) {
  const std::chrono::duration<double> age =
      std::max<Duration>(now - engine.reported_at, Duration::zero());
  const double kept =
      drift.stream_time.count() > 0 ? std::exp(-age / drift.stream_time) : 1;
  return snapshot.own + kept * snapshot.others +
         (1 - kept) * drift.others_per_slot * engine.slots;
}

}  // namespace qp::policy
