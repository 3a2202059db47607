#pragma once

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "foundation/clock.h"
#include "foundation/error.h"
#include "http/message.h"

namespace qp::http {

/// Response whose body is read line by line while it arrives.
class ResponseStream {
 public:
  virtual ~ResponseStream() = default;
  virtual Status status() const = 0;
  /// Next line without its end; empty at the end of the whole body. kTimeout
  /// without a line within `timeout`; kUnavailable if the body is cut short.
  virtual Task<Result<std::optional<std::string>>> ReadLine(
      Duration timeout) = 0;
  /// Closes the connection; a pending ReadLine ends with kCancelled.
  virtual void Close() = 0;
};

/// Whether an exchange may use a connection that served an earlier one. The
/// write to a kept connection may be lost without notice.
enum class Connection { kReuse, kFresh };

/// HTTP/1.1 client with kept connections for each address. A connection that
/// failed or exceeded a bound is closed and never used again, and so is that of
/// a request with "Connection: close", whatever its answer says.
///
/// Errors tell how far an exchange came: kUnavailable means that nothing was
/// written; kUnknownEffect that the request was written, wholly or in part,
/// and no whole answer came within the bound.
class Client {
 public:
  Client(asio::io_context& io, Clock& clock);
  ~Client();
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;

  /// `timeout` covers connecting, writing and the whole answer.
  Task<Result<Response>> Send(
      std::string address, Request request, Duration timeout,
      Connection connection_policy = Connection::kReuse);

  /// Sends a request and returns once the response's head has arrived within
  /// `timeout`. Always uses a fresh connection.
  Task<Result<std::unique_ptr<ResponseStream>>> Open(std::string address,
                                                     Request request,
                                                     Duration timeout);

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace qp::http
