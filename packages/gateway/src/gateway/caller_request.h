#pragma once

#include <boost/outcome/result.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "foundation/clock.h"
#include "gateway/responses.h"
#include "http/message.h"

namespace qp {

/// A value read from a caller's request, or why the request is refused.
template <class T>
using Checked =
    boost::outcome_v2::basic_result<T, Refusal,
                                    boost::outcome_v2::policy::terminate>;

inline constexpr Duration kDefaultDeadline = std::chrono::seconds(60);
inline constexpr Duration kMaxDeadline = std::chrono::hours(1);
inline constexpr std::size_t kMaxRequestIdBytes = 128;
inline constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
inline constexpr std::uint32_t kDefaultMaxTokens = 1024;
inline constexpr std::uint32_t kMaxMaxTokens = 1 << 20;

/// Body of `POST /v1/chat/completions`.
struct ChatBody {
  std::string class_name;
  std::string prompt;  ///< One line "role: content" for each message.
  std::uint32_t max_tokens = kDefaultMaxTokens;
  bool stream = false;
};

/// Service and operation of `POST /v1/services/{service}/{operation}`.
struct ServicePath {
  std::string service;
  std::string operation;
};

Checked<ChatBody> ReadChatBody(std::string_view body);

/// Empty if `path` does not have this form.
std::optional<ServicePath> ReadServicePath(std::string_view path);

/// Value of Quetzalpost-Deadline-Ms, or kDefaultDeadline.
Checked<Duration> ReadDeadline(const http::Request& request);

/// Value of X-Request-Id; empty if absent.
Checked<std::string> ReadRequestId(const http::Request& request);

/// Value of Idempotency-Key; empty if absent.
Checked<std::string> ReadIdempotencyKey(const http::Request& request);

}  // namespace qp
