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

/// Opens or resumes the stream of a response on a chain of stages.
struct StreamRequest {
  std::string request;
  std::uint32_t attempt = 0;
  std::string model;
  std::string prompt;
  /// Tokens accepted so far; the stream continues after them.
  std::vector<std::string> tokens;
  std::uint32_t max_tokens = 0;
  std::uint32_t priority = 0;  ///< 1 for a resumed response, 0 for a new one.
  Duration deadline{};         ///< Time left when the stream is opened.
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

/// Regular end of a response.
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

/// Items of one attempt in their order of arrival.
class TokenStream {
 public:
  virtual ~TokenStream() = default;
  /// Waits for the next item; kTimeout if none arrives within `timeout`.
  virtual Task<Result<StreamItem>> Next(Duration timeout) = 0;
  /// Ends the attempt at the engine and closes the connection.
  virtual void Cancel() = 0;
};

/// Client of model engines. Errors are those of http::Client.
class EngineClient {
 public:
  virtual ~EngineClient() = default;
  /// Sends `request` to its route's first stage.
  virtual Task<Result<std::unique_ptr<TokenStream>>> Open(StreamRequest request,
                                                          Duration timeout) = 0;
  /// Copies the KV cache of a stream to another engine that holds the same
  /// layers. kNotFound if the source no longer has the cache.
  virtual Task<Result<void>> TransferKv(std::string request, RouteStage from,
                                        RouteStage to, Duration timeout) = 0;
};

}  // namespace qp
