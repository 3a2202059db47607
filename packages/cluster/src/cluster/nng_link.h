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
  std::uint64_t sent = 0;       ///< Messages queued for sending.
  std::uint64_t dropped = 0;    ///< Queue full, message too long, or no socket.
  std::uint64_t received = 0;   ///< Well-formed frames received.
  std::uint64_t malformed = 0;  ///< Frames that could not be decoded.
  std::uint64_t reconnects = 0;  ///< Connections replaced because of silence.
};

/// Link over TCP that uses one nng pull socket and one nng push socket per
/// peer. Each frame carries the sender's address, so that the link detects a
/// peer that is silent although messages are sent to it: a connection can stay
/// open and carry no data while a new one would work. The link then replaces
/// its connection to the peer and, over the new one, asks the peer to replace
/// the reverse one.
class NngLink : public PeerLink {
 public:
  /// Maximum number of messages queued for a peer. Messages that do not fit are
  /// dropped.
  static constexpr int kSendQueueCapacity = 64;
  /// Maximum number of messages that were received on all connections but not
  /// yet passed to the receiver.
  static constexpr int kReceiveQueueCapacity = 1024;
  /// The connection to a peer is replaced if messages are sent to the peer and
  /// no message has arrived from the peer for this time. Also the minimum time
  /// between two replacements.
  static constexpr Duration kSilenceTimeout = std::chrono::milliseconds(1500);
  /// Connections over which nothing was sent for this time are closed.
  static constexpr Duration kIdleTimeout = std::chrono::seconds(60);

  /// Listens on `address` ("IP:port"), which also identifies this link to its
  /// peers. `clock` must outlive the link.
  static Result<std::unique_ptr<NngLink>> Open(std::string address,
                                               const Clock& clock);

  ~NngLink() override;
  NngLink(const NngLink&) = delete;
  NngLink& operator=(const NngLink&) = delete;

  /// Queues the message or drops it. Thread-safe.
  void Send(std::string_view address, std::string_view message) override;

  /// The receiver is called on threads of nng, by one thread at a time.
  /// SetReceiver waits for a call in progress.
  void SetReceiver(Receiver receiver) override;

  NngLinkCounters counters() const;

 private:
  struct State;
  explicit NngLink(std::unique_ptr<State> state);
  std::unique_ptr<State> state;
};

}  // namespace qp
