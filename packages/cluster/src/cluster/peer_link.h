#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace qp {

/// Datagram-like transport between daemons: messages can be lost, delayed or
/// duplicated, but are never truncated. Sending never blocks.
class PeerLink {
 public:
  /// Receives the bytes of a message. Called on a thread of the link.
  using Receiver = std::function<void(std::string_view message)>;

  virtual ~PeerLink() = default;
  virtual void Send(std::string_view address, std::string_view message) = 0;
  virtual void SetReceiver(Receiver receiver) = 0;
};

}  // namespace qp
