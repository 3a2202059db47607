#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string_view>
#include <unordered_map>

#include "foundation/error.h"
#include "relay/caller_session.h"
#include "relay/relay.h"

namespace qp::relay {

/// Accepts the connections of callers and owns their sessions.
class CallerListener : public SessionOwner {
 public:
  explicit CallerListener(RelayContext& relay);

  /// Listens on `address`, "IP:port". With port 0 the operating system chooses
  /// a free port. kUnavailable if the socket cannot be opened or bound.
  Result<void> Listen(std::string_view address);
  std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }
  /// Accepts the connections that already wait in the accept queue, then closes
  /// the acceptor.
  void StopAccepting();
  /// Closes the sessions that are idle (CallerSession::IsIdle).
  void CloseIdle();
  /// Closes all sessions at the end of a planned stop and records the requests
  /// that this cuts off.
  void CloseAll();
  /// Applies the timeouts of a new configuration to all open sessions.
  void ApplyTimeouts();
  /// Number of open sessions.
  std::size_t sessions() const { return this->open_sessions.size(); }

  void OnSessionClosed(CallerSession* session) override;

 private:
  /// Limits what the kernel buffers for each connection. Accepted connections
  /// take these options over from the listening socket.
  void LimitSocketBuffers();
  void Accept();
  /// Closes the connection that can best be spared. False if all connections
  /// are busy.
  bool CloseOne();
  void Serve(asio::ip::tcp::socket socket);

  RelayContext& relay;
  asio::ip::tcp::acceptor acceptor;
  std::unordered_map<CallerSession*, std::shared_ptr<CallerSession>>
      open_sessions;
  bool accept_fails = false;  ///< The last accept failed.
  ScopedTimer retry_timer;    ///< Runs after a failed accept.
};

}  // namespace qp::relay
