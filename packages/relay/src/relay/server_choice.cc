#include "relay/server_choice.h"

#include <algorithm>
#include <limits>
#include <map>

namespace qp::relay {

namespace {

/// Time of a token's way to the next engine of the zone, in ms: network delay
/// and the wait for a pass to end.
constexpr double kHopMs = 0.4;
/// The same to another zone. Well above the delay, since all activations
/// between zones share one pipe.
constexpr double kZoneHopMs = 6.0;
/// A chain in another zone must be faster by this factor, as the load there is
/// known later.
constexpr double kOtherZoneFactor = 3.0;
/// Spread of predictions, so that processes with the same view don't all
/// choose the same chain.
constexpr double kNoise = 0.15;
/// Part of an engine's memory that may be planned for. Engines preempt
/// requests when memory runs out; what they use is within a tenth of what is
/// counted here for half of the time.
constexpr double kMemoryUse = 0.95;
/// An engine whose memory is taken up to u counts as slower by 1 / (1 - u), so
/// that others fill up before it is full. Bounds that factor.
constexpr double kLeastRoom = 0.05;
/// Weight of the failure rate against load for plain services: a server that
/// fails half of its requests counts as having some four more in flight.
constexpr double kFailureWeight = 8.0;
/// Extra load, in requests, that another zone counts for.
constexpr double kOtherZoneLoad = 0.5;
/// Age at which a reported load is no longer used.
constexpr Duration kReportAge = std::chrono::milliseconds(500);

bool IsExcluded(const Server& server, const ChoiceQuery& query) {
  return std::find(query.excluded.begin(), query.excluded.end(),
                   server.record.id) != query.excluded.end();
}

double Spread(std::mt19937_64& random) {
  return std::uniform_real_distribution<double>(1.0, 1.0 + kNoise)(random);
}

/// An engine with its predicted cost, and the best chain that ends with it.
struct Candidate {
  ServerPtr server;
  LayerRange layers;  ///< Those that it may run.
  double layer_ms = 0;
  double chain_ms = std::numeric_limits<double>::infinity();
  std::uint32_t first = 0;  ///< Of the layers it runs in that chain.
  int previous = -1;
};

class ChainSearch {
 public:
  ChainSearch(const EngineProfile& model, const ChoiceQuery& asked,
              std::mt19937_64& source)
      : profile(model),
        query(asked),
        random(source),
        end_layer(asked.end_layer > 0 ? asked.end_layer : model.layers) {}

  void Add(const ServerPtr& server) {
    const auto kind =
        this->profile.accelerators.find(server->record.accelerator);
    const LayerRange layers = this->AllowedLayers(*server);
    if (kind == this->profile.accelerators.end() || layers.empty() ||
        server->record.layers.end > this->profile.layers) {
      return;
    }
    const double taken = this->MemoryTaken(*server, kind->second);
    // What is fixed has its memory already.
    if (taken > kMemoryUse && !this->IsFixed(*server)) {
      return;
    }
    const double streams = server->in_flight + server->peer_streams +
                           this->query.peers * server->unreported_streams;
    const double context_ms =
        this->profile.step_ms_per_1k_context *
        (this->query.prompt_tokens + this->query.output_tokens) / 1000;
    Candidate candidate;
    candidate.server = server;
    candidate.layers = layers;
    candidate.layer_ms =
        kind->second.step_factor / this->profile.layers *
        (this->profile.step_ms +
         streams * (this->profile.step_ms_per_stream + context_ms)) *
        Spread(this->random) / std::max(kLeastRoom, 1 - taken);
    this->candidates.push_back(std::move(candidate));
  }

  std::optional<Chain> Run() {
    std::sort(this->candidates.begin(), this->candidates.end(),
              [](const Candidate& a, const Candidate& b) {
                return a.layers.end < b.layers.end;
              });
    for (std::size_t index = 0; index < this->candidates.size(); ++index) {
      this->Relax(index);
    }
    return this->BestChain();
  }

