#pragma once

#include <memory>
#include <string>

#include "calls/engine_client.h"
#include "http/client.h"

namespace qp {

/// EngineClient over the engine API of the design page. A refusal of an engine
/// (503) is kRefused; it tells that the stream was not started.
class HttpEngineClient : public EngineClient {
 public:
  /// `client` outlives this object and its streams.
  HttpEngineClient(asio::io_context& io, const Clock& clock,
                   http::Client& client);

  Task<Result<std::unique_ptr<TokenStream>>> Open(StreamRequest request,
                                                  Duration bound) override;
  Task<Result<void>> TransferKv(std::string request, RouteStage from,
                                RouteStage to, Duration bound) override;

 private:
  asio::io_context& io;
  const Clock& clock;
  http::Client& client;
};

}  // namespace qp
