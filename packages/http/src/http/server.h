#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string_view>

#include "foundation/clock.h"
#include "foundation/error.h"
#include "http/message.h"

namespace qp::http {

/// Sends the response to one request: either one Send, or one BeginStream, any
/// number of Write and one End. The methods fail with kUnavailable if the
/// client has disconnected, and with kTimeout if a write does not complete
/// within ServerLimits::write_timeout; both errors close the connection.
class Responder {
 public:
  virtual ~Responder() = default;
  virtual Task<Result<void>> Send(Response response) = 0;
  /// Sends status and headers of a chunked response; the body of `head` is
  /// ignored.
  virtual Task<Result<void>> BeginStream(Response head) = 0;
  /// Sends one chunk; an empty `chunk` is skipped, because it would end the
  /// body. The bytes must stay valid until the task has ended.
  virtual Task<Result<void>> Write(std::string_view chunk) = 0;
  /// Sends the last chunk, which marks the body as complete.
  virtual Task<Result<void>> End() = 0;
  /// Closes the connection, so that the client sees that a started stream is
  /// incomplete.
  virtual void Abort() = 0;
  /// True once the client has closed the connection, a write has failed or
  /// Abort was called.
  virtual bool disconnected() const = 0;
};

/// Serves the requests of a listener. Handle runs as one coroutine for each
/// request, so that calls for several connections overlap.
class Handler {
 public:
  virtual ~Handler() = default;
  /// Sends the response through `responder`, which lives until the returned
  /// task has ended. Without a response by then, the server sends 500.
  virtual Task<void> Handle(Request request, Responder& responder) = 0;
};

/// Limits that protect a listener against slow clients, oversized requests and
/// too many connections.
struct ServerLimits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 1024 * 1024;
  /// With more, the connection that has waited for the end of its request for
  /// longest is closed; the new one, if all have a request in work.
  std::size_t max_connections = 4096;
  Duration read_timeout = std::chrono::seconds(10);   ///< For a whole request.
  Duration idle_timeout = std::chrono::seconds(60);   ///< Between requests.
  Duration write_timeout = std::chrono::seconds(10);  ///< For one write.
};

/// HTTP/1.1 listener. It responds with 413 to an oversized body, 431 to
/// oversized headers, 400 to a malformed request and 408 to a request that does
/// not arrive in time, and then closes the connection.
class Server {
 public:
  Server(asio::io_context& io, Clock& clock, ServerLimits limits,
         Handler& handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /// Listens on `address` ("IP:port") and returns the port; the system chooses
  /// one if `address` names port 0. Errors: kInvalidArgument if `address` is
  /// malformed, kUnavailable if the socket cannot be opened or bound.
  Result<std::uint16_t> Listen(std::string_view address);

  /// Stops accepting connections. An open connection is closed after the
  /// response to its next request, or when its idle timeout expires.
  void Stop();

  /// Number of requests that a handler is serving at present.
  std::size_t requests_in_flight() const;

  struct State;

 private:
  std::shared_ptr<State> state;
};

}  // namespace qp::http
