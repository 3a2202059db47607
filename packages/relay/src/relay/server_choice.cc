#include "relay/server_choice.h"

#include <algorithm>
#include <limits>
#include <map>

namespace qp::relay {

namespace {

/// Time to hand a token to the next engine in the same zone, in ms: network
/// delay plus the wait until the current pass of the next engine ends.
constexpr double kHopMs = 0.4;
/// Time to hand a token to an engine in another zone, in ms. Well above the
/// network delay, because all activations between zones share one link.
constexpr double kCrossZoneHopMs = 6.0;
/// Factor by which a chain in another zone must be faster to be chosen, because
/// load reports from other zones arrive later.
constexpr double kOtherZoneMinSpeedup = 3.0;
/// Largest random increase of a predicted cost, as a fraction, so that
/// processes with the same view do not all choose the same chain.
constexpr double kCostJitter = 0.15;
/// Highest fraction of an engine's memory for requests that a choice may fill.
/// Engines preempt requests when memory runs out, and the use computed here is
/// not exact: half of the time, the actual use is within a tenth of it.
constexpr double kMaxMemoryUse = 0.95;
/// Lowest fraction of free memory that the cost of an engine is divided by. An
/// engine that uses a fraction u of its memory counts as slower by 1 / (1 - u),
/// so that other engines fill up before it is full; this constant limits the
/// factor to 20.
constexpr double kMinFreeMemory = 0.05;
/// Weight of the failure rate against load for plain services: a server that
/// fails half of its requests counts as having four more requests per slot.
constexpr double kFailureWeight = 8.0;
/// Extra load of a server in another zone, in requests per slot.
constexpr double kOtherZonePenalty = 0.5;
/// Age from which a reported load is ignored.
constexpr Duration kMaxReportAge = std::chrono::milliseconds(500);

bool IsExcluded(const Server& server, const ChoiceQuery& query) {
  return std::find(query.excluded.begin(), query.excluded.end(),
                   server.record.id) != query.excluded.end();
}

double DrawJitter(std::mt19937_64& random) {
  return std::uniform_real_distribution<double>(1.0, 1.0 + kCostJitter)(random);
}

/// An engine with its predicted cost and the best chain that ends with it.
struct Candidate {
  ServerPtr server;
  LayerRange layers;    ///< Layers that it can run.
  double layer_ms = 0;  ///< Predicted cost of one layer per token.
  /// Predicted cost of the chain per token; infinity if there is no chain.
  double chain_ms = std::numeric_limits<double>::infinity();
  std::uint32_t first = 0;  ///< First layer that the engine runs in the chain.
  /// Index of the candidate before this one in the chain; -1 if none.
  int previous = -1;
  /// Whether the request may be sent to it. Further engines of a chain get
  /// their work from the engine before them.
  bool may_be_first = true;
};

class ChainSearch {
 public:
  ChainSearch(const EngineProfile& engine_profile,
              const ChoiceQuery& choice_query, TimePoint time,
              std::mt19937_64& random_source)
      : profile(engine_profile),
        query(choice_query),
        now(time),
        random(random_source),
        end_layer(choice_query.end_layer > 0 ? choice_query.end_layer
                                             : engine_profile.layers) {}

