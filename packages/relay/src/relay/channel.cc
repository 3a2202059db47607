#include "relay/channel.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <utility>

namespace qp::relay {

namespace {

using asio::ip::tcp;
using boost::system::error_code;

/// Size of the read buffer that all channels of a thread share.
constexpr std::size_t kReadBufferBytes = 64 * 1024;

/// TCP_USER_TIMEOUT: time without acknowledgement after which the kernel closes
/// a connection, because a peer that has lost power never responds. 2 s is the
/// longest gap that callers accept in a stream.
constexpr int kTcpUserTimeoutMs = 2000;

std::array<char, kReadBufferBytes>& ReadBuffer() {
  thread_local std::array<char, kReadBufferBytes> buffer;
  return buffer;
}

void Configure(tcp::socket& socket) {
  error_code ignored;
  socket.non_blocking(true, ignored);
  socket.set_option(tcp::no_delay(true), ignored);
  ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
               &kTcpUserTimeoutMs, sizeof(kTcpUserTimeoutMs));
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
  this->current_reader = reader;
  this->WaitForReadable();
}

void Channel::Resume() {
  this->paused = false;
  this->WaitForReadable();
}

void Channel::WaitForReadable() {
  if (this->reading || this->paused || !this->is_open()) {
    return;
  }
  this->reading = true;
  this->socket.async_wait(
      tcp::socket::wait_read,
      [self = this->shared_from_this()](error_code failure) {
        self->reading = false;
        self->HandleReadable(failure);
      });
}

void Channel::HandleReadable(const error_code& failure) {
  if (!this->is_open() || this->paused) {
    return;
  }
  if (failure) {
    this->End(failure);
    return;
  }
  auto& buffer = ReadBuffer();
  error_code result;
  const std::size_t count =
      this->socket.read_some(asio::buffer(buffer), result);
  if (result == asio::error::would_block) {
    this->WaitForReadable();
    return;
  }
  if (result == asio::error::eof) {
    // The operating system reports a reset or a timeout only once. If a write
    // has met it, the reads after that end like an orderly close.
    this->End(this->failed_write);
    return;
  }
  if (result) {
    this->End(result);
    return;
  }
  const auto self = this->shared_from_this();
  if (this->current_reader != nullptr) {
    this->current_reader->OnBytes({buffer.data(), count});
  }
  this->WaitForReadable();
}

void Channel::Write(std::string_view bytes) {
  if (!this->is_open()) {
    return;
  }
  if (this->unsent() > 0) {
    // A peer that reads just fast enough never empties the buffer, which would
    // otherwise keep all that was ever sent.
    if (this->flushed_bytes >= this->pending.size() / 2) {
      this->pending.erase(0, std::exchange(this->flushed_bytes, 0));
    }
    this->pending.append(bytes);
    return;
  }
  error_code failure;
  const std::size_t count = this->socket.write_some(
      asio::buffer(bytes.data(), bytes.size()), failure);
  this->total_written += count;
  if (failure && failure != asio::error::would_block) {
    this->HandleWriteFailure(failure);
    return;
  }
  if (count < bytes.size()) {
    this->pending.assign(bytes.substr(count));
    this->flushed_bytes = 0;
    this->WaitForWritable();
  }
}

void Channel::WriteOwned(std::string bytes) {
  if (this->unsent() > 0 || !this->is_open()) {
    this->Write(bytes);
    return;
  }
  this->pending = std::move(bytes);
  this->flushed_bytes = 0;
  error_code failure;
  const std::size_t count =
      this->socket.write_some(asio::buffer(this->pending), failure);
  this->total_written += count;
  this->flushed_bytes = count;
  if (failure && failure != asio::error::would_block) {
    this->HandleWriteFailure(failure);
    this->ClearPending();
    return;
  }
  if (this->unsent() > 0) {
    this->WaitForWritable();
    return;
  }
  this->ClearPending();
}

void Channel::ClearPending() {
  // Assigning an empty string would keep the memory.
  this->pending.clear();
  this->pending.shrink_to_fit();
  this->flushed_bytes = 0;
}

void Channel::WaitForWritable() {
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
      asio::buffer(this->pending.data() + this->flushed_bytes, this->unsent()),
      failure);
  this->total_written += count;
  this->flushed_bytes += count;
  if (failure && failure != asio::error::would_block) {
    this->HandleWriteFailure(failure);
    return;
  }
  if (this->unsent() > 0) {
    this->WaitForWritable();
    return;
  }
  this->ClearPending();
  if (this->current_reader != nullptr) {
    this->current_reader->OnWritten();
  }
}

void Channel::ShutdownWrites() {
  error_code ignored;  // The next read reports a failure to the reader.
  this->socket.shutdown(tcp::socket::shutdown_send, ignored);
}

bool Channel::has_input() const {
  error_code failure;
  return this->is_open() && this->socket.available(failure) > 0;
}

bool Channel::IsQuiet() {
  if (!this->is_open()) {
    return false;
  }
  error_code result;
  char byte = 0;
  this->socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek,
                       result);
  return result == asio::error::would_block;
}

void Channel::Close() {
  if (std::exchange(this->closed, true)) {
    return;
  }
  this->current_reader = nullptr;
  error_code ignored;
  this->socket.close(ignored);
}

void Channel::HandleWriteFailure(const error_code& failure) {
  // What the peer sent before is still read; the read after that ends the
  // channel.
  if (!this->failed_write) {
    this->failed_write = failure;
  }
}

void Channel::End(const error_code& failure) {
  const auto self = this->shared_from_this();
  if (this->current_reader != nullptr) {
    this->current_reader->OnClose(failure);
  } else {
    this->Close();
  }
}

}  // namespace qp::relay
