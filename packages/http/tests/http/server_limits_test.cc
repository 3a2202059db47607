#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "foundation/wait.h"
#include "http/server.h"
#include "testing/test_runtime.h"

namespace qp::http {

namespace {

using asio::ip::tcp;
using std::chrono::seconds;

constexpr std::size_t kMaxConnections = 3;
constexpr std::string_view kRequest = "GET /now HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr std::string_view kSlowRequest =
    "GET /slow HTTP/1.1\r\nHost: a\r\n\r\n";

/// Responds with 200, to /slow after a minute.
class SlowHandler : public Handler {
 public:
  explicit SlowHandler(Clock& time_source) : clock(time_source) {}

  Task<void> Handle(Request request, Responder& responder) override {
    if (PathOf(request) == "/slow") {
      co_await SleepFor(this->clock, seconds(60));
    }
    std::ignore = co_await responder.Send(MakeResponse(Status::ok, ""));
  }

 private:
  Clock& clock;
};

class Fixture {
 public:
  Fixture() {
    const auto listening = this->server.Listen("127.0.0.1:0");
    REQUIRE(listening);
    this->port = listening.value();
  }
  ~Fixture() {
    this->server.Stop();
    this->runtime.Settle();
  }

  tcp::socket Connect(std::string_view sent = {}) {
    tcp::socket socket(this->runtime.io());
    socket.connect({asio::ip::address_v4::loopback(), this->port});
    asio::write(socket, asio::buffer(sent));
    this->runtime.Settle();
    return socket;
  }

  /// What the server has sent on a connection so far, and whether it has closed
  /// the connection.
  std::pair<std::string, bool> Read(tcp::socket& socket) {
    this->runtime.Settle();
    socket.non_blocking(true);
    std::string text(1024, ' ');
    boost::system::error_code failure;
    text.resize(socket.read_some(asio::buffer(text), failure));
    return {text, failure && failure != asio::error::would_block};
  }

  static ServerLimits Limits() {
    ServerLimits limits;
    limits.max_connections = kMaxConnections;
    return limits;
  }

  qp::testing::TestRuntime runtime;
  SlowHandler handler{runtime.clock()};
  Server server{runtime.io(), runtime.clock(), Limits(), handler};
  std::uint16_t port = 0;
};

}  // namespace

TEST_CASE("At the limit, the longest waiting connection gives way",
          "[http][limits]") {
  Fixture fixture;
  auto busy = fixture.Connect(kSlowRequest);
  // A part of a request is no request in work.
  auto first = fixture.Connect("GET /now HTTP/1.1\r\n");
  auto second = fixture.Connect();
  auto newest = fixture.Connect(kRequest);
  CHECK(fixture.Read(newest).first.starts_with("HTTP/1.1 200"));
  CHECK(fixture.Read(first).second);
  CHECK_FALSE(fixture.Read(second).second);
  CHECK_FALSE(fixture.Read(busy).second);
}

TEST_CASE("A kept connection counts as waiting from its last response on",
          "[http][limits]") {
  Fixture fixture;
  auto first = fixture.Connect(kRequest);
  auto second = fixture.Connect();
  auto third = fixture.Connect();
  asio::write(first, asio::buffer(kRequest));
  CHECK(fixture.Read(first).first.starts_with("HTTP/1.1 200"));
  auto newest = fixture.Connect(kRequest);
  CHECK(fixture.Read(newest).first.starts_with("HTTP/1.1 200"));
  CHECK(fixture.Read(second).second);
  CHECK_FALSE(fixture.Read(first).second);
}

TEST_CASE("A new connection is closed if all have a request in work",
          "[http][limits]") {
  Fixture fixture;
  std::vector<tcp::socket> busy;
  for (std::size_t count = 0; count < kMaxConnections; ++count) {
    busy.push_back(fixture.Connect(kSlowRequest));
  }
  tcp::socket newest = fixture.Connect();
  CHECK(fixture.Read(newest).second);
  for (tcp::socket& socket : busy) {
    CHECK_FALSE(fixture.Read(socket).second);
  }
}

}  // namespace qp::http
