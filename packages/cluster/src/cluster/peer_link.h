#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace qp {

/// Datagram-like exchange between daemons: messages may be lost, delayed or
/// arrive twice, but arrive whole. Sending never blocks.
class PeerLink {
 public:
  /// Bytes of a received message; called on a thread of the link.
  using Receiver = std::function<void(std::string_view message)>;

  virtual ~PeerLink() = default;
  virtual void Send(std::string_view address, std::string_view message) = 0;
  virtual void SetReceiver(Receiver receiver) = 0;
};

}  // namespace qp
