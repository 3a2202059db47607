#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "foundation/asio.h"
#include "foundation/error.h"

namespace qp::standins {

/// Relays TCP connections of a listener to a port on loopback and disturbs
/// them as a broken network path or a stopped host would. Connections that
/// begin with a control request of a stand-in are never disturbed.
class ConnectionGate {
 public:
  explicit ConnectionGate(asio::io_context& io);
  ~ConnectionGate();
  ConnectionGate(const ConnectionGate&) = delete;
  ConnectionGate& operator=(const ConnectionGate&) = delete;

  /// Opens the listener on "IP:port", port 0 for any; returns its port.
  Result<std::uint16_t> Listen(std::string_view address,
                               std::uint16_t upstream_port);

  /// From now on the connections that are open deliver nothing to their
  /// clients, although what clients send still arrives. New ones work.
  void SilenceOpenConnections();

  /// While down, open connections are closed and new ones are closed once
  /// their first bytes have arrived.
  void SetDown(bool down);

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace qp::standins
