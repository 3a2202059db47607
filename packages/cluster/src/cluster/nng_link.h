#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "cluster/peer_link.h"
#include "foundation/clock.h"
#include "foundation/error.h"

namespace qp {

/// Counts since the link was opened.
struct NngLinkCounters {
  std::uint64_t sent = 0;      ///< Messages queued for sending.
  std::uint64_t dropped = 0;   ///< Not sent: queue full, too long, no peer.
  std::uint64_t received = 0;  ///< Messages handed to the receiver.
  std::uint64_t malformed = 0;
  std::uint64_t reconnects = 0;  ///< Fresh connections to silent peers.
};

/// Link over TCP: one nng pull socket, and one push socket per peer. Each
/// message is preceded by its sender's address, so that the link can tell that
/// a peer is silent although messages are sent to it: an open connection may
/// carry nothing any more while a new one works. The link then connects anew
/// and asks the peer, over the new connection, to do the same.
class NngLink : public PeerLink {
 public:
  /// Messages queued for one peer; more are dropped.
  static constexpr int kSendQueueCapacity = 64;
  /// Messages received and not yet handed over, on all connections.
  static constexpr int kReceiveQueueCapacity = 1024;
  /// A peer that was sent to and not heard for this time gets a fresh
  /// connection, and no other for this time after.
  static constexpr Duration kSilenceTimeout = std::chrono::milliseconds(1500);
  /// Connections not used for this time are closed.
  static constexpr Duration kIdleTimeout = std::chrono::seconds(60);

  /// Listens on `address`, "IP:port".
  static Result<std::unique_ptr<NngLink>> Open(std::string address,
                                               const Clock& clock);

  ~NngLink() override;
  NngLink(const NngLink&) = delete;
  NngLink& operator=(const NngLink&) = delete;

  /// Thread-safe. Queues the message or drops it.
  void Send(std::string_view address, std::string_view message) override;

  /// The receiver is called on a thread of nng, by one thread at a time.
  void SetReceiver(Receiver receiver) override;

  NngLinkCounters counters() const;

 private:
  struct State;
  explicit NngLink(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

}  // namespace qp
