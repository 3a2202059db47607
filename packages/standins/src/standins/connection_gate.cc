#include "standins/connection_gate.h"

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <unordered_set>

#include "standins/standin.h"

namespace qp::standins {

namespace {

using asio::ip::tcp;

constexpr std::size_t kBufferBytes = 16 * 1024;
using Buffer = std::array<char, kBufferBytes>;

/// One relayed connection.
struct Session {
  explicit Session(tcp::socket accepted)
      : client(std::move(accepted)), upstream(client.get_executor()) {}

  void Close() {
    boost::system::error_code ignored;
    this->client.close(ignored);
    this->upstream.close(ignored);
  }

  tcp::socket client;
  tcp::socket upstream;
  bool control = false;
  bool silent = false;
};

bool IsControl(std::string_view head) {
  const auto space = head.find(' ');
  return space != std::string_view::npos &&
         head.substr(space + 1).starts_with(kControlPrefix);
}

Task<std::size_t> ReadSome(tcp::socket& socket, Buffer& buffer) {
  boost::system::error_code failure;
  const std::size_t count = co_await socket.async_read_some(
      asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, failure));
  co_return failure ? 0 : count;
}

Task<bool> WriteAll(tcp::socket& socket, std::string_view bytes) {
  boost::system::error_code failure;
  co_await asio::async_write(
      socket, asio::buffer(bytes.data(), bytes.size()),
      asio::redirect_error(asio::use_awaitable, failure));
  co_return !failure;
}

Task<bool> Connect(tcp::socket& socket, std::uint16_t port) {
  boost::system::error_code failure;
  const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), port);
  co_await socket.async_connect(
      endpoint, asio::redirect_error(asio::use_awaitable, failure));
  if (!failure) {
    socket.set_option(tcp::no_delay(true), failure);
  }
  co_return !failure;
}

Task<void> PumpAnswers(std::shared_ptr<Session> session) {
  Buffer buffer;
  while (true) {
    const std::size_t count = co_await ReadSome(session->upstream, buffer);
    if (count == 0) {
      break;
    }
    if (session->silent) {
      continue;
    }
    const std::string_view bytes(buffer.data(), count);
    if (!co_await WriteAll(session->client, bytes)) {
      break;
    }
  }
  // A silent connection does not even tell its client that it has ended.
  if (!session->silent) {
    session->Close();
  }
}

Task<void> PumpRequests(std::shared_ptr<Session> session, Buffer& buffer,
                        std::size_t count) {
  while (count > 0) {
    const std::string_view bytes(buffer.data(), count);
    if (!co_await WriteAll(session->upstream, bytes) && !session->silent) {
      break;
    }
    count = co_await ReadSome(session->client, buffer);
  }
  session->Close();
}

}  // namespace

struct ConnectionGate::State {
  explicit State(asio::io_context& io) : acceptor(io) {}

  tcp::acceptor acceptor;
  std::uint16_t upstream_port = 0;
  bool down = false;
  std::unordered_set<std::shared_ptr<Session>> sessions;

  static Task<void> Relay(std::shared_ptr<State> state,
                          std::shared_ptr<Session> session) {
    Buffer buffer;
    const std::size_t count = co_await ReadSome(session->client, buffer);
    session->control = IsControl({buffer.data(), count});
    const bool refused = state->down && !session->control;
    if (count > 0 && !refused &&
        co_await Connect(session->upstream, state->upstream_port)) {
      asio::co_spawn(state->acceptor.get_executor(), PumpAnswers(session),
                     asio::detached);
      co_await PumpRequests(session, buffer, count);
    }
    session->Close();
    state->sessions.erase(session);
  }

  static Task<void> Accept(std::shared_ptr<State> state) {
    while (state->acceptor.is_open()) {
      boost::system::error_code failure;
      tcp::socket socket = co_await state->acceptor.async_accept(
          asio::redirect_error(asio::use_awaitable, failure));
      if (failure) {
        continue;
      }
      socket.set_option(tcp::no_delay(true), failure);
      auto session = std::make_shared<Session>(std::move(socket));
      state->sessions.insert(session);
      asio::co_spawn(state->acceptor.get_executor(), Relay(state, session),
                     asio::detached);
    }
  }
};

ConnectionGate::ConnectionGate(asio::io_context& io)
    : state(std::make_shared<State>(io)) {}

ConnectionGate::~ConnectionGate() {
  boost::system::error_code ignored;
  this->state->acceptor.close(ignored);
  for (const auto& session : this->state->sessions) {
    session->Close();
  }
}

Result<std::uint16_t> ConnectionGate::Listen(std::string_view address,
                                             std::uint16_t upstream_port) {
  const auto colon = address.rfind(':');
  const std::string port(address.substr(colon + 1));
  try {
    const tcp::endpoint endpoint(
        asio::ip::make_address(std::string(address.substr(0, colon))),
        static_cast<std::uint16_t>(std::stoul(port)));
    auto& acceptor = this->state->acceptor;
    acceptor.open(endpoint.protocol());
    acceptor.set_option(tcp::acceptor::reuse_address(true));
    acceptor.bind(endpoint);
    acceptor.listen();
  } catch (const std::exception& failure) {
    return Error{ErrorCode::kUnavailable, "gate.listen", std::string(address),
                 failure.what()};
  }
  this->state->upstream_port = upstream_port;
  asio::co_spawn(this->state->acceptor.get_executor(),
                 State::Accept(this->state), asio::detached);
  return this->state->acceptor.local_endpoint().port();
}

void ConnectionGate::SilenceOpenConnections() {
  for (const auto& session : this->state->sessions) {
    session->silent = !session->control;
  }
}

void ConnectionGate::SetDown(bool down) {
  this->state->down = down;
  if (!down) {
    return;
  }
  for (const auto& session : this->state->sessions) {
    if (!session->control) {
      session->Close();
    }
  }
}

}  // namespace qp::standins