 private:
  /// What the engine holds, less what a fixed first stage does not leave to it.
  LayerRange AllowedLayers(const Server& server) const {
    const ChainStage* fixed = this->query.first_stage;
    const LayerRange held = server.record.layers;
    if (this->IsFixed(server)) {
      return fixed->layers;
    }
    const std::uint32_t begin = fixed != nullptr ? fixed->layers.end : 0;
    const auto clip = [this, begin](std::uint32_t layer) {
      return std::clamp(layer, begin, this->end_layer);
    };
    return {clip(held.first), clip(held.end)};
  }

  bool IsFixed(const Server& server) const {
    const ChainStage* fixed = this->query.first_stage;
    return fixed != nullptr && fixed->server.get() == &server;
  }

  /// Part of the engine's memory for requests that would be taken.
  double MemoryTaken(const Server& server, const Accelerator& kind) const {
    const auto held = server.record.layers.size();
    const double free_mb = kind.memory_mb - held * this->profile.layer_mb;
    if (free_mb <= 0) {
      return 1;
    }
    const double mb_per_token_layer =
        this->profile.kv_bytes_per_token / 1e6 / this->profile.layers;
    const double wanted =
        server.kv_token_layers + server.peer_kv_token_layers +
        this->query.peers * server.unreported_kv_token_layers +
        MemoryTokens(this->query.prompt_tokens, this->query.output_tokens) *
            held;
    return wanted * mb_per_token_layer / free_mb;
  }

  /// Finds the best chain that ends with candidate `index`. Ends of layers
  /// grow strictly along a chain, so no engine comes twice.
  void Relax(std::size_t index) {
    Candidate& next = this->candidates[index];
    const LayerRange range = next.layers;
    if (range.first == 0) {
      next.chain_ms = range.size() * next.layer_ms;
      next.first = 0;
    }
    for (std::size_t earlier = 0; earlier < index; ++earlier) {
      const Candidate& last = this->candidates[earlier];
      const LayerRange held = last.layers;
      if (held.end >= range.end || held.end < range.first ||
          last.chain_ms == std::numeric_limits<double>::infinity()) {
        continue;
      }
      // Layers that both hold run on the faster one.
      const std::uint32_t handover = next.layer_ms < last.layer_ms
                                         ? std::max(range.first, last.first + 1)
                                         : held.end;
      const bool same_zone = last.server->record.availability_zone ==
                             next.server->record.availability_zone;
      const double total = last.chain_ms -
                           (held.end - handover) * last.layer_ms +
                           (range.end - handover) * next.layer_ms +
                           (same_zone ? kHopMs : kZoneHopMs);
      if (total < next.chain_ms) {
        next.chain_ms = total;
        next.first = handover;
        next.previous = static_cast<int>(earlier);
      }
    }
  }

  std::optional<Chain> BestChain() const {
    int best = -1;
    for (std::size_t index = 0; index < this->candidates.size(); ++index) {
      const Candidate& last = this->candidates[index];
      const bool complete =
          last.layers.end == this->end_layer &&
          last.chain_ms < std::numeric_limits<double>::infinity();
      if (complete &&
          (best < 0 || last.chain_ms < this->candidates[best].chain_ms)) {
        best = static_cast<int>(index);
      }
    }
    if (best < 0) {
      return std::nullopt;
    }
    Chain chain;
    chain.step_ms = this->candidates[best].chain_ms;
    std::uint32_t end = this->end_layer;
    for (int index = best; index >= 0;
         index = this->candidates[index].previous) {
      const Candidate& stage = this->candidates[index];
      chain.stages.push_back({stage.server, {stage.first, end}});
      end = stage.first;
    }
    std::reverse(chain.stages.begin(), chain.stages.end());
    return chain;
  }

