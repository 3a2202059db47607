#include "http/client.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <limits>
#include <map>
#include <vector>

#include "foundation/wait.h"
#include "http/append_body.h"
#include "http/endpoint.h"

namespace qp::http {

namespace beast = boost::beast;
using asio::ip::tcp;

namespace {

constexpr std::size_t kMaxIdlePerAddress = 16;  // connections
constexpr Duration kMaxIdleTime = std::chrono::seconds(20);
/// Largest answer: the store's pages hold 1 MB of rows before their encoding,
/// and a change of the configuration arrives whole.
constexpr std::uint64_t kMaxResponseBytes = 16 * 1024 * 1024;
/// Largest part of an answer that the parser can't take in pieces: its head, or
/// a chunk's header with what a server puts behind it.
constexpr std::size_t kMaxUnparsedBytes = 256 * 1024;
constexpr std::size_t kMaxLineBytes = 1024 * 1024;

/// Connection to a server with the bound on its present exchange.
struct Link {
  Link(asio::io_context& io, Clock& clock)
      : socket(io), watchdog(clock, io.get_executor(), Duration{0}, [this] {
          boost::system::error_code ignored;
          this->socket.close(ignored);
        }) {}

  tcp::socket socket;
  beast::flat_buffer buffer{kMaxUnparsedBytes};
  Watchdog watchdog;
  TimePoint idle_since{};
};

Error FailureOf(ErrorCode code, std::string_view step,
                const std::string& address,
                const boost::system::error_code& failure, const Link& link) {
  return Error{code, std::string(step), address,
               link.watchdog.expired() ? "no progress within the bound"
                                       : failure.message()};
}

Task<Result<void>> Connect(Link& link, const std::string& address) {
  const auto endpoint = ParseEndpoint(address);
  if (!endpoint) {
    co_return endpoint.error();
  }
  boost::system::error_code failure;
  co_await link.socket.async_connect(
      endpoint.value(), asio::redirect_error(asio::use_awaitable, failure));
  if (failure) {
    co_return FailureOf(ErrorCode::kUnavailable, "http.connect", address,
                        failure, link);
  }
  link.socket.set_option(tcp::no_delay(true), failure);
  co_return Ok();
}

Task<Result<void>> WriteRequest(Link& link, const std::string& address,
                                Request& request) {
  request.set(beast::http::field::host, address);
  request.prepare_payload();
  boost::system::error_code failure;
  co_await beast::http::async_write(
      link.socket, request, asio::redirect_error(asio::use_awaitable, failure));
  if (failure) {
    co_return FailureOf(ErrorCode::kUnknownEffect, "http.write", address,
                        failure, link);
  }
  co_return Ok();
}

/// Body of a response, read while it arrives.
class LinkStream : public ResponseStream {
 public:
  using Parser = beast::http::response_parser<AppendBody>;

  LinkStream(std::string server, std::unique_ptr<Link> open)
      : address(std::move(server)), link(std::move(open)) {
    // Without a limit, Beast 1.74 refuses every body that states its length.
    this->parser.body_limit(std::numeric_limits<std::uint64_t>::max());
  }

  Task<Result<void>> ReadHead() {
    boost::system::error_code failure;
    co_await beast::http::async_read_header(
        this->link->socket, this->link->buffer, this->parser,
        asio::redirect_error(asio::use_awaitable, failure));
    this->link->watchdog.Disarm();
    if (failure) {
      co_return FailureOf(ErrorCode::kUnknownEffect, "http.read", this->address,
                          failure, *this->link);
    }
    co_return Ok();
  }

  Status status() const override { return this->parser.get().result(); }

  Task<Result<std::optional<std::string>>> ReadLine(Duration bound) override {
    this->link->watchdog.Restart(bound);
    while (true) {
      if (auto line = this->TakeLine()) {
        this->link->watchdog.Disarm();
        co_return std::move(line);
      }
      if (this->parser.is_done()) {
        this->link->watchdog.Disarm();
        co_return this->TakeRest();
      }
      if (this->pending.size() > kMaxLineBytes) {
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
    this->link->socket.close(ignored);
  }

 private:
  Task<Result<void>> ReadSome() {
    boost::system::error_code failure;
    co_await beast::http::async_read_some(
        this->link->socket, this->link->buffer, this->parser,
        asio::redirect_error(asio::use_awaitable, failure));
    std::string& body = this->parser.get().body();
    this->pending += body;
    body.clear();
    if (!failure) {
      co_return Ok();
    }
    auto code = ErrorCode::kUnavailable;
    if (this->closed) {
      code = ErrorCode::kCancelled;
    } else if (this->link->watchdog.expired()) {
      code = ErrorCode::kTimeout;
    }
    co_return FailureOf(code, "http.read_line", this->address, failure,
                        *this->link);
  }

  std::optional<std::string> TakeLine() {
    const auto end = this->pending.find('\n', this->taken);
    if (end == std::string::npos) {
      this->pending.erase(0, this->taken);
      this->taken = 0;
      return std::nullopt;
    }
    std::string line = this->pending.substr(this->taken, end - this->taken);
    this->taken = end + 1;
    return line;
  }

  std::optional<std::string> TakeRest() {
    if (this->pending.empty()) {
      return std::nullopt;
    }
    return std::exchange(this->pending, {});
  }

  std::string address;
  std::unique_ptr<Link> link;
  Parser parser;
  std::string pending;
  std::size_t taken = 0;  ///< Bytes of `pending` already returned.
  bool closed = false;
};

}  // namespace

struct Client::State {
  State(asio::io_context& context, Clock& time) : io(context), clock(time) {}

