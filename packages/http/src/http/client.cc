#include "http/client.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <limits>
#include <map>
#include <vector>

#include "foundation/wait.h"
#include "http/append_body.h"
#include "http/endpoint.h"
#include "http/status_class.h"

namespace qp::http {

namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

/// Further connections are closed after their exchange.
constexpr std::size_t kMaxIdleConnectionsPerAddress = 16;
/// A connection that was idle for longer is closed instead of reused.
constexpr Duration kMaxIdleTime = std::chrono::seconds(20);
/// Bounds the memory for a streamed body that contains no line feed.
constexpr std::size_t kMaxLineBytes = 1024 * 1024;

/// Connection to a server. The watchdog closes the socket when the timeout of
/// the current exchange expires.
struct ClientConnection {
  ClientConnection(asio::io_context& io, Clock& clock,
                   const ClientLimits& limits)
      : socket(io),
        buffer(limits.max_unparsed_bytes),
        watchdog(clock, io.get_executor(), Duration{0}, [this] {
          boost::system::error_code ignored;
          this->socket.close(ignored);
        }) {}

  tcp::socket socket;
  beast::flat_buffer buffer;
  Watchdog watchdog;
  TimePoint idle_since{};
};

Error MakeError(ErrorCode code, std::string_view step,
                const std::string& address,
                const boost::system::error_code& failure,
                const ClientConnection& connection) {
  return Error{code, std::string(step), address,
               connection.watchdog.expired() ? "no progress within the bound"
                                             : failure.message()};
}

/// Error for a response head with a status that is no answer. The request can
/// have taken effect, and the connection must not be used again.
Error MakeStatusError(const std::string& address, unsigned status) {
  return Error{ErrorCode::kUnknownEffect, "http.read", address,
               IsInterimStatus(status)
                   ? "too many interim answers"
                   : "status " + std::to_string(status) + " is no answer"};
}

Task<Result<void>> Connect(ClientConnection& connection,
                           const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    co_return endpoint.error();
  }
  boost::system::error_code failure;
  co_await connection.socket.async_connect(
      endpoint.value(), asio::redirect_error(asio::use_awaitable, failure));
  if (failure) {
    co_return MakeError(ErrorCode::kUnavailable, "http.connect", address,
                        failure, connection);
  }
  connection.socket.set_option(tcp::no_delay(true), failure);
  co_return Ok();
}

Task<Result<void>> WriteRequest(ClientConnection& connection,
                                const std::string& address, Request& request) {
  request.set(beast::http::field::host, address);
  request.prepare_payload();
  boost::system::error_code failure;
  co_await beast::http::async_write(
      connection.socket, request,
      asio::redirect_error(asio::use_awaitable, failure));
  if (failure) {
    co_return MakeError(ErrorCode::kUnknownEffect, "http.write", address,
                        failure, connection);
  }
  co_return Ok();
}

/// Reads a response from its own connection, which is never pooled.
class ConnectionResponseStream : public ResponseStream {
 public:
  using Parser = beast::http::response_parser<AppendBody>;

  ConnectionResponseStream(std::string server_address,
                           std::unique_ptr<ClientConnection> open_connection)
      : address(std::move(server_address)),
        connection(std::move(open_connection)) {
    this->NewParser();
  }

  Task<Result<void>> ReadHead() {
    for (int interim = 0; interim <= kMaxInterimResponses; ++interim) {
      this->NewParser();
      boost::system::error_code failure;
      co_await beast::http::async_read_header(
          this->connection->socket, this->connection->buffer, *this->parser,
          asio::redirect_error(asio::use_awaitable, failure));
      if (failure) {
        this->connection->watchdog.Disarm();
        co_return MakeError(ErrorCode::kUnknownEffect, "http.read",
                            this->address, failure, *this->connection);
      }
      if (!IsInterimStatus(this->parser->get().result_int())) {
        break;
      }
    }
    this->connection->watchdog.Disarm();
    const unsigned status = this->parser->get().result_int();
    if (!IsFinalStatus(status)) {
      co_return MakeStatusError(this->address, status);
    }
    co_return Ok();
  }

  Status status() const override { return this->parser->get().result(); }

