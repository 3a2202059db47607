#include "http/server.h"

#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <list>
#include <optional>
#include <tuple>
#include <unordered_set>

#include "foundation/spawn.h"
#include "foundation/wait.h"
#include "http/endpoint.h"

namespace qp::http {

namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

class Connection;

}  // namespace

struct Server::State {
  State(asio::io_context& context, Clock& time_source,
        ServerLimits server_limits, Handler& request_handler)
      : io(context),
        clock(time_source),
        limits(server_limits),
        handler(request_handler),
        acceptor(context) {}

  asio::io_context& io;
  Clock& clock;
  ServerLimits limits;
  Handler& handler;
  tcp::acceptor acceptor;
  /// Closes the connection that has waited for the end of its request for
  /// longest. False if no connection waits for one.
  bool CloseLongestWaiting();

  std::size_t connections = 0;
  std::size_t requests_in_flight = 0;
  /// Connections whose request has not arrived whole, the longest wait first.
  std::list<Connection*> waiting;
  bool stopped = false;
};

namespace {

/// Increments a counter for as long as the object lives.
class ScopedCount {
 public:
  explicit ScopedCount(std::size_t& target) : counter(target) {
    ++this->counter;
  }
  ~ScopedCount() { --this->counter; }
  ScopedCount(const ScopedCount&) = delete;
  ScopedCount& operator=(const ScopedCount&) = delete;

 private:
  std::size_t& counter;
};

/// Input that is buffered besides the largest part that the parser needs in one
/// piece. Beast reads trailers and chunk lines without a limit of their own.
constexpr std::size_t kReadAheadBytes = 4096;

/// Socket of a client with the watchdogs for reading and writing.
class Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(tcp::socket accepted, asio::io_context& io, Clock& clock,
             const ServerLimits& limits)
      : socket(std::move(accepted)),
        buffer(limits.max_header_bytes + kReadAheadBytes),
        read_watchdog(clock, io.get_executor(), limits.read_timeout,
                      [this] { this->ShutdownReceive(); }),
        write_watchdog(clock, io.get_executor(), limits.write_timeout,
                       [this] { this->Close(); }) {}

  void Close() {
    boost::system::error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_both, ignored);
    this->socket.close(ignored);
    this->client_disconnected = true;
  }

  /// Ends a pending read; a response can still be written.
  void ShutdownReceive() {
    boost::system::error_code ignored;
    this->socket.shutdown(tcp::socket::shutdown_receive, ignored);
  }

  /// Sets `client_disconnected` if the client closes the connection while its
  /// request is being served. The watch ends at the first event on the socket:
  /// a pipelined request or a reset ends it without setting the flag.
  void WatchForDisconnect() {
    this->socket.async_wait(
        tcp::socket::wait_read,
        [self = this->shared_from_this()](boost::system::error_code failure) {
          if (!failure) {
            self->CheckForDisconnect();
          }
        });
  }

  tcp::socket socket;
  beast::flat_buffer buffer;
  Watchdog read_watchdog;
  Watchdog write_watchdog;
  bool client_disconnected = false;

 private:
  void CheckForDisconnect() {
    if (!this->socket.is_open()) {
      return;
    }
    char byte = 0;
    const auto received =
        ::recv(this->socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (received == 0) {
      this->client_disconnected = true;
    }
  }
};

class ConnectionResponder : public Responder {
 public:
  ConnectionResponder(std::shared_ptr<Connection> open_connection,
                      bool keep_open)
      : connection(std::move(open_connection)), keep_alive(keep_open) {}

  Task<Result<void>> Send(Response response) override {
    this->response_started = true;
    response.keep_alive(this->keep_alive);
    response.prepare_payload();
    co_return co_await this->WriteMessage(response);
  }

  Task<Result<void>> BeginStream(Response head) override {
    this->response_started = true;
    this->streaming = true;
    beast::http::response<beast::http::empty_body> message(
        std::move(head.base()));
    message.erase(beast::http::field::content_length);
    message.keep_alive(this->keep_alive);
    message.chunked(true);
    beast::http::response_serializer<beast::http::empty_body> serializer(
        message);
    this->connection->write_watchdog.Restart();
    boost::system::error_code failure;
    co_await beast::http::async_write_header(
        this->connection->socket, serializer,
        asio::redirect_error(asio::use_awaitable, failure));
    this->connection->write_watchdog.Disarm();
    co_return this->ToResult(failure);
  }

