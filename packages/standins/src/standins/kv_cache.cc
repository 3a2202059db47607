#include "standins/kv_cache.h"

#include <algorithm>
#include <limits>

namespace qp::standins {

std::uint64_t KvEntry::PositionsHeld(std::uint32_t first_layer,
                                     std::uint32_t last_layer) const {
  std::uint64_t held = std::numeric_limits<std::uint64_t>::max();
  for (std::uint32_t layer = first_layer; layer <= last_layer; ++layer) {
    const auto found = this->layers.find(layer);
    const std::uint64_t here =
        found == this->layers.end() ? 0 : found->second.size();
    held = std::min(held, here);
  }
  return held;
}

KvCache::KvCache(std::size_t limit,
                 std::function<void(const KvEntry&)> callback)
    : capacity(limit), on_evicted(std::move(callback)) {}

KvEntry& KvCache::Use(const std::string& request) {
  if (!this->entries.contains(request) &&
      this->entries.size() >= this->capacity) {
    this->EvictOldest();
  }
  KvEntry& entry = this->entries[request];
  entry.last_use = ++this->uses;
  return entry;
}

KvEntry* KvCache::Find(const std::string& request) {
  const auto found = this->entries.find(request);
  return found == this->entries.end() ? nullptr : &found->second;
}

void KvCache::Erase(const std::string& request) {
  this->entries.erase(request);
}

void KvCache::Clear() { this->entries.clear(); }

void KvCache::EvictOldest() {
  const auto oldest =
      std::min_element(this->entries.begin(), this->entries.end(),
                       [](const auto& left, const auto& right) {
                         return left.second.last_use < right.second.last_use;
                       });
  if (oldest != this->entries.end()) {
    this->on_evicted(oldest->second);
    this->entries.erase(oldest);
  }
}

}  // namespace qp::standins
