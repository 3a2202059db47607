#include "cluster/nng_link.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include "cluster/messages.h"

namespace qp {

namespace {

// Frame: flags (1 byte), length of the sender's address (1 byte), the address,
// the message.
constexpr std::size_t kFrameHeaderBytes = 2;
constexpr std::size_t kMaxAddressBytes = 64;
/// Flag that asks the receiver to reconnect to the sender, which receives no
/// frames from the receiver.
constexpr std::uint8_t kFlagReconnect = 1;
constexpr nng_duration kMinReconnectDelay = 100;   // milliseconds
constexpr nng_duration kMaxReconnectDelay = 1000;  // milliseconds
constexpr std::size_t kMaxFrameBytes =
    kFrameHeaderBytes + kMaxAddressBytes + kMaxMessageBytes;

/// A decoded frame; the views refer to the received bytes.
struct Frame {
  std::uint8_t flags = 0;
  std::string_view address;
  std::string_view message;
};

std::optional<Frame> DecodeFrame(std::string_view bytes) {
  if (bytes.size() < kFrameHeaderBytes) {
    return std::nullopt;
  }
  const auto length =
      static_cast<std::size_t>(static_cast<unsigned char>(bytes[1]));
  if (length > kMaxAddressBytes || bytes.size() < kFrameHeaderBytes + length) {
    return std::nullopt;
  }
  return Frame{static_cast<std::uint8_t>(bytes[0]),
               bytes.substr(kFrameHeaderBytes, length),
               bytes.substr(kFrameHeaderBytes + length)};
}

std::string EncodeFrame(std::uint8_t flags, std::string_view address,
                        std::string_view message) {
  std::string frame;
  frame.reserve(kFrameHeaderBytes + address.size() + message.size());
  frame.push_back(static_cast<char>(flags));
  frame.push_back(static_cast<char>(address.size()));
  frame += address;
  frame += message;
  return frame;
}

Error NngError(std::string step, const std::string& address, int code) {
  return {ErrorCode::kUnavailable, std::move(step), address,
          nng_strerror(static_cast<int>(code))};
}

std::string UrlOf(std::string_view address) {
  return "tcp://" + std::string(address);
}

/// Closes sockets on a separate thread, since nng_close blocks until nng's
/// transport has finished.
class SocketCloser {
 public:
  SocketCloser() : thread([this] { this->Run(); }) {}

  ~SocketCloser() {
    {
      std::lock_guard lock(this->mutex);
      this->stopping = true;
    }
    this->changed.notify_one();
    this->thread.join();
  }

  SocketCloser(const SocketCloser&) = delete;
  SocketCloser& operator=(const SocketCloser&) = delete;

  void Close(nng_socket socket) {
    {
      std::lock_guard lock(this->mutex);
      this->sockets.push_back(socket);
    }
    this->changed.notify_one();
  }

 private:
  void Run() {
    std::unique_lock lock(this->mutex);
    while (!this->stopping || !this->sockets.empty()) {
      if (this->sockets.empty()) {
        this->changed.wait(lock);
        continue;
      }
      const nng_socket socket = this->sockets.back();
      this->sockets.pop_back();
      lock.unlock();
      nng_close(socket);
      lock.lock();
    }
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::vector<nng_socket> sockets;
  bool stopping = false;
  std::thread thread;
};

/// Opens a push socket that connects in the background. Empty if nng fails to
/// open it or rejects the address.
std::optional<nng_socket> Dial(std::string_view address) {
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  if (nng_push0_open(&socket) != 0) {
    return std::nullopt;
  }
  nng_socket_set_int(socket, NNG_OPT_SENDBUF, NngLink::kSendQueueCapacity);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, kMinReconnectDelay);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, kMaxReconnectDelay);
  if (nng_dial(socket, UrlOf(address).c_str(), nullptr, NNG_FLAG_NONBLOCK) !=
      0) {
    nng_close(socket);
    return std::nullopt;
  }
  return socket;
}

}  // namespace

struct NngLink::State {
  /// Connection to one peer and the times that decide on its replacement.
  struct Peer {
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    TimePoint connected_at{};
    /// Arrival of the peer's last frame; before the first one, time of the
    /// first connection attempt.
    TimePoint heard_at{};
    TimePoint used_at{};
  };

  State(std::string own_address, const Clock& link_clock)
      : address(std::move(own_address)), clock(link_clock) {}

  ~State() {
    if (this->receive_aio != nullptr) {
      nng_aio_stop(this->receive_aio);
      nng_aio_free(this->receive_aio);
    }
    nng_close(this->pull_socket);
    for (const auto& [peer_address, peer] : this->peers) {
      this->closer.Close(peer.socket);
    }
  }

  State(const State&) = delete;
  State& operator=(const State&) = delete;

  int Listen() {
    int code = nng_pull0_open(&this->pull_socket);
    if (code != 0) {
      return code;
    }
    nng_socket_set_int(this->pull_socket, NNG_OPT_RECVBUF,
                       kReceiveQueueCapacity);
    nng_socket_set_size(this->pull_socket, NNG_OPT_RECVMAXSZ, kMaxFrameBytes);
    code =
        nng_listen(this->pull_socket, UrlOf(this->address).c_str(), nullptr, 0);
    if (code != 0) {
      return code;
    }
    code = nng_aio_alloc(
        &this->receive_aio,
        [](void* state) { static_cast<State*>(state)->OnReceived(); }, this);
    if (code == 0) {
      nng_recv_aio(this->pull_socket, this->receive_aio);
    }
    return code;
  }

