#pragma once

#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "relay/deployment.h"
#include "relay/server.h"

namespace qp::relay {

/// One engine of a chain and the layers that it runs for the request.
struct ChainStage {
  ServerPtr server;
  LayerRange layers;
};

/// Engines that together run each layer once, in order.
struct Chain {
  std::vector<ChainStage> stages;
  double step_ms = 0;  ///< Predicted time per token.
};

/// Request and constraints for which a server or a chain is chosen.
struct ChoiceQuery {
  std::string_view availability_zone;  ///< Zone of this process.
  /// Ids of servers that must not be chosen.
  std::span<const std::string> excluded;
  double prompt_tokens = 0;
  double output_tokens = 0;  ///< Maximum number.
  /// Number of other processes that choose among the same servers. Each is
  /// assumed to have sent the same load to the same servers as this process
  /// since the last report.
  double peer_count = 0;
  /// Whether processes of other zones report their load to this one.
  bool other_zones_known = true;
  /// If not empty, zones whose chains are preferred to all others.
  std::span<const std::string> open_zones;
  /// Required first stage of the chain, not owned; null if any engine can be
  /// the first.
  const ChainStage* first_stage = nullptr;
  /// End (exclusive) of the layers to cover; 0 for all layers of the model.
  std::uint32_t end_layer = 0;
};

/// Average number of tokens that a request keeps in memory while its output
/// grows: the whole prompt and half of the output.
double MemoryTokens(double prompt_tokens, double output_tokens);

/// Chooses the chain with the lowest predicted time per token. Prefers chains
/// inside one availability zone, because links between zones have little
/// bandwidth. Engines without memory for the request are skipped.
///
/// Suspect engines are used only if no chain exists without them, and paused
/// engines only as the required first stage. An engine whose limit on requests
/// is used up is not chosen as the first stage, unless it is the required one.
/// These rules are meant for peak load during which single engines fail.
///
/// Empty if no chain of engines with enough memory covers the layers.
std::optional<Chain> ChooseChain(const EngineProfile& profile,
                                 std::span<const ServerPtr> engines,
                                 const ChoiceQuery& query, TimePoint now,
                                 std::mt19937_64& random);

/// Chooses the server of a plain service with the lowest cost, computed from
/// load, past failures and zone. Null if every usable server is paused,
/// excluded or at its limit on requests, or if no server is usable.
ServerPtr ChooseServer(std::span<const ServerPtr> servers,
                       const ChoiceQuery& query, TimePoint now,
                       std::mt19937_64& random);

/// Earliest time at which a server accepts a request of this process, if none
/// of the usable servers that a request can be sent to accepts one now: because
/// of a pause that it has asked for, or of its limit on requests. Empty if one
/// accepts requests, or if that time is unknown.
std::optional<TimePoint> EarliestPauseEnd(std::span<const ServerPtr> servers,
                                          TimePoint now);

}  // namespace qp::relay