  Task<Result<std::optional<std::string>>> ReadLine(Duration timeout) override {
    this->connection->watchdog.Restart(timeout);
    while (true) {
      if (auto line = this->TakeLine()) {
        this->connection->watchdog.Disarm();
        co_return std::move(line);
      }
      if (this->parser->is_done()) {
        this->connection->watchdog.Disarm();
        co_return this->TakeRest();
      }
      if (this->body_buffer.size() > kMaxLineBytes) {
        co_return Error{ErrorCode::kProtocol, "http.read_line", this->address,
                        "the line is too long"};
      }
      const auto read = co_await this->ReadSome();
      if (!read) {
        co_return read.error();
      }
    }
  }

  void Close() override {
    this->closed = true;
    boost::system::error_code ignored;
    this->connection->socket.close(ignored);
  }

 private:
  void NewParser() {
    this->parser.emplace();
    // boost::none would say "no limit", but then Beast 1.74 rejects every body
    // with a Content-Length.
    this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  }

  Task<Result<void>> ReadSome() {
    boost::system::error_code failure;
    co_await beast::http::async_read_some(
        this->connection->socket, this->connection->buffer, *this->parser,
        asio::redirect_error(asio::use_awaitable, failure));
    std::string& body = this->parser->get().body();
    this->body_buffer += body;
    body.clear();
    if (!failure) {
      co_return Ok();
    }
    auto code = ErrorCode::kUnavailable;
    if (this->closed) {
      code = ErrorCode::kCancelled;
    } else if (this->connection->watchdog.expired()) {
      code = ErrorCode::kTimeout;
    }
    co_return MakeError(code, "http.read_line", this->address, failure,
                        *this->connection);
  }

  std::optional<std::string> TakeLine() {
    const auto end = this->body_buffer.find('\n', this->consumed_bytes);
    if (end == std::string::npos) {
      this->body_buffer.erase(0, this->consumed_bytes);
      this->consumed_bytes = 0;
      return std::nullopt;
    }
    std::string line = this->body_buffer.substr(this->consumed_bytes,
                                                end - this->consumed_bytes);
    this->consumed_bytes = end + 1;
    return line;
  }

  std::optional<std::string> TakeRest() {
    if (this->body_buffer.empty()) {
      return std::nullopt;
    }
    return std::exchange(this->body_buffer, {});
  }

  std::string address;
  std::unique_ptr<ClientConnection> connection;
  std::optional<Parser> parser;
  std::string body_buffer;         ///< Bytes received but not yet erased.
  std::size_t consumed_bytes = 0;  ///< Length of the part already returned.
  bool closed = false;
};

}  // namespace

struct Client::State {
  State(asio::io_context& context, Clock& time_source,
        ClientLimits response_limits)
      : io(context), clock(time_source), limits(response_limits) {}

  /// Takes the latest reusable connection out of the pool and closes the stale
  /// ones found before it; null if there is none.
  std::unique_ptr<ClientConnection> AcquireIdle(const std::string& address) {
    auto& idle_connections = this->idle_by_address[address];
    while (!idle_connections.empty()) {
      std::unique_ptr<ClientConnection> connection =
          std::move(idle_connections.back());
      idle_connections.pop_back();
      if (this->clock.Now() - connection->idle_since <= kMaxIdleTime &&
          IsReusable(*connection)) {
        return connection;
      }
    }
    return nullptr;
  }

  /// Returns a connection to the pool, or closes it if the pool is full.
  void Release(const std::string& address,
               std::unique_ptr<ClientConnection> connection) {
    auto& idle_connections = this->idle_by_address[address];
    if (idle_connections.size() < kMaxIdleConnectionsPerAddress) {
      connection->idle_since = this->clock.Now();
      idle_connections.push_back(std::move(connection));
    }
  }

  /// True if nothing can be read from an idle connection. Readable data or an
  /// end of stream means that the server closed it or violated the protocol.
  static bool IsReusable(ClientConnection& connection) {
    boost::system::error_code failure;
    char byte = 0;
    connection.socket.non_blocking(true, failure);
    connection.socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                              failure);
    return failure == asio::error::would_block;
  }

  asio::io_context& io;
  Clock& clock;
  ClientLimits limits;
  std::map<std::string, std::vector<std::unique_ptr<ClientConnection>>,
           std::less<>>
      idle_by_address;
};

