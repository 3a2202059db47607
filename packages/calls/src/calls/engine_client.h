#pragma once

#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "foundation/asio.h"
#include "foundation/clock.h"
#include "foundation/error.h"

namespace qp {

/// One stage of a chain: an engine and the layers that it runs.
struct RouteStage {
  std::string engine;
  std::string address;
  std::uint32_t first_layer = 0;
  std::uint32_t last_layer = 0;  ///< Inclusive.
};

/// Opens or resumes an answer on a chain of stages.
struct StreamRequest {
  std::string request;
  std::uint32_t attempt = 0;
  std::string model;
  std::string prompt;
  std::vector<std::string> tokens;  ///< Already used; the stream goes on after.
  std::uint32_t max_tokens = 0;
  std::uint32_t priority = 0;
  Duration deadline{};
  std::vector<RouteStage> route;
};

/// A token as an engine reports it.
struct TokenRecord {
  std::string request;
  std::uint32_t attempt = 0;
  std::uint64_t position = 0;
  std::string token;
  std::uint32_t first_layer = 0;  ///< Layers that produced the token.
  std::uint32_t last_layer = 0;
};

/// The answer ended as a whole.
struct StreamFinish {
  std::string request;
  std::uint32_t attempt = 0;
  std::string reason;  ///< "stop" or "length".
};

/// A stage failed; `error.peer` names the engine.
struct StreamFailure {
  std::string request;
  std::uint32_t attempt = 0;
  Error error;
};

using StreamItem = std::variant<TokenRecord, StreamFinish, StreamFailure>;

/// Records of one attempt, in the order in which they arrive.
class TokenStream {
 public:
  virtual ~TokenStream() = default;
  /// kTimeout without a record within `timeout`.
  virtual Task<Result<StreamItem>> Next(Duration timeout) = 0;
  /// Ends the attempt at the engine and closes the connection.
  virtual void Cancel() = 0;
};

/// Towards model engines. Errors as of http::Client.
class EngineClient {
 public:
  virtual ~EngineClient() = default;
  /// Sends `request` to its route's first stage.
  virtual Task<Result<std::unique_ptr<TokenStream>>> Open(StreamRequest request,
                                                          Duration timeout) = 0;
  /// Copies a stream's KV cache from one engine to another that holds the
  /// same layers. kNotFound if the source no longer has it.
  virtual Task<Result<void>> TransferKv(std::string request, RouteStage from,
                                        RouteStage to, Duration timeout) = 0;
};

}  // namespace qp
