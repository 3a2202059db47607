#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "foundation/clock.h"
#include "foundation/error.h"
#include "http/message.h"

namespace qp::http {

/// Response whose body is read line by line while it arrives. Belongs to one
/// coroutine at a time; only Close can be called during a ReadLine.
class ResponseStream {
 public:
  virtual ~ResponseStream() = default;
  virtual Status status() const = 0;
  /// Returns the next line without its line feed, or nullopt after the last
  /// line of a complete body; the last line can lack the line feed. Errors:
  /// kTimeout if no line arrives within `timeout`, kUnavailable if the body is
  /// malformed or cut short, kProtocol if more than 1 MiB arrive without a line
  /// feed, kCancelled after Close.
  virtual Task<Result<std::optional<std::string>>> ReadLine(
      Duration timeout) = 0;
  /// Closes the connection; a pending ReadLine ends with kCancelled.
  virtual void Close() = 0;
};

/// Selects the connection for an exchange. kReuse prefers an idle connection of
/// an earlier exchange, kFresh always opens a new one. A server can close an
/// idle connection at any time, and a request written to it is then lost
/// without an error from the write.
enum class Connection { kReuse, kFresh };

/// Limits on the memory for one response. Faulty servers send responses without
/// end.
struct ClientLimits {
  /// Largest body of Client::Send. The store's pages hold 1 MB of rows before
  /// encoding, and a configuration change arrives in one response.
  std::uint64_t max_body_bytes = 16 * 1024 * 1024;
  /// Largest part of a response that the parser needs in one piece: the head,
  /// or the header of a chunk with its extensions.
  std::size_t max_unparsed_bytes = 256 * 1024;
};

/// HTTP/1.1 client that pools idle connections for each address. A connection
/// that failed or timed out is closed and not reused; after a timeout the idle
/// connections to the same address are closed too. The same holds for a
/// request or a response with "Connection: close"; the request's header applies
/// even if the response allows keep-alive.
///
/// The error code says how far an exchange came. kInvalidArgument: the address
/// is malformed. kUnavailable: no connection was opened, so nothing was
/// written. kUnknownEffect: writing the request was started, and no complete
/// response that could be parsed arrived within the timeout.
class Client {
 public:
  Client(asio::io_context& io, Clock& clock, ClientLimits limits = {});
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// Sends `request` to `address` ("IP:port") and returns the complete
  /// response. `timeout` covers connecting, writing and reading. A response
  /// over the limits closes the connection and counts as incomplete. A GET that
  /// fails on a reused connection is sent once more on a new connection within
  /// `timeout`.
  Task<Result<Response>> Send(
      std::string address, Request request, Duration timeout,
      Connection connection_policy = Connection::kReuse);

  /// Sends a request on a new connection and returns as soon as the head of the
  /// response has arrived. `timeout` covers connecting, writing and the head.
  Task<Result<std::unique_ptr<ResponseStream>>> Open(std::string address,
                                                     Request request,
                                                     Duration timeout);

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace qp::http
