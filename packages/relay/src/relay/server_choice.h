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
  double step_ms = 0;  ///< Predicted time of one token.
};

/// What a choice is made for.
struct ChoiceQuery {
  std::string_view availability_zone;     ///< Of this process.
  std::span<const std::string> excluded;  ///< Servers that failed the request.
  double prompt_tokens = 0;
  double output_tokens = 0;
  /// Other processes that choose among the same servers. Each is taken to have
  /// sent as much as this one since the last report, and to the same servers.
  double peers = 0;
  /// Whether processes of other zones report their load to this one.
  bool other_zones_known = true;
  /// First stage of the chain, where that is fixed; null if it may be any.
  const ChainStage* first_stage = nullptr;
  /// End of the layers that are asked for; 0 for all of the model.
  std::uint32_t end_layer = 0;
};

/// Tokens for which a request takes memory: its prompt all the time, its output
/// as it grows, half of it on average.
double MemoryTokens(double prompt_tokens, double output_tokens);

/// Chooses the chain with the least predicted time for a token, inside of one
/// availability zone where that is possible, since the pipes between zones are
/// narrow. An engine without memory for the request is passed over.
///
/// Answers the load of a busy hour with single engines lost: suspected
/// engines are used only where the model can't be covered without them, and
/// paused ones never, but as the first stage that is fixed.
/// Empty if no chain covers the model or none has memory left.
std::optional<Chain> ChooseChain(const EngineProfile& profile,
                                 std::span<const ServerPtr> engines,
                                 const ChoiceQuery& query, TimePoint now,
                                 std::mt19937_64& random);

/// Chooses a server of a plain service by load, past failures and zone. Null
/// if none is usable and takes requests.
ServerPtr ChooseServer(std::span<const ServerPtr> servers,
                       const ChoiceQuery& query, TimePoint now,
                       std::mt19937_64& random);

/// When the first pause ends, if all usable servers have asked this process
/// for one. Empty if one of them takes requests, or if there is none.
std::optional<TimePoint> EarliestPauseEnd(std::span<const ServerPtr> servers,
                                          TimePoint now);

}  // namespace qp::relay
