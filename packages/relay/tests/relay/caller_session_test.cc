#include "relay/caller_session.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "relay/relay_harness.h"

namespace qp::relay::testing {

namespace {

std::string Served(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::size_t CountOf(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

}  // namespace

TEST_CASE("Requests sent in a row are answered in order", "[relay][session]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  auto& server = harness.AddServer("s1");
  Peer& caller = harness.Call(RelayHarness::Request("/a/1") +
                              RelayHarness::Request("/a/2"));
  REQUIRE(harness.Gets(server, 1));
  server.last().channel->Write(Served("one"));
  REQUIRE(harness.Gets(server, 2));
  server.last().channel->Write(Served("two"));
  REQUIRE(harness.Receives(caller, "two"));
  CHECK(caller.received.find("one") < caller.received.find("two"));
}

TEST_CASE("A body in chunks reaches the server whole", "[relay][session]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  auto& server = harness.AddServer("s1");
  harness.Call(
      "POST /a/1 HTTP/1.1\r\nHost: shop.example\r\nKey: k1\r\nAttempt: a1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  REQUIRE(harness.Gets(server, 1));
  CHECK(harness.Receives(server.last(), "Content-Length: 5\r\n\r\nabcde"));
}

TEST_CASE("Callers who send too much or too slowly are told so",
          "[relay][session]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  SECTION("too long a head") {
    Peer& caller = harness.Call(
        "GET /a/ HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n");
    CHECK(harness.Receives(caller, "HTTP/1.1 431"));
  }
  SECTION("too long a body") {
    Peer& caller = harness.Call(
        "POST /a/ HTTP/1.1\r\nHost: shop.example\r\n"
        "Content-Length: 99999999\r\n\r\n");
    CHECK(harness.Receives(caller, "HTTP/1.1 413"));
  }
  SECTION("a head that does not end") {
    Peer& caller = harness.Call("GET /a/ HTTP/1.1\r\n");
    harness.Until([&] { return harness.listener.sessions() == 1; });
    harness.runtime.Settle();
    REQUIRE(harness.Until([&] {
      harness.runtime.Advance(milliseconds(100));
      return !caller.received.empty();
    }));
    CHECK(caller.received.find("HTTP/1.1 408") == 0);
  }
}

TEST_CASE("While the process drains, answers end their connection",
          "[relay][session]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  auto& server = harness.AddServer("s1");
  Peer& caller = harness.Call(RelayHarness::Request("/a/1"));
  REQUIRE(harness.Gets(server, 1));
  harness.relay.draining = true;
  harness.listener.CloseIdle();
  server.last().channel->Write(Served("one"));
  REQUIRE(harness.Receives(caller, "one"));
  CHECK(caller.received.find("Connection: close") != std::string::npos);
  CHECK(harness.Until([&] { return caller.ended; }));
  CHECK(CountOf(caller.received, "HTTP/1.1 200") == 1);
}

TEST_CASE("Idle connections are closed, those with a request are not",
          "[relay][session]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  auto& server = harness.AddServer("s1");
  Peer& idle = harness.Call(RelayHarness::Request("/a/1"));
  REQUIRE(harness.Gets(server, 1));
  server.last().channel->Write(Served("one"));
  REQUIRE(harness.Receives(idle, "one"));
  Peer& busy = harness.Call(RelayHarness::Request("/a/2"));
  REQUIRE(harness.Gets(server, 2));
  REQUIRE(harness.Until([&] { return harness.listener.sessions() == 2; }));
  harness.listener.CloseIdle();
  CHECK(harness.Until([&] { return idle.ended; }));
  CHECK_FALSE(busy.ended);
}

// A planned stop closed connections whose callers were about to send.
TEST_CASE("A caller who has just connected may still send its first request",
          "[relay][session][stop]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  auto& server = harness.AddServer("s1");
  Peer& caller = harness.Call("");
  REQUIRE(harness.Until([&] { return harness.listener.sessions() == 1; }));
  harness.relay.draining = true;
  harness.listener.StopAccepting();
  harness.listener.CloseIdle();
  SECTION("and is answered") {
    caller.channel->Write(RelayHarness::Request("/a/1"));
    harness.listener.CloseIdle();
    REQUIRE(harness.Gets(server, 1));
    server.last().channel->Write(Served("one"));
    CHECK(harness.Receives(caller, "one"));
  }
  SECTION("but not for ever") {
    harness.runtime.Advance(milliseconds(1010));
    harness.listener.CloseIdle();
    CHECK(harness.Until([&] { return caller.ended; }));
  }
}

// Requests in the queue of the listening socket were reset with it.
TEST_CASE("A planned stop serves the callers who wait to be accepted",
          "[relay][session][stop]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  auto& server = harness.AddServer("s1");
  asio::ip::tcp::socket waiting(harness.runtime.io());
  waiting.connect({asio::ip::address_v4::loopback(), harness.listener.port()});
  const std::string request = RelayHarness::Request("/a/1");
  asio::write(waiting, asio::buffer(request));
  harness.relay.draining = true;
  harness.listener.StopAccepting();
  harness.listener.CloseIdle();
  REQUIRE(harness.Gets(server, 1));
  server.last().channel->Write(Served("one"));
  std::string received;
  waiting.non_blocking(true);
  CHECK(harness.Until([&] {
    char buffer[1024];
    boost::system::error_code failure;
    const auto count = waiting.read_some(asio::buffer(buffer), failure);
    received.append(buffer, count);
    return received.find("one") != std::string::npos;
  }));
}

// The process ended with bytes in its own buffers, once no session was counted.
TEST_CASE("A session lasts until its caller has taken the last answer",
          "[relay][session][stop]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  auto& server = harness.AddServer("s1");
  Peer& caller = harness.Call(RelayHarness::Request("/a/1"));
  REQUIRE(harness.Gets(server, 1));
  harness.relay.draining = true;
  caller.channel->Pause();
  const std::string body(24 << 20, 'x');
  server.last().channel->Write(Served(body));
  harness.Until([&] { return server.last().channel->unsent() == 0; });
  CHECK(harness.listener.sessions() == 1);
  caller.channel->Resume();
  CHECK(harness.Until([&] { return caller.ended; }));
  CHECK(CountOf(caller.received, "x") >= (24 << 20));
  CHECK(harness.Until([&] { return harness.listener.sessions() == 0; }));
}

// A body that was still arriving reset the connection before the answer was
// read.
TEST_CASE("A refusal in the middle of a request is not lost to a reset",
          "[relay][session]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  asio::ip::tcp::socket caller(harness.runtime.io());
  caller.connect({asio::ip::address_v4::loopback(), harness.listener.port()});
  const std::string head =
      "POST /a/ HTTP/1.1\r\nHost: shop.example\r\n"
      "Content-Length: 99999999\r\n\r\n";
  asio::write(caller, asio::buffer(head));
  REQUIRE(harness.Until([&] { return caller.available() > 0; }));
  const std::string body(1024, 'x');
  for (int count = 0; count < 8; ++count) {
    asio::write(caller, asio::buffer(body));
    harness.runtime.Settle();
  }
  std::string received(12, ' ');
  asio::read(caller, asio::buffer(received));
  CHECK(received == "HTTP/1.1 413");
  CHECK(harness.listener.sessions() == 1);
  harness.runtime.Advance(milliseconds(1010));
  CHECK(harness.Until([&] { return harness.listener.sessions() == 0; }));
}

}  // namespace qp::relay::testing