  void Add(const ServerPtr& server) {
    const auto kind =
        this->profile.accelerators.find(server->record.accelerator);
    const LayerRange layers = this->AllowedLayers(*server);
    if (kind == this->profile.accelerators.end() || layers.empty() ||
        server->record.layers.end > this->profile.layers) {
      return;
    }
    const double memory_use = this->MemoryUse(*server, kind->second);
    // The required first stage already has memory for the request.
    if (memory_use > kMaxMemoryUse && !this->IsFixedFirstStage(*server)) {
      return;
    }
    const double streams = server->in_flight + server->peer_streams +
                           this->query.peer_count * server->unreported_streams;
    const double context_ms =
        this->profile.step_ms_per_1k_context *
        (this->query.prompt_tokens + this->query.output_tokens) / 1000;
    Candidate candidate;
    candidate.server = server;
    candidate.layers = layers;
    candidate.may_be_first = this->IsFixedFirstStage(*server) ||
                             server->request_limit.HasRoom(this->now);
    candidate.layer_ms =
        kind->second.step_factor / this->profile.layers *
        (this->profile.step_ms +
         streams * (this->profile.step_ms_per_stream + context_ms)) *
        DrawJitter(this->random) / std::max(kMinFreeMemory, 1 - memory_use);
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
  /// Layers that the engine holds after the required first stage and before
  /// `end_layer`. For the required first stage itself, the layers that the
  /// query states.
  LayerRange AllowedLayers(const Server& server) const {
    const ChainStage* fixed = this->query.first_stage;
    const LayerRange held = server.record.layers;
    if (this->IsFixedFirstStage(server)) {
      return fixed->layers;
    }
    const std::uint32_t begin = fixed != nullptr ? fixed->layers.end : 0;
    const auto clip = [this, begin](std::uint32_t layer) {
      return std::clamp(layer, begin, this->end_layer);
    };
    return {clip(held.first), clip(held.end)};
  }

  bool IsFixedFirstStage(const Server& server) const {
    const ChainStage* fixed = this->query.first_stage;
    return fixed != nullptr && fixed->server.get() == &server;
  }

  /// Fraction of the engine's memory for requests that is used once this
  /// request is added.
  double MemoryUse(const Server& server, const Accelerator& kind) const {
    const auto layer_count = server.record.layers.size();
    const double free_mb =
        kind.memory_mb - layer_count * this->profile.layer_mb;
    if (free_mb <= 0) {
      return 1;
    }
    const double mb_per_token_layer =
        this->profile.kv_bytes_per_token / 1e6 / this->profile.layers;
    const double needed_token_layers =
        server.kv_token_layers + server.peer_kv_token_layers +
        this->query.peer_count * server.unreported_kv_token_layers +
        MemoryTokens(this->query.prompt_tokens, this->query.output_tokens) *
            layer_count;
    return needed_token_layers * mb_per_token_layer / free_mb;
  }

  /// Finds the best chain that ends with candidate `index`. The range of each
  /// stage ends after the range of the preceding stage, so no engine appears
  /// twice.
  void Relax(std::size_t index) {
    Candidate& next = this->candidates[index];
    const LayerRange range = next.layers;
    if (range.first == 0 && next.may_be_first) {
      next.chain_ms = range.size() * next.layer_ms;
      next.first = 0;
    }
    for (std::size_t earlier = 0; earlier < index; ++earlier) {
      const Candidate& last = this->candidates[earlier];
      const LayerRange last_range = last.layers;
      if (last_range.end >= range.end || last_range.end < range.first ||
          last.chain_ms == std::numeric_limits<double>::infinity()) {
        continue;
      }
      // Layers that both engines hold run on the faster of the two.
      const std::uint32_t handover = next.layer_ms < last.layer_ms
                                         ? std::max(range.first, last.first + 1)
                                         : last_range.end;
      const bool same_zone = last.server->record.availability_zone ==
                             next.server->record.availability_zone;
      const double total = last.chain_ms -
                           (last_range.end - handover) * last.layer_ms +
                           (range.end - handover) * next.layer_ms +
                           (same_zone ? kHopMs : kCrossZoneHopMs);
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
  TimePoint now;
  std::mt19937_64& random;
  std::uint32_t end_layer;
  std::vector<Candidate> candidates;
};

/// Finds the best chain among `engines`. A chain inside this process's own zone
/// is preferred, unless a chain inside another zone is faster by
/// kOtherZoneMinSpeedup. A chain across zones is the last resort: each prompt
/// then passes the link between zones, which carries about forty prompts per
/// second for the whole deployment.
std::optional<Chain> ChooseChainAmong(const EngineProfile& profile,
                                      std::span<const ServerPtr> engines,
                                      const ChoiceQuery& query, TimePoint now,
                                      std::mt19937_64& random) {
  std::map<std::string_view, ChainSearch> zones;
  const auto is_open = [&query](std::string_view zone) {
    return query.open_zones.empty() ||
           std::find(query.open_zones.begin(), query.open_zones.end(), zone) !=
               query.open_zones.end();
  };
  for (const auto& engine : engines) {
    if (!is_open(engine->record.availability_zone)) {
      continue;
    }
    zones
        .try_emplace(engine->record.availability_zone, profile, query, now,
                     random)
        .first->second.Add(engine);
  }
  const auto own = zones.find(query.availability_zone);
  auto best = own == zones.end() ? std::nullopt : own->second.Run();
  if (best && !query.other_zones_known) {
    return best;
  }
  double max_step_ms = best ? best->step_ms / kOtherZoneMinSpeedup
                            : std::numeric_limits<double>::infinity();
  for (auto& [zone, search] : zones) {
    if (zone == query.availability_zone) {
      continue;
    }
    auto chain = search.Run();
    if (chain && chain->step_ms < max_step_ms) {
      max_step_ms = chain->step_ms;
      best = std::move(chain);
    }
  }
  if (best || !query.open_zones.empty()) {
    return best;
  }
  ChainSearch all_zones(profile, query, now, random);
  for (const auto& engine : engines) {
    all_zones.Add(engine);
  }
  return all_zones.Run();
}

}  // namespace

double MemoryTokens(double prompt_tokens, double output_tokens) {
  return prompt_tokens + output_tokens / 2;
}

std::optional<Chain> ChooseChain(const EngineProfile& profile,
                                 std::span<const ServerPtr> engines,
                                 const ChoiceQuery& query, TimePoint now,
                                 std::mt19937_64& random) {
  std::vector<ServerPtr> not_suspect;
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
      not_suspect.push_back(engine);
    }
  }
  auto chain = ChooseChainAmong(profile, not_suspect, query, now, random);
  ChoiceQuery any_zone = query;
  any_zone.open_zones = {};
  if (!chain && !query.open_zones.empty()) {
    chain = ChooseChainAmong(profile, not_suspect, any_zone, now, random);
  }
  if (!chain && not_suspect.size() < usable.size()) {
    chain = ChooseChainAmong(profile, usable, any_zone, now, random);
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
        !server->AcceptsRequest(now)) {
      continue;
    }
    const bool fresh = now - server->reported_at < kMaxReportAge;
    const double load =
        std::max(server->in_flight + server->peer_streams,
                 fresh ? server->reported_busy : 0) /
            static_cast<double>(std::max(1u, server->record.slots)) +
        kFailureWeight * server->failure_rate +
        (server->record.availability_zone == query.availability_zone
             ? 0
             : kOtherZonePenalty) +
        (server->IsSuspect(now) ? 100.0 : 0.0) + DrawJitter(random);
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
    const LayerRange layers = server->record.layers;
    const bool can_be_first = layers.empty() || layers.first == 0;
    if (!server->IsUsable() || !can_be_first) {
      continue;
    }
    if (server->AcceptsRequest(now)) {
      return std::nullopt;
    }
    if (const auto accepts_at = server->AcceptsRequestAt(now)) {
      end = std::min(end.value_or(*accepts_at), *accepts_at);
    }
  }
  return end;
}

}  // namespace qp::relay
