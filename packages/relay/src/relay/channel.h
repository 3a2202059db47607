#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "foundation/asio.h"

namespace qp::relay {

/// Receives what a channel reads. Not called after Channel::Close.
class ChannelReader {
 public:
  virtual ~ChannelReader() = default;
  virtual void OnBytes(std::string_view bytes) = 0;
  /// Called when all buffered bytes have been handed to the operating system.
  virtual void OnWritten() {}
  /// Called when the connection has ended. `failure` is empty only if the peer
  /// has closed it, all that the peer sent was read, and no write has failed.
  /// What ends with its connection is complete only then.
  virtual void OnClose(const boost::system::error_code& failure) = 0;
};

/// A TCP connection with buffered writes that passes received bytes to a
/// reader. All channels of a thread share one read buffer, so an idle
/// connection holds no buffer. The write buffer has no limit: callers of Write
/// check `unsent` and wait for OnWritten.
class Channel : public std::enable_shared_from_this<Channel> {
 public:
  using Socket = asio::ip::tcp::socket;
  using ConnectCallback = std::function<void(boost::system::error_code)>;

  explicit Channel(Socket open);
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /// Opens a connection. The callback is not called after Close.
  void Connect(const asio::ip::tcp::endpoint& peer, ConnectCallback callback);
  /// Starts to read, or replaces the reader. `reader` must live until Close is
  /// called or another reader is set.
  void SetReader(ChannelReader* reader);
  /// Stops reading until Resume, so that TCP flow control slows the peer down.
  void Pause() { this->paused = true; }
  void Resume();
  void Write(std::string_view bytes);
  /// Like Write, but keeps `bytes` itself instead of a copy of what the
  /// operating system does not accept at once.
  void WriteOwned(std::string bytes);
  /// Closes the sending direction of the connection.
  void ShutdownWrites();
  void Close();

  bool is_open() const { return this->socket.is_open() && !this->closed; }
  /// Whether bytes from the peer have arrived that the channel has not read
  /// yet.
  bool has_input() const;
  /// Whether the connection is open and the peer has neither sent bytes that
  /// are not read yet nor closed it, as far as is known now.
  bool IsQuiet();
  /// Bytes that are buffered and not yet handed to the operating system.
  std::size_t unsent() const {
    return this->pending.size() - this->flushed_bytes;
  }
  /// Memory of the write buffer in bytes.
  std::size_t buffer_bytes() const { return this->pending.capacity(); }
  /// Bytes handed to the operating system so far.
  std::uint64_t written() const { return this->total_written; }
  /// Failure of the first write that failed; none if all have succeeded.
  const boost::system::error_code& write_failure() const {
    return this->failed_write;
  }

 private:
  void WaitForReadable();
  void HandleReadable(const boost::system::error_code& failure);
  void WaitForWritable();
  /// Empties the write buffer and frees its memory.
  void ClearPending();
  void Flush();
  void HandleWriteFailure(const boost::system::error_code& failure);
  void End(const boost::system::error_code& failure);

  Socket socket;
  ChannelReader* current_reader = nullptr;
  bool reading = false;
  bool paused = false;
  bool writing = false;
  bool closed = false;
  std::string pending;
  /// Number of bytes at the start of `pending` that the operating system has
  /// accepted.
  std::size_t flushed_bytes = 0;
  std::uint64_t total_written = 0;
  boost::system::error_code failed_write;
};

}  // namespace qp::relay
