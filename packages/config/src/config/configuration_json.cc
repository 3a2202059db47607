#include "config/configuration_json.h"

#include <cmath>
#include <nlohmann/json.hpp>

namespace qp {

namespace {

constexpr double kMaxTargetMillis = 3'600'000;
constexpr double kMaxRate = 1e9;   // per second
constexpr double kMaxPrice = 1e6;  // per hour
constexpr std::uint64_t kMaxLayers = 4096;
constexpr std::size_t kSha256HexDigits = 64;

double ToMillis(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

Duration FromMillis(double millis) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(millis));
}

Target ParseTarget(JsonReader& reader) {
  Target target;
  target.first_token =
      FromMillis(reader.Number("first_token_ms", 1, kMaxTargetMillis));
  target.between_tokens =
      FromMillis(reader.NumberOr("between_tokens_ms", 0, kMaxTargetMillis, 0));
  target.share = reader.NumberOr("share", 0, 1, target.share);
  target.requests_per_second =
      reader.Number("requests_per_second", 0, kMaxRate);
  target.tokens_per_second =
      reader.NumberOr("tokens_per_second", 0, kMaxRate, 0);
  return target;
}

RequestClass ParseClass(JsonReader& reader) {
  RequestClass item;
  item.name = reader.String("name");
  item.model = reader.StringOr("model", "");
  item.service = reader.StringOr("service", "");
  item.operation = reader.StringOr("operation", "");
  item.idempotent = reader.BoolOr("idempotent", true);
  reader.Object("target",
                [&](JsonReader& target) { item.target = ParseTarget(target); });
  if (item.model.empty() == item.service.empty()) {
    reader.Report("model", "either a model or a service");
  }
  if (!item.service.empty() && item.operation.empty()) {
    reader.Report("operation", "the operation of the service");
  }
  if (!item.model.empty() && !item.idempotent) {
    reader.Report("idempotent", "true, since a model's answer may be resumed");
  }
  return item;
}

ModelSpec ParseModel(JsonReader& reader) {
  ModelSpec model;
  model.name = reader.String("name");
  model.layers =
      static_cast<std::uint32_t>(reader.Integer("layers", 1, kMaxLayers));
  model.layer_bytes = reader.Integer("layer_bytes", 1, std::uint64_t{1} << 50);
  model.activation_bytes =
      reader.Integer("activation_bytes", 1, std::uint64_t{1} << 40);
  return model;
}

AcceleratorKind ParseKind(JsonReader& reader) {
  AcceleratorKind kind;
  kind.name = reader.String("name");
  kind.memory_bytes = reader.Integer("memory_bytes", 1, std::uint64_t{1} << 50);
  kind.layer_tokens_per_second =
      reader.Number("layer_tokens_per_second", 0, 1e12);
  return kind;
}

Workspace ParseWorkspace(JsonReader& reader) {
  Workspace workspace;
  workspace.name = reader.String("name");
  workspace.token_sha256 = reader.String("token_sha256");
  const bool is_digest = workspace.token_sha256.size() == kSha256HexDigits &&
                         workspace.token_sha256.find_first_not_of(
                             "0123456789abcdef") == std::string::npos;
  if (!is_digest) {
    reader.Report("token_sha256", "64 lower-case hex digits");
  }
  return workspace;
}

PriceSheet ParsePriceSheet(JsonReader& reader) {
  PriceSheet sheet;
  sheet.currency = reader.String("currency");
  reader.Each("prices", [&](JsonReader& entry) {
    Price price;
    price.kind = entry.String("kind");
    price.region = entry.String("region");
    price.per_hour = entry.Number("per_hour", 0, kMaxPrice);
    sheet.prices.push_back(std::move(price));
  });
  return sheet;
}

template <class Items>
void CheckUniqueNames(const Items& items, const std::string& pointer,
                      std::vector<Mistake>& mistakes) {
  std::set<std::string> names;
  std::size_t index = 0;
  for (const auto& item : items) {
    if (!names.insert(item.name).second) {
      mistakes.push_back(
          {pointer + "/" + std::to_string(index) + "/name", "a unique name"});
    }
    ++index;
  }
}

void CheckReferences(const Configuration& configuration,
                     std::vector<Mistake>& mistakes) {
  std::size_t index = 0;
  for (const RequestClass& item : configuration.classes) {
    if (!item.model.empty() && configuration.FindModel(item.model) == nullptr) {
      mistakes.push_back({"/classes/" + std::to_string(index) + "/model",
                          "a model listed under /models"});
    }
    ++index;
  }
}

nlohmann::json ToJson(const RequestClass& item) {
  nlohmann::json target = {
      {"first_token_ms", ToMillis(item.target.first_token)},
      {"between_tokens_ms", ToMillis(item.target.between_tokens)},
      {"share", item.target.share},
      {"requests_per_second", item.target.requests_per_second},
      {"tokens_per_second", item.target.tokens_per_second}};
  nlohmann::json json = {{"name", item.name},
                         {"idempotent", item.idempotent},
                         {"target", std::move(target)}};
  if (!item.model.empty()) {
    json["model"] = item.model;
  }
  if (!item.service.empty()) {
    json["service"] = item.service;
    json["operation"] = item.operation;
  }
  return json;
}

}  // namespace