  /// Completion callback, on a thread of nng. Starts the next receive when it
  /// ends, so that frames are handled one at a time.
  void OnReceived() {
    const int code = nng_aio_result(this->receive_aio);
    if (code == NNG_ECLOSED || code == NNG_ECANCELED) {
      return;
    }
    if (code == 0) {
      nng_msg* message = nng_aio_get_msg(this->receive_aio);
      this->HandleFrame({static_cast<const char*>(nng_msg_body(message)),
                         nng_msg_len(message)});
      nng_msg_free(message);
    }
    nng_recv_aio(this->pull_socket, this->receive_aio);
  }

  void HandleFrame(std::string_view bytes) {
    const auto frame = DecodeFrame(bytes);
    {
      std::lock_guard lock(this->mutex);
      if (!frame) {
        ++this->counters.malformed;
        return;
      }
      ++this->counters.received;
      this->HandlePeerFrame(*frame);
    }
    std::lock_guard lock(this->receiver_mutex);
    if (this->receiver) {
      this->receiver(frame->message);
    }
  }

  void HandlePeerFrame(const Frame& frame) {
    const auto found = this->peers.find(frame.address);
    if (found == this->peers.end()) {
      return;
    }
    Peer& peer = found->second;
    const TimePoint now = this->clock.Now();
    peer.heard_at = now;
    if ((frame.flags & kFlagReconnect) != 0 &&
        now >= peer.connected_at + kSilenceTimeout) {
      this->Reconnect(found->first, peer, now);
    }
  }

  void Reconnect(const std::string& peer_address, Peer& peer, TimePoint now) {
    const auto socket = Dial(peer_address);
    if (!socket) {
      return;
    }
    this->closer.Close(peer.socket);
    peer.socket = *socket;
    peer.connected_at = now;
    ++this->counters.reconnects;
  }

  /// Returns the peer at `to` and connects to it if necessary. Null if no
  /// socket can be opened for it.
  Peer* FindOrConnect(std::string_view to, TimePoint now) {
    const auto found = this->peers.find(to);
    if (found != this->peers.end()) {
      return &found->second;
    }
    const auto socket = Dial(to);
    if (!socket) {
      return nullptr;
    }
    Peer peer;
    peer.socket = *socket;
    peer.connected_at = now;
    peer.heard_at = now;
    return &this->peers.emplace(std::string(to), peer).first->second;
  }

  void Send(std::string_view to, std::string_view message) {
    std::lock_guard lock(this->mutex);
    const TimePoint now = this->clock.Now();
    this->CloseIdleConnections(now);
    Peer* peer = message.size() <= kMaxMessageBytes
                     ? this->FindOrConnect(to, now)
                     : nullptr;
    if (peer == nullptr) {
      ++this->counters.dropped;
      return;
    }
    peer->used_at = now;
    const bool silent = now >= peer->heard_at + kSilenceTimeout;
    if (silent && now >= peer->connected_at + kSilenceTimeout) {
      this->Reconnect(std::string(to), *peer, now);
    }
    std::string frame =
        EncodeFrame(silent ? kFlagReconnect : 0, this->address, message);
    const int code =
        nng_send(peer->socket, frame.data(), frame.size(), NNG_FLAG_NONBLOCK);
    ++(code == 0 ? this->counters.sent : this->counters.dropped);
  }

  void CloseIdleConnections(TimePoint now) {
    if (now < this->next_idle_check) {
      return;
    }
    this->next_idle_check = now + kIdleTimeout / 10;
    std::erase_if(this->peers, [this, now](const auto& entry) {
      const bool idle = now >= entry.second.used_at + kIdleTimeout;
      if (idle) {
        this->closer.Close(entry.second.socket);
      }
      return idle;
    });
  }

  std::string address;
  const Clock& clock;
  SocketCloser closer;
  nng_socket pull_socket = NNG_SOCKET_INITIALIZER;
  nng_aio* receive_aio = nullptr;
  mutable std::mutex mutex;  ///< Guards peers, next_idle_check and counters.
  std::map<std::string, Peer, std::less<>> peers;
  TimePoint next_idle_check{};
  NngLinkCounters counters;
  std::mutex receiver_mutex;  ///< Guards receiver; held while it is called.
  Receiver receiver;
};

Result<std::unique_ptr<NngLink>> NngLink::Open(std::string address,
                                               const Clock& clock) {
  if (address.size() > kMaxAddressBytes) {
    return Error{
        ErrorCode::kInvalidArgument, "cluster.listen", address,
        "the address exceeds " + std::to_string(kMaxAddressBytes) + " bytes"};
  }
  auto state = std::make_unique<State>(address, clock);
  const int code = state->Listen();
  if (code != 0) {
    return NngError("cluster.listen", address, code);
  }
  return std::unique_ptr<NngLink>(new NngLink(std::move(state)));
}

NngLink::NngLink(std::unique_ptr<State> link_state)
    : state(std::move(link_state)) {}

NngLink::~NngLink() = default;

void NngLink::Send(std::string_view address, std::string_view message) {
  this->state->Send(address, message);
}

void NngLink::SetReceiver(Receiver receiver) {
  std::lock_guard lock(this->state->receiver_mutex);
  this->state->receiver = std::move(receiver);
}

NngLinkCounters NngLink::counters() const {
  std::lock_guard lock(this->state->mutex);
  return this->state->counters;
}

}  // namespace qp
