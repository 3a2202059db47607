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

/// An engine of a chain and the layers it runs for the request.
struct ChainStage {
  std::string engine;
  std::string address;
  std::uint32_t first_layer = 0;
  std::uint32_t last_layer = 0;    ///< Inclusive.
  Duration predicted_step_time{};  ///< Time of one token in this stage.
};

/// Stages that together run every layer of a model exactly once, in order.
struct Chain {
  std::vector<ChainStage> stages;
  Duration predicted_time_to_first_token{};  ///< Includes queueing and prefill.
  Duration predicted_inter_token_latency{};
};

/// The request for which a chain is chosen.
struct ChainQuery {
  const ModelSpec* model = nullptr;
  std::uint64_t prefix_hash = 0;  ///< Hash of the prompt's prefix; 0: none.
  double expected_tokens = 0;     ///< Expected length of the output.
  /// Engines that have failed the request.
  std::span<const std::string> excluded;
  double prompt_tokens = 0;
  /// Speeds by accelerator kind. An engine of a kind that is not listed has an
  /// assumed speed.
  std::span<const AcceleratorKind> kinds;
  const PrefixIndex* prefixes = nullptr;  ///< Null: ignore cached prefixes.
  /// Tightest inter-token latency target of the model's request classes; 0 if
  /// none has a target. Chains avoid links that would use up too much of it.
  Duration inter_token_latency{};
};

/// Chooses chains by the predicted time of the whole chain.
///
/// Stages are sampled with the probabilities of the maximum flow, corrected by
/// load. Load reports lag, so they are combined with this daemon's own streams
/// in flight and with the streams that other daemons are expected to send
/// before the next report. Without this, many daemons would choose the engine
/// that was idle in the last report.
///
/// Two chains are sampled. The second one is used if it is predicted to be
/// faster and none of its engines is busy. A third chain prefers engines that
/// probably cache the prompt's prefix. It is used only if its engines are not
/// more loaded, or if it is faster and none of them is busy, so that a wrong
/// prediction of the cache costs little.
class ChainRouter {
 public:
  explicit ChainRouter(std::uint64_t seed);
  ~ChainRouter();

  /// Returns nothing if the routable engines that are not excluded do not cover
  /// all layers of the model.
  std::optional<Chain> Choose(const BackendsView& backends,
                              const ChainQuery& query, TimePoint now);

  /// Sets the mean duration of the streams, which determines the rate at which
  /// load changes. Until it is set to a positive value, durations are
  /// predicted.
  void SetMeanStreamDuration(Duration mean);

  /// Counts a stream in flight on each stage of `chain` until OnFinished is
  /// called with the same chain.
  void OnStarted(const Chain& chain, TimePoint now);
  void OnFinished(const Chain& chain, TimePoint now);

  /// Corrects the predictions for an engine by `step_time`, the observed time
  /// of one token in the engine's stage. Has no effect before the first
  /// OnStarted with the engine.
  void OnObserved(std::string_view engine, Duration step_time);
  /// Corrects the predictions for the engines of a chain by an observed
  /// inter-token latency of the whole chain. The deviation is divided among the
  /// stages in proportion to their predicted step times.
  void OnObserved(const Chain& chain, Duration inter_token_latency);

  /// Replaces the measured links. A pair of availability zones that was not
  /// measured has one of the links that LinkMap assumes.
  void SetLinks(const LinkMap& links);

 private:
  struct State;
  std::unique_ptr<State> state;
};

/// Chooses a server of a plain service: the less loaded of two random ones. The
/// load is the number of this daemon's own calls plus that of other daemons'
/// calls in the last report. The report is used with a probability that falls
/// with its age, so that daemons with the same report do not all choose the
/// same server.
class ServiceRouter {
 public:
  explicit ServiceRouter(std::uint64_t seed);
  ~ServiceRouter();

  /// Returns nothing if the service has no routable server that is not
  /// excluded.
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