nlohmann::json ToJson(const Configuration& configuration) {
  nlohmann::json json = {{"version", configuration.version},
                         {"change_id", configuration.change_id},
                         {"classes", nlohmann::json::array()},
                         {"models", nlohmann::json::array()},
                         {"kinds", nlohmann::json::array()},
                         {"workspaces", nlohmann::json::array()}};
  for (const RequestClass& item : configuration.classes) {
    json["classes"].push_back(ToJson(item));
  }
  for (const ModelSpec& model : configuration.models) {
    json["models"].push_back({{"name", model.name},
                              {"layers", model.layers},
                              {"layer_bytes", model.layer_bytes},
                              {"activation_bytes", model.activation_bytes}});
  }
  for (const AcceleratorKind& kind : configuration.kinds) {
    json["kinds"].push_back(
        {{"name", kind.name},
         {"memory_bytes", kind.memory_bytes},
         {"layer_tokens_per_second", kind.layer_tokens_per_second}});
  }
  for (const Workspace& workspace : configuration.workspaces) {
    json["workspaces"].push_back(
        {{"name", workspace.name}, {"token_sha256", workspace.token_sha256}});
  }
  json["price_sheet"] = {{"currency", configuration.price_sheet.currency},
                         {"prices", nlohmann::json::array()}};
  for (const Price& price : configuration.price_sheet.prices) {
    json["price_sheet"]["prices"].push_back({{"kind", price.kind},
                                             {"region", price.region},
                                             {"per_hour", price.per_hour}});
  }
  return json;
}

Configuration ParseConfiguration(const nlohmann::json& document,
                                 std::vector<Mistake>& mistakes) {
  Configuration configuration;
  JsonReader reader(document, "", mistakes);
  configuration.version = reader.IntegerOr("version", 0, UINT64_MAX, 0);
  configuration.change_id = reader.StringOr("change_id", "");
  reader.Each("classes", [&](JsonReader& item) {
    configuration.classes.push_back(ParseClass(item));
  });
  reader.Each("models", [&](JsonReader& item) {
    configuration.models.push_back(ParseModel(item));
  });
  reader.Each("kinds", [&](JsonReader& item) {
    configuration.kinds.push_back(ParseKind(item));
  });
  reader.Each("workspaces", [&](JsonReader& item) {
    configuration.workspaces.push_back(ParseWorkspace(item));
  });
  reader.Object("price_sheet", [&](JsonReader& item) {
    configuration.price_sheet = ParsePriceSheet(item);
  });
  reader.Finish();
  CheckUniqueNames(configuration.classes, "/classes", mistakes);
  CheckUniqueNames(configuration.models, "/models", mistakes);
  CheckUniqueNames(configuration.kinds, "/kinds", mistakes);
  CheckUniqueNames(configuration.workspaces, "/workspaces", mistakes);
  CheckReferences(configuration, mistakes);
  return configuration;
}

Result<Configuration> ParseConfiguration(std::string_view text) {
  const auto document = nlohmann::json::parse(text, nullptr, false);
  if (document.is_discarded()) {
    return Error{ErrorCode::kInvalidArgument, "configuration.parse", "",
                 "the document is not valid JSON"};
  }
  std::vector<Mistake> mistakes;
  Configuration configuration = ParseConfiguration(document, mistakes);
  if (!mistakes.empty()) {
    return Error{ErrorCode::kInvalidArgument, "configuration.parse", "",
                 ToString(mistakes)};
  }
  return configuration;
}

}  // namespace qp
