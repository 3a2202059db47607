#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include "foundation/clock.h"
#include "foundation/error.h"
#include "http/message.h"

namespace qp::http {

/// Answers one request: either one Send, or BeginStream, any number of Write
/// and one End. All methods return kUnavailable once the client is gone and
/// kTimeout once it takes no data within the write bound.
class Responder {
 public:
  virtual ~Responder() = default;
  virtual Task<Result<void>> Send(Response response) = 0;
  /// Sends the head of a chunked response; its body is ignored.
  virtual Task<Result<void>> BeginStream(Response head) = 0;
  virtual Task<Result<void>> Write(std::string_view chunk) = 0;
  virtual Task<Result<void>> End() = 0;
  /// Closes the connection, so that a started stream is visibly cut short.
  virtual void Abort() = 0;
  /// True once the client has closed its connection.
  virtual bool disconnected() const = 0;
};

/// Serves the requests of a listener, one coroutine each.
class Handler {
 public:
  virtual ~Handler() = default;
  /// `responder` lives until the returned task has ended.
  virtual Task<void> Handle(Request request, Responder& responder) = 0;
};

/// Bounds that protect a listener against slow and endless input.
struct ServerLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 1024 * 1024;
  std::size_t max_connections = 4096;
  Duration read_timeout = std::chrono::seconds(10);   ///< For a whole request.
  Duration idle_timeout = std::chrono::seconds(60);   ///< Between requests.
  Duration write_timeout = std::chrono::seconds(10);  ///< For one write.
};

/// HTTP/1.1 listener. Oversized, malformed and slow requests get 413, 431,
/// 400 or 408 and their connection is closed.
class Server {
 public:
  Server(asio::io_context& io, Clock& clock, ServerLimits limits,
         Handler& handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Opens the listener on "IP:port"; returns the port, which is chosen by
  /// the system if `address` names port 0.
  Result<std::uint16_t> Listen(std::string_view address);

  /// Takes no new connections; open ones are closed after their request.
  void Stop();

  std::size_t requests_in_flight() const;

  struct State;

 private:
  std::shared_ptr<State> state;
};

}  // namespace qp::http