  const EngineProfile& profile;
  const ChoiceQuery& query;
  std::mt19937_64& random;
  std::uint32_t end_layer;
  std::vector<Candidate> candidates;
};

/// Best chain over the engines given. A chain inside of the own zone goes
/// first, unless one inside of another zone is faster by far. A chain over
/// several zones is the last resort: each prompt passes the pipe between them,
/// which carries some forty prompts a second for the whole deployment.
std::optional<Chain> ChooseAmong(const EngineProfile& profile,
                                 std::span<const ServerPtr> engines,
                                 const ChoiceQuery& query,
                                 std::mt19937_64& random) {
  std::map<std::string_view, ChainSearch> zones;
  for (const auto& engine : engines) {
    zones.try_emplace(engine->record.availability_zone, profile, query, random)
        .first->second.Add(engine);
  }
  const auto own = zones.find(query.availability_zone);
  auto best = own == zones.end() ? std::nullopt : own->second.Run();
  if (best && !query.other_zones_known) {
    return best;
  }
  double bound = best ? best->step_ms / kOtherZoneFactor
                      : std::numeric_limits<double>::infinity();
  for (auto& [zone, search] : zones) {
    if (zone == query.availability_zone) {
      continue;
    }
    auto chain = search.Run();
    if (chain && chain->step_ms < bound) {
      bound = chain->step_ms;
      best = std::move(chain);
    }
  }
  if (best) {
    return best;
  }
  ChainSearch everywhere(profile, query, random);
  for (const auto& engine : engines) {
    everywhere.Add(engine);
  }
  return everywhere.Run();
}

}  // namespace

double MemoryTokens(double prompt_tokens, double output_tokens) {
  return prompt_tokens + output_tokens / 2;
}

std::optional<Chain> ChooseChain(const EngineProfile& profile,
                                 std::span<const ServerPtr> engines,
                                 const ChoiceQuery& query, TimePoint now,
                                 std::mt19937_64& random) {
  std::vector<ServerPtr> trusted;
  std::vector<ServerPtr> usable;
  for (const auto& engine : engines) {
    const bool fixed =
        query.first_stage != nullptr && query.first_stage->server == engine;
    if (!engine->IsUsable() || IsExcluded(*engine, query) ||
        (engine->IsPaused(now) && !fixed)) {
      continue;
    }
    usable.push_back(engine);
    if (fixed || !engine->IsSuspect(now)) {
      trusted.push_back(engine);
    }
  }
  auto chain = ChooseAmong(profile, trusted, query, random);
  if (!chain && trusted.size() < usable.size()) {
    chain = ChooseAmong(profile, usable, query, random);
  }
  return chain;
}

ServerPtr ChooseServer(std::span<const ServerPtr> servers,
                       const ChoiceQuery& query, TimePoint now,
                       std::mt19937_64& random) {
  ServerPtr best;
  double best_load = 0;
  for (const auto& server : servers) {
    if (!server->IsUsable() || IsExcluded(*server, query) ||
        server->IsPaused(now)) {
      continue;
    }
    const bool fresh = now - server->reported_at < kReportAge;
    const double load =
        std::max(server->in_flight + server->peer_streams,
                 fresh ? server->reported_busy : 0) /
            static_cast<double>(std::max(1u, server->record.slots)) +
        kFailureWeight * server->failure_rate +
        (server->record.availability_zone == query.availability_zone
             ? 0
             : kOtherZoneLoad) +
        (server->IsSuspect(now) ? 100.0 : 0.0) + Spread(random);
    if (best == nullptr || load < best_load) {
      best = server;
      best_load = load;
    }
  }
  return best;
}

std::optional<TimePoint> EarliestPauseEnd(std::span<const ServerPtr> servers,
                                          TimePoint now) {
  std::optional<TimePoint> end;
  for (const auto& server : servers) {
    if (!server->IsUsable()) {
      continue;
    }
    if (!server->IsPaused(now)) {
      return std::nullopt;
    }
    end = std::min(end.value_or(server->paused_until), server->paused_until);
  }
  return end;
}

}  // namespace qp::relay
