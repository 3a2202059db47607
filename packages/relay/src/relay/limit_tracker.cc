#include "relay/limit_tracker.h"

#include <string>

namespace qp::relay {

void LimitTracker::RecordLimit(Server& server, double rate, TimePoint now) {
  this->Record(server, rate, now, "self");
}

void LimitTracker::RecordNoLimit(Server& server, TimePoint now) {
  this->Record(server, std::nullopt, now, "self");
}

void LimitTracker::Record(Server& server, std::optional<double> rate,
                          TimePoint stated_at, std::string_view source) {
  if (!server.request_limit.Record(rate, stated_at)) {
    return;
  }
  if (!rate) {
    this->events.Record(
        EventId::kServerLimitEnded,
        {{"server", server.record.id}, {"source", std::string(source)}});
    return;
  }
  this->events.Record(EventId::kServerLimited,
                      {{"server", server.record.id},
                       {"rate", std::to_string(*rate)},
                       {"share", std::to_string(server.request_limit.share())},
                       {"source", std::string(source)}});
}

}  // namespace qp::relay
