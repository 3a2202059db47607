#include "relay/admission/zone_rooms.h"

#include <algorithm>
#include <map>

namespace qp::relay {

namespace {

admission::EngineMemory MemoryOf(const Server& server,
                                 const EngineProfile& profile,
                                 const Accelerator& kind,
                                 const LoadAssumptions& assumptions) {
  const LayerRange layers = server.record.layers;
  const double layer_count = layers.size();
  const double free_mb = kind.memory_mb - layer_count * profile.layer_mb;
  const double mb_per_token =
      profile.kv_bytes_per_token / 1e6 / profile.layers * layer_count;
  admission::EngineMemory memory;
  memory.first_layer = layers.first;
  memory.end_layer = layers.end;
  memory.capacity_tokens = std::max(0.0, free_mb / mb_per_token);
  const double known_count =
      1 + assumptions.peer_count - assumptions.silent_peer_count;
  const double silent_share = assumptions.silent_peer_count / known_count;
  memory.used_tokens =
      (server.kv_token_layers + server.peer_kv_token_layers +
       server.unreported_kv_token_layers * assumptions.peer_count) *
      (1 + silent_share) / layer_count;
  return memory;
}

}  // namespace

std::vector<admission::ZoneRoom> EstimateZoneRooms(
    const EngineProfile& profile, std::span<const ServerPtr> engines,
    std::string_view own_zone, const LoadAssumptions& assumptions,
    TimePoint now) {
  std::map<std::string_view, std::vector<admission::EngineMemory>> by_zone;
  for (const auto& engine : engines) {
    const auto kind = profile.accelerators.find(engine->record.accelerator);
    // A chain that is silent makes all of its engines suspect for a short time,
    // but only a failure of its own takes an engine out.
    const bool has_failed =
        engine->consecutive_failures > 0 && now < engine->suspect_until;
    if (!engine->IsUsable() || engine->record.layers.empty() || has_failed ||
        kind == profile.accelerators.end()) {
      continue;
    }
    by_zone[engine->record.availability_zone].push_back(
        MemoryOf(*engine, profile, kind->second, assumptions));
  }
  std::vector<admission::ZoneRoom> rooms;
  for (const auto& [zone, memory] : by_zone) {
    const admission::Room room =
        admission::EstimateRoom(profile.layers, memory);
    if (room.capacity_tokens > 0) {
      rooms.push_back({zone, room, zone == own_zone});
    }
  }
  return rooms;
}

}  // namespace qp::relay
