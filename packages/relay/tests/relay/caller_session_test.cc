#include "relay/caller_session.h"

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
  harness.Configure({MakeRoute("/a/", Repeat::kNever)});
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
  harness.Configure({MakeRoute("/a/", Repeat::kNever)});
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
  harness.Configure({MakeRoute("/a/", Repeat::kNever)});
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
  harness.Configure({MakeRoute("/a/", Repeat::kNever)});
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
  harness.Configure({MakeRoute("/a/", Repeat::kNever)});
  auto& server = harness.AddServer("s1");
  Peer& busy = harness.Call(RelayHarness::Request("/a/1"));
  Peer& idle = harness.Call("");
  REQUIRE(harness.Gets(server, 1));
  REQUIRE(harness.Until([&] { return harness.listener.sessions() == 2; }));
  harness.listener.CloseIdle();
  CHECK(harness.Until([&] { return idle.ended; }));
  CHECK_FALSE(busy.ended);
}

}  // namespace qp::relay::testing
