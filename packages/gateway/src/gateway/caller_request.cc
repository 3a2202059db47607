#include "gateway/caller_request.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

namespace qp {

namespace {

constexpr std::string_view kServicePrefix = "/v1/services/";

Refusal BadRequest(std::string code, std::string message) {
  return InvalidRequest(http::Status::bad_request, std::move(code),
                        std::move(message));
}

/// Letters, digits and punctuation of ASCII, without the space.
bool IsVisibleAscii(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char letter) {
    return letter > ' ' && letter < '\x7f';
  });
}

Checked<std::string> ReadToken(const http::Request& request, const char* header,
                               std::size_t max_bytes) {
  const std::string_view value = http::HeaderOr(request, header);
  if (value.size() > max_bytes || !IsVisibleAscii(value)) {
    return BadRequest("invalid_header", std::string(header) +
                                            " must be at most " +
                                            std::to_string(max_bytes) +
                                            " visible ASCII characters");
  }
  return std::string(value);
}

/// Content of one message: a string, or an array of text parts.
std::optional<std::string> ReadContent(const nlohmann::json& message) {
  const auto content = message.find("content");
  if (content == message.end()) {
    return std::nullopt;
  }
  if (content->is_string()) {
    return content->get<std::string>();
  }
  if (!content->is_array()) {
    return std::nullopt;
  }
  std::string text;
  for (const nlohmann::json& part : *content) {
    const bool is_text =
        part.is_object() && part.contains("text") && part["text"].is_string();
    if (!is_text) {
      return std::nullopt;
    }
    text += part["text"].get_ref<const std::string&>();
  }
  return text;
}

/// Messages in order, so that a conversation that goes on keeps its prefix
/// and the engines' prefix caches stay useful.
Checked<std::string> ReadPrompt(const nlohmann::json& body) {
  const auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array() || messages->empty()) {
    return BadRequest("invalid_messages",
                      "messages must be a non-empty array of messages");
  }
  std::string prompt;
  for (const nlohmann::json& message : *messages) {
    const bool has_role = message.is_object() && message.contains("role") &&
                          message["role"].is_string();
    const auto content = has_role ? ReadContent(message) : std::nullopt;
    if (!content) {
      return BadRequest("invalid_messages",
                        "each message needs a role and text as its content");
    }
    prompt +=
        message["role"].get_ref<const std::string&>() + ": " + *content + "\n";
  }
  return prompt;
}

Checked<std::uint32_t> ReadMaxTokens(const nlohmann::json& body) {
  const auto member = body.find("max_tokens");
  if (member == body.end() || member->is_null()) {
    return kDefaultMaxTokens;
  }
  const bool valid = member->is_number_unsigned() &&
                     member->get<std::uint64_t>() >= 1 &&
                     member->get<std::uint64_t>() <= kMaxMaxTokens;
  if (!valid) {
    return BadRequest("invalid_max_tokens",
                      "max_tokens must be an integer from 1 to " +
                          std::to_string(kMaxMaxTokens));
  }
  return member->get<std::uint32_t>();
}

Checked<bool> ReadStream(const nlohmann::json& body) {
  const auto member = body.find("stream");
  if (member == body.end() || member->is_null()) {
    return false;
  }
  if (!member->is_boolean()) {
    return BadRequest("invalid_stream", "stream must be true or false");
  }
  return member->get<bool>();
}

}  // namespace

Checked<ChatBody> ReadChatBody(std::string_view text) {
  const auto body = nlohmann::json::parse(text, nullptr, false);
  if (!body.is_object()) {
    return BadRequest("invalid_json", "the body must be a JSON object");
  }
  const auto model = body.find("model");
  if (model == body.end() || !model->is_string()) {
    return BadRequest("invalid_model", "model must name a request class");
  }
  BOOST_OUTCOME_TRY(prompt, ReadPrompt(body));
  BOOST_OUTCOME_TRY(max_tokens, ReadMaxTokens(body));
  BOOST_OUTCOME_TRY(stream, ReadStream(body));
  return ChatBody{model->get<std::string>(), std::move(prompt), max_tokens,
                  stream};
}

std::optional<ServicePath> ReadServicePath(std::string_view path) {
  if (!path.starts_with(kServicePrefix)) {
    return std::nullopt;
  }
  path.remove_prefix(kServicePrefix.size());
  const auto slash = path.find('/');
  if (slash == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view operation = path.substr(slash + 1);
  const bool valid = slash > 0 && !operation.empty() &&
                     operation.find('/') == std::string_view::npos;
  if (!valid) {
    return std::nullopt;
  }
  return ServicePath{std::string(path.substr(0, slash)),
                     std::string(operation)};
}

Checked<Duration> ReadDeadline(const http::Request& request) {
  const std::string_view text = http::HeaderOr(request, kDeadlineHeader);
  if (text.empty()) {
    return kDefaultDeadline;
  }
  std::int64_t millis = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, millis);
  const bool valid = parsed.ec == std::errc{} && parsed.ptr == end &&
                     millis >= 1 &&
                     millis <= kMaxDeadline / std::chrono::milliseconds(1);
  if (!valid) {
    return BadRequest(
        "invalid_header",
        std::string(kDeadlineHeader) + " must be an integer from 1 to 3600000");
  }
  return Duration(std::chrono::milliseconds(millis));
}

Checked<std::string> ReadRequestId(const http::Request& request) {
  return ReadToken(request, kRequestIdHeader, kMaxRequestIdBytes);
}

Checked<std::string> ReadIdempotencyKey(const http::Request& request) {
  return ReadToken(request, kIdempotencyKeyHeader, kMaxIdempotencyKeyBytes);
}

}  // namespace qp
