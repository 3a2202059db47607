#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace qp::standins {

/// State of one request on one engine.
struct KvEntry {
  std::string model;
  std::string prompt;
  /// For each layer, its digests by position.
  std::map<std::uint32_t, std::vector<std::string>> layers;
  std::uint32_t attempt = 0;               ///< Highest attempt seen.
  std::optional<std::uint32_t> cancelled;  ///< Attempts up to this one.
  std::optional<std::uint32_t> driven;     ///< Last attempt driven here.
  /// Position that `attempt` computed last, apart from rebuilt ones.
  std::optional<std::uint64_t> computed;
  std::uint64_t last_use = 0;

  /// Number of leading positions that all of these layers hold.
  std::uint64_t PositionsHeld(std::uint32_t first_layer,
                              std::uint32_t last_layer) const;
};

/// KV cache of an engine, with least recently used eviction of whole requests.
class KvCache {
 public:
  /// `capacity` counts requests; `on_evicted` sees each entry that is evicted.
  KvCache(std::size_t capacity, std::function<void(const KvEntry&)> on_evicted);

  /// Entry of a request, created if absent. References stay valid until the
  /// next call of Use, Erase or Clear.
  KvEntry& Use(const std::string& request);

  /// Null if there is none.
  KvEntry* Find(const std::string& request);

  void Erase(const std::string& request);
  void Clear();
  std::size_t size() const { return this->entries.size(); }

 private:
  void EvictOldest();

  std::size_t capacity;
  std::function<void(const KvEntry&)> on_evicted;
  std::uint64_t uses = 0;
  std::unordered_map<std::string, KvEntry> entries;
};

}  // namespace qp::standins
