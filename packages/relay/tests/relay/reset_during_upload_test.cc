#include <sys/socket.h>

#include <array>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <optional>
#include <string>

#include "relay/relay_harness.h"

namespace qp::relay::testing {

namespace {

using asio::ip::tcp;

constexpr std::size_t kPieces = 10;
constexpr std::size_t kPieceBytes = 1000;
/// A body that fits into the kernel's buffers, and one that doesn't.
constexpr std::size_t kShortUpload = 600;
constexpr std::size_t kLongUpload = 4'000'000;
constexpr int kServerWindowBytes = 16 * 1024;

/// How a server ends a connection on which it has answered early.
enum class Ending {
  kReset,      ///< Closes it with a reset.
  kClose,      ///< Closes it while unread bytes of the request wait.
  kHalfClose,  ///< Ends its own direction, and reads on.
};

/// A server that answers a request before it has read it.
class EarlyServer {
 public:
  explicit EarlyServer(asio::io_context& io) : acceptor(io) {
    this->acceptor.open(tcp::v4());
    this->acceptor.set_option(
        asio::socket_base::receive_buffer_size(kServerWindowBytes));
    this->acceptor.bind({asio::ip::address_v4::loopback(), 0});
    this->acceptor.listen();
    this->acceptor.async_accept(
        [this](boost::system::error_code failure, tcp::socket socket) {
          if (!failure) {
            this->connection.emplace(std::move(socket));
            this->connection->non_blocking(true);
          }
        });
  }

  std::string address() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }
  bool has_request() const {
    return this->connection && this->connection->available() > 0;
  }
  void Write(const std::string& bytes) {
    asio::write(*this->connection, asio::buffer(bytes));
  }
  void End(Ending ending) {
    if (ending == Ending::kHalfClose) {
      this->connection->shutdown(tcp::socket::shutdown_send);
      return;
    }
    if (ending == Ending::kReset) {
      this->connection->set_option(asio::socket_base::linger(true, 0));
    }
    this->connection->close();
  }
  /// Discards what has arrived.
  void ReadOn() {
    std::array<char, 64 * 1024> buffer;
    boost::system::error_code failure;
    while (!failure && this->connection) {
      this->connection->read_some(asio::buffer(buffer), failure);
    }
  }

 private:
  tcp::acceptor acceptor;
  std::optional<tcp::socket> connection;
};

std::string Upload(std::size_t bytes, bool chunked) {
  const std::string head =
      "POST /a/x HTTP/1.1\r\nHost: shop.example\r\nAttempt: a1\r\nKey: k1\r\n";
  const std::string body(bytes, 'x');
  if (!chunked) {
    return head + "Content-Length: " + std::to_string(bytes) + "\r\n\r\n" +
           body;
  }
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes);
  return head + "Transfer-Encoding: chunked\r\n\r\n" + size + body +
         "\r\n0\r\n\r\n";
}

/// The next piece of a response: bytes, or for a stream a whole event.
std::string Piece(bool streaming, std::size_t number) {
  if (!streaming) {
    return std::string(kPieceBytes, static_cast<char>('0' + number % 10));
  }
  return "id: " + std::to_string(number + 1) +
         "\ndata: " + std::string(kPieceBytes, 'd') + "\n\n";
}

/// Whether the caller has a success that is complete by HTTP's rules.
bool HasWholeSuccess(const Peer& caller) {
  const std::string& text = caller.received;
  const auto head_end = text.find("\r\n\r\n");
  if (text.rfind("HTTP/1.1 200", 0) != 0 || head_end == std::string::npos) {
    return false;
  }
  const auto length = text.find("Content-Length: ");
  if (length < head_end) {
    return text.size() - head_end - 4 >= std::stoul(text.substr(length + 16));
  }
  return text.ends_with("\r\n0\r\n\r\n");
}

struct UploadHarness : RelayHarness {
  UploadHarness(RetryPolicy policy, bool is_stream)
      : streaming(is_stream), server(runtime.io()) {
    Route route = MakeRoute("/a/", policy);
    route.streaming = this->streaming;
    route.timeout = std::chrono::seconds(20);
    this->Configure({route});
    auto record = MakeRecord("s1", "ledger");
    record.address = this->server.address();
    this->relay.servers.Put(std::move(record), this->relay.Now());
  }

  /// Lets the server answer with a response without a length.
  void Answer(std::size_t pieces, const std::string& framing = {}) {
    this->server.Write("HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n" +
                       framing + "\r\n");
    for (std::size_t number = 0; number < pieces; ++number) {
      this->server.Write(Piece(this->streaming, number));
    }
  }

  bool streaming;
  EarlyServer server;
};

}  // namespace

// Guards against a part of a response that reached callers as a complete one: a
// failed write of the request took the error of the reset, so that the read
// after it ended like an orderly close.
TEST_CASE("A response without a length that is reset is not complete",
          "[relay][exchange][truncated]") {
  const auto policy =
      GENERATE(RetryPolicy::kNever, RetryPolicy::kAlways, RetryPolicy::kResume);
  const bool streaming =
      policy == RetryPolicy::kResume ? true : GENERATE(false, true);
  const std::size_t upload = GENERATE(kShortUpload, kLongUpload);
  const bool chunked = GENERATE(false, true);
  const std::size_t pieces = GENERATE(0u, 4u, kPieces);
  const bool at_once = GENERATE(false, true);
  const auto ending = GENERATE(Ending::kReset, Ending::kClose);
  UploadHarness harness(policy, streaming);
  Peer& caller = harness.Call(Upload(upload, chunked));
  REQUIRE(harness.Until([&] { return harness.server.has_request(); }));
  harness.Answer(pieces);
  if (!at_once) {
    harness.runtime.Settle();
  }
  harness.server.End(ending);
  CHECK(harness.Until([&] {
    harness.runtime.Advance(milliseconds(5));
    return caller.ended ||
           caller.received.find("\r\n\r\n") != std::string::npos;
  }));
  harness.runtime.Advance(std::chrono::seconds(3), milliseconds(20));
  INFO("policy " << static_cast<int>(policy) << ", streaming " << streaming
                 << ", upload of " << upload << " bytes, " << pieces
                 << " pieces, at once " << at_once);
  CHECK_FALSE(HasWholeSuccess(caller));
}

TEST_CASE("A response that is complete is passed on, whatever ends it",
          "[relay][exchange][truncated]") {
  UploadHarness harness(RetryPolicy::kNever, false);
  Peer& caller =
      harness.Call(Upload(GENERATE(kShortUpload, kLongUpload), false));
  REQUIRE(harness.Until([&] { return harness.server.has_request(); }));
  SECTION("by its length, and reset") {
    harness.Answer(kPieces, "Content-Length: " +
                                std::to_string(kPieces * kPieceBytes) + "\r\n");
    harness.server.End(GENERATE(Ending::kReset, Ending::kClose));
  }
  SECTION("by the close of a server that reads on") {
    harness.Answer(kPieces);
    harness.server.End(Ending::kHalfClose);
    harness.server.ReadOn();
  }
  CHECK(harness.Until([&] { return HasWholeSuccess(caller); }));
  CHECK(caller.received.find(std::string(kPieceBytes, '9')) !=
        std::string::npos);
}

}  // namespace qp::relay::testing
