#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "foundation/asio.h"

namespace qp::relay {

/// Takes what a channel reads. Not called after Channel::Close.
class ChannelReader {
 public:
  virtual ~ChannelReader() = default;
  virtual void OnBytes(std::string_view bytes) = 0;
  /// Everything that was written has left, after some of it had to wait.
  virtual void OnWritten() {}
  /// The peer closed (`failure` empty) or the connection broke.
  virtual void OnClose(const boost::system::error_code& failure) = 0;
};

/// A TCP connection with buffered writes and pushed reads. Reads share one
/// buffer per thread, so an idle connection holds no memory. Writes are not
/// bounded: who writes looks at `unsent` and waits for OnWritten.
class Channel : public std::enable_shared_from_this<Channel> {
 public:
  using Socket = asio::ip::tcp::socket;
  using ConnectCallback = std::function<void(boost::system::error_code)>;

  explicit Channel(Socket open);
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /// Opens a connection; the callback is dropped if Close comes first.
  void Connect(const asio::ip::tcp::endpoint& peer, ConnectCallback callback);
  /// Begins to read, or passes later reads to another reader. `reader` must
  /// live until Close or the next call.
  void SetReader(ChannelReader* reader);
  /// Reads nothing more until Resume, so that the peer is slowed down.
  void Pause() { this->paused = true; }
  void Resume();
  void Write(std::string_view bytes);
  /// Tells the peer that nothing more will be written.
  void ShutdownWrites();
  void Close();

  bool is_open() const { return this->socket.is_open() && !this->closed; }
  /// Whether bytes of the peer have arrived that nobody has read.
  bool has_input() const;
  /// Bytes that the peer has not taken yet.
  std::size_t unsent() const { return this->pending.size() - this->sent; }
  /// Bytes handed to the operating system so far.
  std::uint64_t written() const { return this->total_written; }

 private:
  void WaitForBytes();
  void ReadReady(const boost::system::error_code& failure);
  void WaitForRoom();
  void Flush();
  void Fail(const boost::system::error_code& failure);

  Socket socket;
  ChannelReader* target = nullptr;
  bool reading = false;
  bool paused = false;
  bool writing = false;
  bool closed = false;
  std::string pending;
  std::size_t sent = 0;
  std::uint64_t total_written = 0;
};

}  // namespace qp::relay