namespace {

/// Writes the request and reads the complete response on `connection`.
Task<Result<Response>> Exchange(ClientConnection& connection,
                                const std::string& address, Request& request,
                                const ClientLimits& limits) {
  const auto written = co_await WriteRequest(connection, address, request);
  if (!written) {
    co_return written.error();
  }
  unsigned status = 0;
  for (int interim = 0; interim <= kMaxInterimResponses; ++interim) {
    beast::http::response_parser<AppendBody> parser;
    parser.body_limit(limits.max_body_bytes);
    boost::system::error_code failure;
    // The head is read on its own because Beast 1.74 otherwise ignores the
    // limit on bodies that state their length, if the body arrives with the
    // head.
    co_await beast::http::async_read_header(
        connection.socket, connection.buffer, parser,
        asio::redirect_error(asio::use_awaitable, failure));
    status = parser.get().result_int();
    if (!failure && IsInterimStatus(status)) {
      continue;
    }
    if (!failure && !IsFinalStatus(status)) {
      break;
    }
    if (!failure) {
      co_await beast::http::async_read(
          connection.socket, connection.buffer, parser,
          asio::redirect_error(asio::use_awaitable, failure));
    }
    if (failure) {
      co_return MakeError(ErrorCode::kUnknownEffect, "http.read", address,
                          failure, connection);
    }
    connection.watchdog.Disarm();
    auto message = parser.release();
    co_return Response(std::move(message.base()), std::move(message.body()));
  }
  co_return MakeStatusError(address, status);
}

}  // namespace

Client::Client(asio::io_context& io, Clock& clock, ClientLimits limits)
    : state(std::make_shared<State>(io, clock, limits)) {}

Client::~Client() = default;

Task<Result<Response>> Client::Send(std::string address, Request request,
                                    Duration timeout,
                                    Connection connection_policy) {
  auto shared_state = this->state;
  const TimePoint deadline = shared_state->clock.Now() + timeout;
  std::unique_ptr<ClientConnection> connection;
  if (connection_policy == Connection::kReuse) {
    connection = shared_state->AcquireIdle(address);
  }
  if (connection) {
    connection->watchdog.Restart(timeout);
    auto response =
        co_await Exchange(*connection, address, request, shared_state->limits);
    const bool expired = connection->watchdog.expired();
    if (expired) {
      // What silenced this connection can have silenced the others too.
      shared_state->idle_by_address.erase(address);
    }
    if (response) {
      if (response.value().keep_alive() && request.keep_alive()) {
        shared_state->Release(address, std::move(connection));
      }
      co_return response;
    }
    // The server may have closed the idle connection. A GET has no effect and
    // is sent again on a new connection, which also shows whether the server is
    // still reachable. Other methods could take effect twice.
    if (expired || request.method() != Verb::get) {
      co_return response;
    }
  }
  connection = std::make_unique<ClientConnection>(
      shared_state->io, shared_state->clock, shared_state->limits);
  connection->watchdog.Restart(deadline - shared_state->clock.Now());
  const auto connected = co_await Connect(*connection, address);
  if (!connected) {
    co_return connected.error();
  }
  auto response =
      co_await Exchange(*connection, address, request, shared_state->limits);
  if (response && response.value().keep_alive() && request.keep_alive()) {
    shared_state->Release(address, std::move(connection));
  }
  co_return response;
}

Task<Result<std::unique_ptr<ResponseStream>>> Client::Open(std::string address,
                                                           Request request,
                                                           Duration timeout) {
  auto connection = std::make_unique<ClientConnection>(
      this->state->io, this->state->clock, this->state->limits);
  connection->watchdog.Restart(timeout);
  const auto connected = co_await Connect(*connection, address);
  if (!connected) {
    co_return connected.error();
  }
  const auto written = co_await WriteRequest(*connection, address, request);
  if (!written) {
    co_return written.error();
  }
  auto stream = std::make_unique<ConnectionResponseStream>(
      address, std::move(connection));
  const auto head = co_await stream->ReadHead();
  if (!head) {
    co_return head.error();
  }
  co_return std::unique_ptr<ResponseStream>(std::move(stream));
}

}  // namespace qp::http
