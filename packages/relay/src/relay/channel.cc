#include "relay/channel.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <utility>

namespace qp::relay {

namespace {

using asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kReadBytes = 64 * 1024;

/// Time without acknowledgement after which the kernel gives a connection up.
/// A peer without power never answers; 2 s is the longest gap that callers
/// accept in a stream.
constexpr int kUnacknowledgedMs = 2000;

std::array<char, kReadBytes>& ReadBuffer() {
  thread_local std::array<char, kReadBytes> buffer;
  return buffer;
}

void Configure(tcp::socket& socket) {
  error_code ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(tcp::no_delay(true), ignored);
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &kUnacknowledgedMs, sizeof(kUnacknowledgedMs));
}

}  // namespace

Channel::Channel(Socket open) : socket(std::move(open)) {
  if (this->socket.is_open()) {
    Configure(this->socket);
  }
}

void Channel::Connect(const tcp::endpoint& peer, ConnectCallback callback) {
  error_code failure;
  this->socket.open(peer.protocol(), failure);
  if (failure) {
    callback(failure);
    return;
  }
  Configure(this->socket);
  this->socket.async_connect(peer,
                             [self = this->shared_from_this(),
                              done = std::move(callback)](error_code result) {
                               if (!self->closed) {
                                 done(result);
                               }
                             });
}

void Channel::SetReader(ChannelReader* reader) {
  this->target = reader;
  this->WaitForBytes();
}

void Channel::Resume() {
  this->paused = false;
  this->WaitForBytes();
}

void Channel::WaitForBytes() {
  if (this->reading || this->paused || !this->is_open()) {
    return;
  }
  this->reading = true;
  this->socket.async_wait(
      tcp::socket::wait_read,
      [self = this->shared_from_this()](error_code failure) {
        self->reading = false;
        self->ReadReady(failure);
      });
}

void Channel::ReadReady(const error_code& failure) {
  if (!this->is_open() || this->paused) {
    return;
  }
  if (failure) {
    this->Fail(failure);
    return;
  }
  auto& buffer = ReadBuffer();
  error_code result;
  const std::size_t count =
      this->socket.read_some(asio::buffer(buffer), result);
  if (result == asio::error::would_block) {
    this->WaitForBytes();
    return;
  }
  if (result == asio::error::eof) {
    this->Fail({});
    return;
  }
  if (result) {
    this->Fail(result);
    return;
  }
  const auto self = this->shared_from_this();
  if (this->target != nullptr) {
    this->target->OnBytes({buffer.data(), count});
  }
  this->WaitForBytes();
}

void Channel::Write(std::string_view bytes) {
  if (!this->is_open()) {
    return;
  }
  if (this->unsent() > 0) {
    this->pending.append(bytes);
    return;
  }
  error_code failure;
  const std::size_t count = this->socket.write_some(
      asio::buffer(bytes.data(), bytes.size()), failure);
  this->total_written += count;
  if (failure && failure != asio::error::would_block) {
    // The reader learns of it from its next read.
    return;
  }
  if (count < bytes.size()) {
    this->pending.assign(bytes.substr(count));
    this->sent = 0;
    this->WaitForRoom();
  }
}

void Channel::WaitForRoom() {
  if (this->writing || !this->is_open()) {
    return;
  }
  this->writing = true;
  this->socket.async_wait(
      tcp::socket::wait_write,
      [self = this->shared_from_this()](error_code failure) {
        self->writing = false;
        if (!failure && self->is_open()) {
          self->Flush();
        }
      });
}

void Channel::Flush() {
  error_code failure;
  const std::size_t count = this->socket.write_some(
      asio::buffer(this->pending.data() + this->sent, this->unsent()), failure);
  this->total_written += count;
  this->sent += count;
  if (failure && failure != asio::error::would_block) {
    return;
  }
  if (this->unsent() > 0) {
    this->WaitForRoom();
    return;
  }
  this->pending = {};
  this->sent = 0;
  if (this->target != nullptr) {
    this->target->OnWritten();
  }
}

void Channel::ShutdownWrites() {
  error_code ignored;  // The reader learns of it from its next read.
  this->socket.shutdown(tcp::socket::shutdown_send, ignored);
}

bool Channel::has_input() const {
  error_code failure;
  return this->is_open() && this->socket.available(failure) > 0;
}

void Channel::Close() {
  if (std::exchange(this->closed, true)) {
    return;
  }
  this->target = nullptr;
  error_code ignored;
  this->socket.close(ignored);
}

void Channel::Fail(const error_code& failure) {
  const auto self = this->shared_from_this();
  if (this->target != nullptr) {
    this->target->OnClose(failure);
  } else {
    this->Close();
  }
}

}  // namespace qp::relay
