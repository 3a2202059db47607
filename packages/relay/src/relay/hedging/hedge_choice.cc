#include "relay/hedging/hedge_choice.h"

#include <algorithm>
#include <vector>

namespace qp::relay {

namespace {

/// Age from which a reported load is ignored, as for first tries.
constexpr Duration kMaxReportAge = std::chrono::milliseconds(500);
/// Places that a server must have free: one for the hedge and one for a first
/// try.
constexpr double kMinFreePlaces = 2;

double BusyPlaces(const Server& server, TimePoint now) {
  const bool fresh = now - server.reported_at < kMaxReportAge;
  return std::max(server.in_flight + server.peer_streams,
                  fresh ? server.reported_busy : 0);
}

bool TakesRequests(const Server& server, TimePoint now) {
  return server.AcceptsRequest(now) && !server.IsSuspect(now);
}

}  // namespace

ServiceRoom MeasureRoom(std::span<const ServerPtr> servers, TimePoint now) {
  ServiceRoom room;
  for (const auto& server : servers) {
    if (!server->IsUsable()) {
      continue;
    }
    const double places = server->record.slots;
    room.places += places;
    room.busy += TakesRequests(*server, now)
                     ? std::min(places, BusyPlaces(*server, now))
                     : places;
  }
  return room;
}

ServerPtr ChooseHedgeServer(std::span<const ServerPtr> servers,
                            const ChoiceQuery& query, const Server& first,
                            TimePoint now, std::mt19937_64& random) {
  std::vector<ServerPtr> other_zones;
  std::vector<ServerPtr> same_zone;
  for (const auto& server : servers) {
    const bool has_room =
        TakesRequests(*server, now) && !server->request_limit.RateAt(now) &&
        BusyPlaces(*server, now) + kMinFreePlaces <= server->record.slots;
    if (server.get() == &first || !has_room) {
      continue;
    }
    const auto& zone = server->record.availability_zone;
    // The load of servers in other zones can be unknown.
    if (!query.other_zones_known && zone != query.availability_zone) {
      continue;
    }
    (zone == first.record.availability_zone ? same_zone : other_zones)
        .push_back(server);
  }
  if (auto chosen = ChooseServer(other_zones, query, now, random)) {
    return chosen;
  }
  return ChooseServer(same_zone, query, now, random);
}

}  // namespace qp::relay