  Task<Result<void>> Write(std::string_view chunk) override {
    if (chunk.empty()) {
      co_return Ok();
    }
    co_return co_await this->WriteBuffers(
        beast::http::make_chunk(asio::buffer(chunk.data(), chunk.size())));
  }

  Task<Result<void>> End() override {
    this->streaming = false;
    co_return co_await this->WriteBuffers(beast::http::make_chunk_last());
  }

  void Abort() override { this->connection->Close(); }

  bool disconnected() const override {
    return this->connection->client_disconnected;
  }

  bool has_started_response() const { return this->response_started; }
  bool is_streaming() const { return this->streaming; }

 private:
  template <class Message>
  Task<Result<void>> WriteMessage(Message& message) {
    this->connection->write_watchdog.Restart();
    boost::system::error_code failure;
    co_await beast::http::async_write(
        this->connection->socket, message,
        asio::redirect_error(asio::use_awaitable, failure));
    this->connection->write_watchdog.Disarm();
    co_return this->ToResult(failure);
  }

  template <class Buffers>
  Task<Result<void>> WriteBuffers(Buffers buffers) {
    this->connection->write_watchdog.Restart();
    boost::system::error_code failure;
    co_await asio::async_write(
        this->connection->socket, buffers,
        asio::redirect_error(asio::use_awaitable, failure));
    this->connection->write_watchdog.Disarm();
    co_return this->ToResult(failure);
  }

  Result<void> ToResult(const boost::system::error_code& failure) {
    if (!failure) {
      return Ok();
    }
    const bool timed_out = this->connection->write_watchdog.expired();
    this->connection->Close();
    return Error{timed_out ? ErrorCode::kTimeout : ErrorCode::kUnavailable,
                 "http.respond", "client", failure.message()};
  }

  std::shared_ptr<Connection> connection;
  bool keep_alive;
  bool response_started = false;
  bool streaming = false;
};

/// Status of the response to a request that could not be read; nullopt if the
/// connection was closed or failed, so that no response is sent.
std::optional<Status> StatusOfReadFailure(
    const boost::system::error_code& failure) {
  if (failure == beast::http::error::body_limit) {
    return Status::payload_too_large;
  }
  if (failure == beast::http::error::header_limit) {
    return Status::request_header_fields_too_large;
  }
  const bool malformed =
      failure.category() ==
          beast::http::make_error_code(beast::http::error::bad_version)
              .category() &&
      failure != beast::http::error::end_of_stream &&
      failure != beast::http::error::partial_message;
  return malformed ? std::optional(Status::bad_request) : std::nullopt;
}

std::string_view ReasonOf(Status status) {
  const auto reason = beast::http::obsolete_reason(status);
  return {reason.data(), reason.size()};
}

Response MakeErrorResponse(Status status) {
  Response response = MakeResponse(
      status, R"({"error":{"message":")" + std::string(ReasonOf(status)) +
                  R"(","type":"invalid_request","code":"malformed"},)" +
                  R"("outcome":"not_run"})");
  response.set("Quetzalpost-Outcome", "not_run");
  return response;
}

/// Lists a connection as waiting for the end of its request for as long as the
/// object lives.
class WaitingEntry {
 public:
  WaitingEntry(std::list<Connection*>& waiting, Connection& connection)
      : list(waiting), position(list.insert(list.end(), &connection)) {}
  ~WaitingEntry() { this->list.erase(this->position); }
  WaitingEntry(const WaitingEntry&) = delete;
  WaitingEntry& operator=(const WaitingEntry&) = delete;

 private:
  std::list<Connection*>& list;
  std::list<Connection*>::iterator position;
};

using Parser = beast::http::request_parser<beast::http::string_body>;

/// Reads one request into `parser`. After an error, the connection must be
/// closed.
Task<boost::system::error_code> ReadRequest(
    const std::shared_ptr<Connection>& connection, Parser& parser,
    const ServerLimits& limits) {
  boost::system::error_code failure;
  if (connection->buffer.size() == 0) {
    connection->read_watchdog.Restart(limits.idle_timeout);
    co_await connection->socket.async_wait(
        tcp::socket::wait_read,
        asio::redirect_error(asio::use_awaitable, failure));
  }
  if (!failure) {
    connection->read_watchdog.Restart(limits.read_timeout);
    co_await beast::http::async_read(
        connection->socket, connection->buffer, parser,
        asio::redirect_error(asio::use_awaitable, failure));
  }
  connection->read_watchdog.Disarm();
  co_return failure;
}