  /// A kept connection that is not known to be closed; null if there is none.
  std::unique_ptr<Link> TakeIdle(const std::string& address) {
    auto& links = this->idle[address];
    while (!links.empty()) {
      std::unique_ptr<Link> link = std::move(links.back());
      links.pop_back();
      if (this->clock.Now() - link->idle_since <= kMaxIdleTime &&
          IsQuiet(*link)) {
        return link;
      }
    }
    return nullptr;
  }

  void Keep(const std::string& address, std::unique_ptr<Link> link) {
    auto& links = this->idle[address];
    if (links.size() < kMaxIdlePerAddress) {
      link->idle_since = this->clock.Now();
      links.push_back(std::move(link));
    }
  }

  /// Data or an end on an idle connection means that it can't be used.
  static bool IsQuiet(Link& link) {
    boost::system::error_code failure;
    char byte = 0;
    link.socket.non_blocking(true, failure);
    link.socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                        failure);
    return failure == asio::error::would_block;
  }

  asio::io_context& io;
  Clock& clock;
  std::map<std::string, std::vector<std::unique_ptr<Link>>, std::less<>> idle;
};

namespace {

/// Writes the request and reads the whole answer on `link`.
Task<Result<Response>> Exchange(Link& link, const std::string& address,
                                Request& request) {
  const auto written = co_await WriteRequest(link, address, request);
  if (!written) {
    co_return written.error();
  }
  beast::http::response_parser<AppendBody> parser;
  parser.body_limit(kMaxResponseBytes);
  boost::system::error_code failure;
  co_await beast::http::async_read(
      link.socket, link.buffer, parser,
      asio::redirect_error(asio::use_awaitable, failure));
  if (failure) {
    co_return FailureOf(ErrorCode::kUnknownEffect, "http.read", address,
                        failure, link);
  }
  link.watchdog.Disarm();
  auto message = parser.release();
  co_return Response(std::move(message.base()), std::move(message.body()));
}

}  // namespace

Client::Client(asio::io_context& io, Clock& clock)
    : state(std::make_shared<State>(io, clock)) {}

Client::~Client() = default;

Task<Result<Response>> Client::Send(std::string address, Request request,
                                    Duration bound, Connection connection) {
  auto shared = this->state;
  const TimePoint deadline = shared->clock.Now() + bound;
  std::unique_ptr<Link> link;
  if (connection == Connection::kReuse) {
    link = shared->TakeIdle(address);
  }
  if (link) {
    link->watchdog.Restart(bound);
    auto response = co_await Exchange(*link, address, request);
    const bool expired = link->watchdog.expired();
    if (response) {
      if (response.value().keep_alive() && request.keep_alive()) {
        shared->Keep(address, std::move(link));
      }
      co_return response;
    }
    // A read may be repeated: a fresh connection tells a closed connection
    // from a server that is gone.
    if (expired || request.method() != Verb::get) {
      co_return response;
    }
  }
  link = std::make_unique<Link>(shared->io, shared->clock);
  link->watchdog.Restart(deadline - shared->clock.Now());
  const auto connected = co_await Connect(*link, address);
  if (!connected) {
    co_return connected.error();
  }
  auto response = co_await Exchange(*link, address, request);
  if (response && response.value().keep_alive() && request.keep_alive()) {
    shared->Keep(address, std::move(link));
  }
  co_return response;
}

Task<Result<std::unique_ptr<ResponseStream>>> Client::Open(std::string address,
                                                           Request request,
                                                           Duration bound) {
  auto link = std::make_unique<Link>(this->state->io, this->state->clock);
  link->watchdog.Restart(bound);
  const auto connected = co_await Connect(*link, address);
  if (!connected) {
    co_return connected.error();
  }
  const auto written = co_await WriteRequest(*link, address, request);
  if (!written) {
    co_return written.error();
  }
  auto stream = std::make_unique<LinkStream>(address, std::move(link));
  const auto head = co_await stream->ReadHead();
  if (!head) {
    co_return head.error();
  }
  co_return std::unique_ptr<ResponseStream>(std::move(stream));
}

}  // namespace qp::http
