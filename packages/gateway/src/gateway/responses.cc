#include "gateway/responses.h"

#include <algorithm>

namespace qp {

namespace {

constexpr Duration kDefaultRetryAfter = std::chrono::seconds(1);

std::int64_t WholeSeconds(Duration duration) {
  const auto seconds = std::chrono::ceil<std::chrono::seconds>(duration);
  return std::max<std::int64_t>(1, seconds.count());
}

http::Status NotRunStatus(ErrorCode code) {
  switch (code) {
    case ErrorCode::kInvalidArgument:
      return http::Status::bad_request;
    case ErrorCode::kNotFound:
      return http::Status::not_found;
    case ErrorCode::kConflict:
      return http::Status::conflict;
    case ErrorCode::kTimeout:
      return http::Status::gateway_timeout;
    default:
      return http::Status::service_unavailable;
  }
}

/// Whether the same request may be served later.
bool IsTransient(ErrorCode code) {
  return code != ErrorCode::kInvalidArgument && code != ErrorCode::kNotFound;
}

http::Status UnknownStatus(ErrorCode code) {
  if (code == ErrorCode::kConflict) {
    return http::Status::conflict;
  }
  return code == ErrorCode::kTimeout || code == ErrorCode::kUnknownEffect
             ? http::Status::gateway_timeout
             : http::Status::bad_gateway;
}

std::string_view TypeOf(http::Status status) {
  return static_cast<unsigned>(status) < 500 ? "invalid_request_error"
                                             : "server_error";
}

}  // namespace

std::string RetryAfterSeconds(Duration duration) {
  return std::to_string(WholeSeconds(duration));
}

Refusal InvalidRequest(http::Status status, std::string code,
                       std::string message) {
  return {status,          Outcome::kNotRun,   std::string(TypeOf(status)),
          std::move(code), std::move(message), std::nullopt};
}

Refusal NotReady(std::string reason) {
  return {http::Status::service_unavailable,
          Outcome::kNotRun,
          "server_error",
          "not_ready",
          "this daemon takes no new work: " + std::move(reason),
          kDefaultRetryAfter};
}

Refusal FromResult(const CallResult& result) {
  const Error error =
      result.error.value_or(Error{ErrorCode::kInternal, "call", "", ""});
  Refusal refusal;
  refusal.outcome = result.outcome;
  refusal.code = ToString(error.code);
  refusal.message = ToString(error);
  refusal.retry_after = result.retry_after;
  if (result.outcome == Outcome::kNotRun) {
    refusal.status = NotRunStatus(error.code);
    if (IsTransient(error.code) && !refusal.retry_after) {
      refusal.retry_after = kDefaultRetryAfter;
    }
  } else {
    refusal.status = UnknownStatus(error.code);
  }
  refusal.type = TypeOf(refusal.status);
  return refusal;
}

nlohmann::json ToJson(const Refusal& refusal) {
  nlohmann::json body = {{"error",
                          {{"message", refusal.message},
                           {"type", refusal.type},
                           {"code", refusal.code}}},
                         {"outcome", ToString(refusal.outcome)}};
  if (refusal.retry_after) {
    body["error"]["retry_after_s"] = WholeSeconds(*refusal.retry_after);
  }
  return body;
}

http::Response ToResponse(const Refusal& refusal) {
  http::Response response =
      http::MakeResponse(refusal.status, Dump(ToJson(refusal)));
  response.set(kOutcomeHeader, std::string(ToString(refusal.outcome)));
  if (refusal.retry_after) {
    response.set(boost::beast::http::field::retry_after,
                 RetryAfterSeconds(*refusal.retry_after));
  }
  return response;
}

http::Response CompleteResponse(http::Status status, std::string body) {
  http::Response response = http::MakeResponse(status, std::move(body));
  response.set(kOutcomeHeader, std::string(ToString(Outcome::kComplete)));
  return response;
}

std::string Dump(const nlohmann::json& json) {
  return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace qp
