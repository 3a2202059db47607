#include "gateway/engine_messages.h"

#include <chrono>

#include "config/json_reader.h"

namespace qp {

namespace {

constexpr std::uint64_t kMaxU32 = UINT32_MAX;

nlohmann::json RouteJson(const std::vector<RouteStage>& route) {
  nlohmann::json stages = nlohmann::json::array();
  for (const RouteStage& stage : route) {
    stages.push_back({{"engine", stage.engine},
                      {"address", stage.address},
                      {"first_layer", stage.first_layer},
                      {"last_layer", stage.last_layer}});
  }
  return stages;
}

std::uint32_t ReadU32(JsonReader& reader, const char* key) {
  return static_cast<std::uint32_t>(reader.Integer(key, 0, kMaxU32));
}

/// A token is a string that may be empty, unlike JsonReader::String.
std::string ReadText(JsonReader& reader, const char* key) {
  if (!reader.Has(key)) {
    reader.Report(key, "a string");
  }
  return reader.StringOr(key, "");
}

TokenRecord ReadToken(JsonReader& reader) {
  TokenRecord record;
  record.request = reader.String("request");
  record.attempt = ReadU32(reader, "attempt");
  record.position = reader.Integer("position", 0, UINT64_MAX);
  record.token = ReadText(reader, "token");
  record.first_layer = ReadU32(reader, "first_layer");
  record.last_layer = ReadU32(reader, "last_layer");
  return record;
}

StreamFinish ReadFinish(JsonReader& reader) {
  StreamFinish finish;
  finish.request = reader.String("request");
  finish.attempt = ReadU32(reader, "attempt");
  finish.reason = reader.String("finish");
  return finish;
}

ErrorCode CodeOf(std::string_view name) {
  for (const ErrorCode code :
       {ErrorCode::kInvalidArgument, ErrorCode::kNotFound, ErrorCode::kConflict,
        ErrorCode::kTimeout, ErrorCode::kCancelled, ErrorCode::kRefused,
        ErrorCode::kProtocol, ErrorCode::kInternal}) {
    if (name == ToString(code)) {
      return code;
    }
  }
  if (name == "kv_missing") {
    return ErrorCode::kNotFound;
  }
  // Engines name further causes, such as a lost connection to the next stage.
  return ErrorCode::kUnavailable;
}

StreamFailure ReadFailure(JsonReader& reader) {
  StreamFailure failure;
  failure.request = reader.String("request");
  failure.attempt = ReadU32(reader, "attempt");
  reader.Object("error", [&failure](JsonReader& error) {
    error.AllowUnknown();
    const std::string code = error.String("code");
    failure.error = {CodeOf(code), error.StringOr("step", "engine.stream"),
                     error.StringOr("peer", ""), code};
  });
  return failure;
}

StreamItem ReadItem(JsonReader& reader) {
  if (reader.Has("error")) {
    return ReadFailure(reader);
  }
  if (reader.Has("finish")) {
    return ReadFinish(reader);
  }
  return ReadToken(reader);
}

}  // namespace

nlohmann::json ToJson(const StreamRequest& request) {
  const auto deadline =
      std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline);
  return {
      {"request", request.request},       {"attempt", request.attempt},
      {"model", request.model},           {"prompt", request.prompt},
      {"tokens", request.tokens},         {"max_tokens", request.max_tokens},
      {"priority", request.priority},     {"deadline_ms", deadline.count()},
      {"route", RouteJson(request.route)}};
}

Result<StreamItem> ReadStreamItem(std::string_view line,
                                  std::string_view address) {
  const auto document = nlohmann::json::parse(line, nullptr, false);
  std::vector<Mistake> mistakes;
  JsonReader reader(document, "", mistakes);
  StreamItem item = ReadItem(reader);
  // Members that are not known are left alone, so that engines may add some.
  if (!mistakes.empty()) {
    return Error{ErrorCode::kProtocol, "engine.stream", std::string(address),
                 ToString(mistakes)};
  }
  return item;
}

}  // namespace qp