/// Serves one request; false if the connection must be closed.
Task<bool> ServeRequest(std::shared_ptr<Server::State> state,
                        std::shared_ptr<Connection> connection) {
  Parser parser;
  parser.header_limit(state->limits.max_header_bytes);
  parser.body_limit(state->limits.max_body_bytes);
  boost::system::error_code failure;
  {
    const WaitingEntry entry(state->waiting, *connection);
    failure = co_await ReadRequest(connection, parser, state->limits);
  }
  if (failure) {
    // A connection that times out between requests is closed without a
    // response: an idle client made no error.
    const bool timed_out =
        connection->read_watchdog.expired() && parser.got_some();
    const auto status = timed_out ? std::optional(Status::request_timeout)
                                  : StatusOfReadFailure(failure);
    if (status) {
      ConnectionResponder responder(connection, false);
      std::ignore = co_await responder.Send(MakeErrorResponse(*status));
    }
    co_return false;
  }
  Request request = parser.release();
  const bool keep_alive = request.keep_alive() && !state->stopped;
  ScopedCount request_count(state->requests_in_flight);
  ConnectionResponder responder(connection, keep_alive);
  connection->WatchForDisconnect();
  co_await state->handler.Handle(std::move(request), responder);
  if (!responder.has_started_response()) {
    std::ignore = co_await responder.Send(
        MakeErrorResponse(Status::internal_server_error));
  }
  // If the handler did not end its stream, the connection is closed, so that
  // the client does not take the body for complete.
  co_return keep_alive && !responder.is_streaming() &&
      connection->socket.is_open();
}

Task<void> ServeConnection(std::shared_ptr<Server::State> state,
                           std::shared_ptr<Connection> connection) {
  ScopedCount connection_count(state->connections);
  bool keep_open = true;
  while (keep_open) {
    keep_open = co_await ServeRequest(state, connection);
  }
  connection->Close();
}

Task<void> AcceptConnections(std::shared_ptr<Server::State> state) {
  while (!state->stopped) {
    boost::system::error_code failure;
    tcp::socket socket = co_await state->acceptor.async_accept(
        asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      if (!state->acceptor.is_open()) {
        co_return;
      }
      // Accepting fails while the process has no free file descriptors; try
      // again after some connections may have closed.
      co_await SleepFor(state->clock, std::chrono::milliseconds(20));
      continue;
    }
    if (state->connections >= state->limits.max_connections &&
        !state->CloseLongestWaiting()) {
      continue;
    }
    socket.set_option(tcp::no_delay(true), failure);
    auto connection = std::make_shared<Connection>(std::move(socket), state->io,
                                                   state->clock, state->limits);
    Spawn(state->io, "http.connection", ServeConnection(state, connection));
  }
}

}  // namespace

bool Server::State::CloseLongestWaiting() {
  for (Connection* connection : this->waiting) {
    if (connection->socket.is_open()) {
      connection->Close();
      return true;
    }
  }
  return false;
}

Server::Server(asio::io_context& io, Clock& clock, ServerLimits limits,
               Handler& handler)
    : state(std::make_shared<State>(io, clock, limits, handler)) {}

Server::~Server() { this->Stop(); }

Result<std::uint16_t> Server::Listen(std::string_view address) {
  BOOST_OUTCOME_TRY(endpoint, ParseEndpoint(address));
  boost::system::error_code failure;
  auto& acceptor = this->state->acceptor;
  acceptor.open(endpoint.protocol(), failure);
  if (!failure) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    acceptor.bind(endpoint, failure);
  }
  if (!failure) {
    acceptor.listen(asio::socket_base::max_listen_connections, failure);
  }
  if (failure) {
    return Error{ErrorCode::kUnavailable, "http.listen", std::string(address),
                 failure.message()};
  }
  SpawnLoop(this->state->io, this->state->clock, "http.accept",
            [accepting = this->state] { return AcceptConnections(accepting); });
  return acceptor.local_endpoint().port();
}

void Server::Stop() {
  this->state->stopped = true;
  boost::system::error_code ignored;
  this->state->acceptor.close(ignored);
}

std::size_t Server::requests_in_flight() const {
  return this->state->requests_in_flight;
}

}  // namespace qp::http
