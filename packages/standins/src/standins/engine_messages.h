#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foundation/error.h"
#include "http/message.h"

namespace qp::standins {

/// Inclusive range of layers.
struct LayerRange {
  std::uint32_t first = 0;
  std::uint32_t last = 0;
};

struct Stage {
  std::string engine;
  std::string address;
  LayerRange layers;
};

/// Body of POST /v1/engine/streams.
struct StreamOrder {
  std::string request;
  std::uint32_t attempt = 0;
  std::string model;
  std::string prompt;
  std::vector<std::string> tokens;
  std::uint64_t max_tokens = 0;
  std::uint32_t priority = 0;
  std::uint64_t deadline_ms = 0;  ///< 0: none.
  std::vector<Stage> route;
};

/// Body of POST /v1/engine/step. `route` holds the stages after the receiver.
/// `model` and `prompt` are needed because the layers' digests cover them;
/// without them the receiver uses those of an earlier step.
struct Step {
  std::string request;
  std::uint32_t attempt = 0;
  std::uint64_t position = 0;
  std::string activation;  ///< For layer 0: the token before, or the prompt.
  bool rebuild = false;
  std::vector<Stage> route;
  std::optional<std::string> model;
  std::optional<std::string> prompt;
  std::optional<LayerRange> layers;  ///< All that the receiver holds if empty.
};

/// Result of a step on this and all following stages.
struct StepOutput {
  std::string activation;
  std::string token;  ///< Empty unless the model's last layer was run.
  LayerRange layers;
};

/// Why a step or a stream ended; `peer` names the engine.
struct StepFailure {
  http::Status status = http::Status::conflict;
  std::string code;
  std::string peer;
  std::string step;
  std::uint64_t have = 0;  ///< With kv_missing: positions that are there.
};

template <class T>
using StepResult =
    boost::outcome_v2::basic_result<T, StepFailure,
                                    boost::outcome_v2::policy::terminate>;

void from_json(const nlohmann::json& document, LayerRange& layers);
void from_json(const nlohmann::json& document, Stage& stage);
void to_json(nlohmann::json& document, const Stage& stage);
void from_json(const nlohmann::json& document, StreamOrder& order);
void from_json(const nlohmann::json& document, Step& step);
void to_json(nlohmann::json& document, const Step& step);
void from_json(const nlohmann::json& document, StepOutput& output);
void to_json(nlohmann::json& document, const StepOutput& output);
void from_json(const nlohmann::json& document, StepFailure& failure);
void to_json(nlohmann::json& document, const StepFailure& failure);

}  // namespace qp::standins
