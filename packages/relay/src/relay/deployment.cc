#include "relay/deployment.h"

#include <algorithm>
#include <tuple>

namespace qp::relay {

bool ServerRecord::operator==(const ServerRecord& other) const {
  const auto members = [](const ServerRecord& record) {
    return std::tie(record.id, record.service, record.address,
                    record.availability_zone, record.slots, record.draining,
                    record.incarnation, record.accelerator, record.layers);
  };
  return members(*this) == members(other);
}

std::uint32_t EngineProfile::LayersThatFit(std::string_view kind,
                                           double kv_tokens) const {
  const auto found = this->accelerators.find(kind);
  if (found == this->accelerators.end() || this->layers == 0) {
    return 0;
  }
  constexpr double kBytesPerMb = 1e6;
  const double kv_mb_per_layer =
      kv_tokens * this->kv_bytes_per_token / this->layers / kBytesPerMb;
  const double fitting =
      found->second.memory_mb / (this->layer_mb + kv_mb_per_layer);
  return std::min(this->layers, static_cast<std::uint32_t>(fitting));
}

}  // namespace qp::relay
