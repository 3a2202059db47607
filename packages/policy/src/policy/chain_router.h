#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "blackboard/views.h"
#include "config/configuration.h"
#include "foundation/clock.h"

namespace qp::policy {

/// One engine of a chain and the layers that it runs for the request.
struct ChainStage {
  std::string engine;
  std::string address;
  std::uint32_t first_layer = 0;
  std::uint32_t last_layer = 0;  ///< Inclusive.
};

/// Stages that together run each layer of a model once, in order.
struct Chain {
  std::vector<ChainStage> stages;
  Duration predicted_first_token{};
  Duration predicted_between_tokens{};
};

struct ChainQuery {
  const ModelSpec* model = nullptr;
  std::uint64_t prefix_hash = 0;  ///< Of the prompt's prefix; 0 if none.
  double expected_tokens = 0;
  std::span<const std::string> excluded;  ///< Engines that failed it before.
};

/// Chooses chains by predicted time over the whole chain. Load reports lag, so
/// they are corrected by what this daemon itself has in flight; a random pair
/// of candidates keeps many daemons from choosing the same engine.
class ChainRouter {
 public:
  explicit ChainRouter(std::uint64_t seed);
  ~ChainRouter();

  /// Empty if the routable engines don't cover all layers.
  std::optional<Chain> Choose(const BackendsView& backends,
                              const ChainQuery& query, TimePoint now);

  /// Counts a stream in flight on each stage of `chain` until OnFinished.
  void OnStarted(const Chain& chain, TimePoint now);
  void OnFinished(const Chain& chain, TimePoint now);

  /// Learns from an observed time; corrects the prediction for the engine.
  void OnObserved(std::string_view engine, Duration between_tokens);

 private:
  struct State;
  std::unique_ptr<State> state;
};

/// Chooses a server of a plain service: the less loaded of a random pair.
class ServiceRouter {
 public:
  explicit ServiceRouter(std::uint64_t seed);
  ~ServiceRouter();

  /// Empty if no server of the service is routable.
  std::optional<Backend> Choose(const BackendsView& backends,
                                std::string_view service,
                                std::span<const std::string> excluded);
  void OnStarted(std::string_view server);
  void OnFinished(std::string_view server);

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace qp::policy
