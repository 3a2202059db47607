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

class LinkMap;
class PrefixIndex;

/// One engine of a chain and the layers that it runs for the request.
struct ChainStage {
  std::string engine;
  std::string address;
  std::uint32_t first_layer = 0;
  std::uint32_t last_layer = 0;  ///< Inclusive.
  Duration predicted_step{};     ///< Time of one token on this stage.
};

/// Stages that together run each layer of a model once, in order.
struct Chain {
  std::vector<ChainStage> stages;
  Duration predicted_first_token{};
  Duration predicted_inter_token_latency{};
};

struct ChainQuery {
  const ModelSpec* model = nullptr;
  std::uint64_t prefix_hash = 0;  ///< Of the prompt's prefix; 0 if none.
  double expected_tokens = 0;
  std::span<const std::string> excluded;  ///< Engines that failed it before.
  double prompt_tokens = 0;
  /// Speeds by kind; an engine of another kind has an assumed speed.
  std::span<const AcceleratorKind> kinds;
  const PrefixIndex* prefixes = nullptr;
  /// Tightest target of the model's classes; 0 if there is none. Chains avoid
  /// links that would use up too much of it.
  Duration inter_token_latency{};
};

/// Chooses chains by predicted time over the whole chain. Stages are drawn with
/// the probabilities of the maximum flow, corrected by load: reports lag, so
/// that they are combined with this daemon's own streams in flight and with
/// the streams that other daemons send before the next report, which keeps
/// many daemons from choosing the engine that last looked idle. While engines
/// are not busy, the faster of two drawn chains is taken. A third chain follows
/// the prefix cache; it is taken only while its engines are not much more
/// loaded, so that a wrong belief costs little.
class ChainRouter {
 public:
  explicit ChainRouter(std::uint64_t seed);
  ~ChainRouter();

  /// Empty if the routable engines don't cover all layers.
  std::optional<Chain> Choose(const BackendsView& backends,
                              const ChainQuery& query, TimePoint now);

  /// Mean duration of the streams, for the rate at which load changes. Until
  /// it is set, durations are predicted.
  void SetMeanStreamDuration(Duration mean);

  /// Counts a stream in flight on each stage of `chain` until OnFinished.
  void OnStarted(const Chain& chain, TimePoint now);
  void OnFinished(const Chain& chain, TimePoint now);

  /// Learns from an observed time of one token on the engine's own stage.
  void OnObserved(std::string_view engine, Duration step);
  /// Learns from an observed time between tokens of the whole chain; the
  /// stages share the deviation by their part of the predicted steps.
  void OnObserved(const Chain& chain, Duration inter_token_latency);

  /// Measured links; pairs of zones without one have an assumed link.
  void SetLinks(const LinkMap& links);

 private:
  struct State;
  std::unique_ptr<State> state;
};

/// Chooses a server of a plain service: the less loaded of a random pair, by
/// the last report as far as it is still recent and this daemon's own calls.
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
