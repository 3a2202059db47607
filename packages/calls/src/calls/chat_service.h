#pragma once

#include <string>
#include <string_view>

#include "calls/outcome.h"
#include "foundation/asio.h"

namespace qp {

/// A chat request accepted from a caller.
struct ChatRequest {
  std::string request_id;
  std::string workspace;
  std::string class_name;
  std::string prompt;
  std::uint32_t max_tokens = 0;
  Duration deadline{};  ///< Time left when the request arrived.
};

/// Receives the tokens of one response in order.
class TokenSink {
 public:
  virtual ~TokenSink() = default;
  /// An error means that the caller has disconnected; it ends the call.
  virtual Task<Result<void>> Write(std::string_view token) = 0;
  virtual bool disconnected() const = 0;
};

/// Serves chat requests: admission, choice of a chain, attempts, resumption.
class ChatService {
 public:
  virtual ~ChatService() = default;
  /// Writes each token of the response to `sink` once and in order.
  virtual Task<CallResult> Run(ChatRequest request, TokenSink& sink) = 0;
};

}  // namespace qp
