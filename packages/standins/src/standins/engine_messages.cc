#include "standins/engine_messages.h"

namespace qp::standins {

namespace {

template <class T>
std::optional<T> Optional(const nlohmann::json& document, const char* key) {
  const auto found = document.find(key);
  if (found == document.end() || found->is_null()) {
    return std::nullopt;
  }
  return found->get<T>();
}

}  // namespace

void from_json(const nlohmann::json& document, LayerRange& layers) {
  document.at("first_layer").get_to(layers.first);
  document.at("last_layer").get_to(layers.last);
}

void from_json(const nlohmann::json& document, Stage& stage) {
  document.at("engine").get_to(stage.engine);
  document.at("address").get_to(stage.address);
  document.get_to(stage.layers);
}

void to_json(nlohmann::json& document, const Stage& stage) {
  document = {{"engine", stage.engine},
              {"address", stage.address},
              {"first_layer", stage.layers.first},
              {"last_layer", stage.layers.last}};
}

void from_json(const nlohmann::json& document, StreamOrder& order) {
  document.at("request").get_to(order.request);
  document.at("attempt").get_to(order.attempt);
  document.at("model").get_to(order.model);
  document.at("prompt").get_to(order.prompt);
  document.at("tokens").get_to(order.tokens);
  document.at("max_tokens").get_to(order.max_tokens);
  order.priority = document.value("priority", 0U);
  order.deadline_ms = document.value("deadline_ms", std::uint64_t{0});
  document.at("route").get_to(order.route);
}

void from_json(const nlohmann::json& document, Step& step) {
  document.at("request").get_to(step.request);
  document.at("attempt").get_to(step.attempt);
  document.at("position").get_to(step.position);
  document.at("activation").get_to(step.activation);
  step.rebuild = document.value("rebuild", false);
  if (document.contains("route")) {
    document.at("route").get_to(step.route);
  }
  step.model = Optional<std::string>(document, "model");
  step.prompt = Optional<std::string>(document, "prompt");
  if (document.contains("first_layer")) {
    step.layers = document.get<LayerRange>();
  }
}

void to_json(nlohmann::json& document, const Step& step) {
  document = {{"request", step.request},   {"attempt", step.attempt},
              {"position", step.position}, {"activation", step.activation},
              {"rebuild", step.rebuild},   {"route", step.route}};
  if (step.model) {
    document["model"] = *step.model;
  }
  if (step.prompt) {
    document["prompt"] = *step.prompt;
  }
  if (step.layers) {
    document["first_layer"] = step.layers->first;
    document["last_layer"] = step.layers->last;
  }
}

void from_json(const nlohmann::json& document, StepOutput& output) {
  output.activation = document.value("activation", "");
  output.token = document.value("token", "");
  document.get_to(output.layers);
}

void to_json(nlohmann::json& document, const StepOutput& output) {
  document = {{"first_layer", output.layers.first},
              {"last_layer", output.layers.last}};
  if (!output.activation.empty()) {
    document["activation"] = output.activation;
  }
  if (!output.token.empty()) {
    document["token"] = output.token;
  }
}

void from_json(const nlohmann::json& document, StepFailure& failure) {
  const nlohmann::json& error = document.at("error");
  error.at("code").get_to(failure.code);
  failure.peer = error.value("peer", "");
  failure.step = error.value("step", "");
  failure.have = error.value("have", std::uint64_t{0});
}

void to_json(nlohmann::json& document, const StepFailure& failure) {
  nlohmann::json error = {
      {"code", failure.code}, {"peer", failure.peer}, {"step", failure.step}};
  if (failure.code == "kv_missing") {
    error["have"] = failure.have;
  }
  document = {{"error", error}};
}

}  // namespace qp::standins
