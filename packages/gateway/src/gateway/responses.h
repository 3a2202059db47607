#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "calls/outcome.h"
#include "foundation/clock.h"
#include "http/message.h"

namespace qp {

inline constexpr const char* kOutcomeHeader = "Quetzalpost-Outcome";
inline constexpr const char* kDeadlineHeader = "Quetzalpost-Deadline-Ms";
inline constexpr const char* kRequestIdHeader = "X-Request-Id";
inline constexpr const char* kIdempotencyKeyHeader = "Idempotency-Key";

/// A response that is not a complete answer. `retry_after` is empty where the
/// same request would be refused again.
struct Refusal {
  http::Status status = http::Status::internal_server_error;
  Outcome outcome = Outcome::kNotRun;
  std::string type;  ///< Family of errors, for example "invalid_request_error".
  std::string code;  ///< Lower snake case.
  std::string message;
  std::optional<Duration> retry_after;
};

/// Whole seconds, rounded up, at least 1: the value of Retry-After.
std::string RetryAfterSeconds(Duration duration);

/// The request is malformed or not allowed; it was not run.
Refusal InvalidRequest(http::Status status, std::string code,
                       std::string message);

/// The daemon takes no work now; the request was not run.
Refusal NotReady(std::string reason);

/// What a caller is told of a call that did not end as kComplete.
Refusal FromResult(const CallResult& result);

/// `{"error":{"message","type","code"},"outcome"}`, with `retry_after_s` in
/// the error where there is one, since an event stream has no header for it.
nlohmann::json ToJson(const Refusal& refusal);

/// Response with the error body, Quetzalpost-Outcome and Retry-After.
http::Response ToResponse(const Refusal& refusal);

/// JSON response that is a complete answer.
http::Response CompleteResponse(http::Status status, std::string body);

/// Text of `json`; invalid UTF-8 is replaced instead of ending the request.
std::string Dump(const nlohmann::json& json);

}  // namespace qp
