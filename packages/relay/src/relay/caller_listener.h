#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <string_view>
#include <unordered_map>

#include "foundation/error.h"
#include "relay/caller_session.h"
#include "relay/relay.h"

namespace qp::relay {

/// Accepts callers' connections.
class CallerListener : public SessionOwner {
 public:
  explicit CallerListener(RelayContext& relay);

  /// The system chooses the port if `address` names port 0.
  Result<void> Listen(std::string_view address);
  std::uint16_t port() const { return this->acceptor.local_endpoint().port(); }
  /// Takes the connections that wait to be accepted, and no more.
  void StopAccepting();
  /// Closes connections on which no request is under way.
  void CloseIdle();
  /// Closes everything that is left.
  void CloseAll();
  std::size_t sessions() const { return this->open.size(); }

  void OnSessionClosed(CallerSession* session) override;

 private:
  void Accept();
  void Serve(asio::ip::tcp::socket socket);

  RelayContext& relay;
  asio::ip::tcp::acceptor acceptor;
  std::unordered_map<CallerSession*, std::shared_ptr<CallerSession>> open;
  ScopedTimer retry_timer;
};

}  // namespace qp::relay
