#include "relay/caller_listener.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "http/endpoint.h"
#include "relay/callers/request_cost.h"

namespace qp::relay {

namespace {

using asio::ip::tcp;

/// Pause after a failed accept. Most failures mean that the process has no file
/// descriptors left, so that an immediate retry would fail as well.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);

}  // namespace

CallerListener::CallerListener(RelayContext& context)
    : relay(context), acceptor(context.io), retry_timer(context.timers) {}

Result<void> CallerListener::Listen(std::string_view address) {
  BOOST_OUTCOME_TRY(endpoint, http::ParseEndpoint(address));
  boost::system::error_code failure;
  this->acceptor.open(endpoint.protocol(), failure);
  if (!failure) {
    this->acceptor.set_option(tcp::acceptor::reuse_address(true), failure);
    this->acceptor.bind(endpoint, failure);
  }
  if (!failure) {
    this->LimitSocketBuffers();
    const std::size_t backlog = this->relay.client_limits.backlog;
    this->acceptor.listen(
        backlog == 0 ? asio::socket_base::max_listen_connections
                     : static_cast<int>(std::min<std::size_t>(
                           backlog, asio::socket_base::max_listen_connections)),
        failure);
  }
  if (failure) {
    return Error{ErrorCode::kUnavailable, "caller.listen", std::string(address),
                 failure.message()};
  }
  this->Accept();
  return Ok();
}

void CallerListener::LimitSocketBuffers() {
  const auto bytes =
      static_cast<int>(this->relay.client_limits.socket_buffer_bytes);
  if (bytes == 0) {
    return;
  }
  // Without the options the process works as well, with more memory.
  boost::system::error_code ignored;
  this->acceptor.set_option(asio::socket_base::receive_buffer_size(bytes),
                            ignored);
  // Limits what waits to be sent, and leaves the kernel to choose how much is
  // on the way.
  const int unsent_bytes = bytes / 2;
  ::setsockopt(this->acceptor.native_handle(), IPPROTO_TCP, TCP_NOTSENT_LOWAT,
               &unsent_bytes, sizeof(unsent_bytes));
}

void CallerListener::Accept() {
  this->acceptor.async_accept(
      [this](boost::system::error_code failure, tcp::socket socket) {
        if (!failure) {
          this->Serve(std::move(socket));
        }
        if (!this->acceptor.is_open()) {
          return;
        }
        if (failure) {
          this->relay.metrics.Count("quetzalpost_clients_refused_total",
                                    "accept_failed");
          if (!std::exchange(this->accept_fails, true)) {
            this->relay.events.Record(EventId::kAcceptFailed,
                                      {{"why", failure.message()}});
          }
          // Gives back a descriptor for the next accept.
          this->CloseOne();
          this->retry_timer.Start(this->relay.Now() + kAcceptRetryDelay,
                                  [this] { this->Accept(); });
          return;
        }
        this->accept_fails = false;
        this->Accept();
      });
}

bool CallerListener::CloseOne() {
  CallerSession* spared = nullptr;
  ConnectionState state;
  for (const auto& [session, owned] : this->open_sessions) {
    const ConnectionState other = session->State();
    if (spared == nullptr || GivesWayBefore(other, state)) {
      spared = session;
      state = other;
    }
  }
  if (spared == nullptr || state.use == ConnectionUse::kBusy) {
    return false;
  }
  spared->CloseForOthers();
  return true;
}

void CallerListener::Serve(tcp::socket socket) {
  if (this->open_sessions.size() >= this->relay.client_limits.connections &&
      !this->CloseOne()) {
    this->relay.refusals.Count("all_connections_busy");
    this->relay.metrics.Count("quetzalpost_clients_refused_total",
                              "all_connections_busy");
    return;
  }
  auto session =
      std::make_shared<CallerSession>(this->relay, std::move(socket), *this);
  this->open_sessions.emplace(session.get(), session);
  session->Start();
}

void CallerListener::StopAccepting() {
  this->retry_timer.Cancel();
  if (!this->acceptor.is_open()) {
    return;
  }
  // Connections in the accept queue are established for their callers, who can
  // have sent requests already. Closing the acceptor would reset them.
  boost::system::error_code failure;
  this->acceptor.non_blocking(true, failure);
  while (!failure) {
    tcp::socket socket(this->relay.io);
    this->acceptor.accept(socket, failure);
    if (!failure) {
      this->Serve(std::move(socket));
    }
  }
  this->acceptor.close(failure);
}

void CallerListener::CloseIdle() {
  std::vector<std::shared_ptr<CallerSession>> idle;
  for (const auto& [key, session] : this->open_sessions) {
    if (session->IsIdle()) {
      idle.push_back(session);
    }
  }
  for (const auto& session : idle) {
    session->Close("a planned stop closed the idle connection");
  }
}

void CallerListener::ApplyTimeouts() {
  if (this->relay.active_configuration != nullptr) {
    const CallerLimits& limits =
        this->relay.active_configuration->configuration.limits;
    this->relay.input_budget.SetLargestRequest(LargestRequestBytes(limits));
  }
  for (const auto& [key, session] : this->open_sessions) {
    session->ApplyTimeouts();
  }
}

void CallerListener::CloseAll() {
  const auto sessions = this->open_sessions;
  for (const auto& [key, session] : sessions) {
    session->CloseForStop();
  }
}

void CallerListener::OnSessionClosed(CallerSession* session) {
  this->open_sessions.erase(session);
}

}  // namespace qp::relay
