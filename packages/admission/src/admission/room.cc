#include "admission/room.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace qp::admission {

namespace {

bool IsValid(const EngineMemory& engine, std::uint32_t layers) {
  return engine.first_layer < engine.end_layer && engine.end_layer <= layers &&
         std::isfinite(engine.capacity_tokens) && engine.capacity_tokens > 0 &&
         std::isfinite(engine.used_tokens) && engine.used_tokens >= 0;
}

}  // namespace

Room EstimateRoom(std::uint32_t layers, std::span<const EngineMemory> engines) {
  std::vector<Room> by_layer(layers);
  for (const auto& engine : engines) {
    if (!IsValid(engine, layers)) {
      continue;
    }
    for (auto layer = engine.first_layer; layer < engine.end_layer; ++layer) {
      Room& room = by_layer[layer];
      room.capacity_tokens += engine.capacity_tokens;
      room.used_tokens += engine.used_tokens;
      room.largest_engine_tokens =
          std::max(room.largest_engine_tokens, engine.used_tokens);
    }
  }
  const auto bottleneck = std::max_element(
      by_layer.begin(), by_layer.end(), [](const Room& a, const Room& b) {
        const bool a_missing = a.capacity_tokens <= 0;
        const bool b_missing = b.capacity_tokens <= 0;
        return a_missing == b_missing ? a.Use() < b.Use() : b_missing;
      });
  return bottleneck == by_layer.end() ? Room{} : *bottleneck;
}

}  // namespace qp::admission
