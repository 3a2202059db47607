// Servers that name a limit on the requests that they take.
#include <catch2/catch.hpp>

#include "relay/relay_harness.h"
#include "relay/server_notice_handler.h"

namespace qp::relay::testing {

namespace {

std::string MakeAnswer(const std::string& headers) {
  return "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n" + headers +
         "Content-Length: 4\r\n\r\ndone";
}

/// A deployment of one process and servers of one service.
struct Fixture {
  explicit Fixture(RetryPolicy policy = RetryPolicy::kNever) {
    harness.Configure({MakeRoute("/a/", policy)});
    harness.relay.limits.SetProcesses("me", {"me"}, harness.relay.Now());
    limited = &harness.AddServer("s1");
  }

  /// Sends a request that the limited server answers.
  void Serve(const std::string& headers) {
    const int before = limited->requests();
    Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
    REQUIRE(harness.Gets(*limited, before + 1));
    limited->last().channel->Write(MakeAnswer(headers));
    REQUIRE(harness.Receives(caller, "done"));
  }
  bool IsRefused() {
    return harness.Receives(harness.Call(RelayHarness::Request("/a/x")),
                            "HTTP/1.1 503");
  }

  RelayHarness harness;
  ScriptedServer* limited = nullptr;
};

}  // namespace

TEST_CASE("Requests above a server's limit go to another server",
          "[relay][exchange][limit]") {
  Fixture fixture;
  fixture.Serve("Limit: 2\r\n");
  auto& other = fixture.harness.AddServer("s2");
  for (int request = 1; request <= 8; ++request) {
    fixture.harness.Call(RelayHarness::Request("/a/x"));
    CHECK(fixture.harness.Gets(other, request));
  }
  CHECK(fixture.limited->requests() == 1);
}

TEST_CASE("Requests above the limit of all servers are refused at once",
          "[relay][exchange][limit]") {
  Fixture fixture;
  fixture.Serve("Limit: 2\r\n");
  Peer& refused = fixture.harness.Call(RelayHarness::Request("/a/x"));
  REQUIRE(fixture.harness.Receives(refused, "HTTP/1.1 503"));
  // The time until the next request of half a second.
  CHECK(refused.received.find("Retry-After: 0.5") != std::string::npos);
  CHECK(fixture.limited->requests() == 1);
  fixture.harness.runtime.Advance(milliseconds(500));
  fixture.Serve("Limit: 2\r\n");
  CHECK(fixture.IsRefused());
}

TEST_CASE("A limit ends with the first answer that does not name it",
          "[relay][exchange][limit]") {
  Fixture fixture;
  fixture.Serve("Limit: 2\r\n");
  fixture.harness.runtime.Advance(milliseconds(500));
  SECTION("a success") {
    fixture.Serve("");
    fixture.Serve("");
    fixture.Serve("");
  }
  SECTION("but not with an answer to another request or a failure") {
    Peer& caller = fixture.harness.Call(RelayHarness::Request("/a/x"));
    REQUIRE(fixture.harness.Gets(*fixture.limited, 2));
    fixture.limited->last().channel->Write(
        "HTTP/1.1 200 OK\r\nAttempt: a0\r\nSignature: s\r\n"
        "Content-Length: 0\r\n\r\n"
        "HTTP/1.1 500 Oops\r\nAttempt: a1\r\nSignature: s\r\n"
        "Content-Length: 0\r\n\r\n");
    REQUIRE(fixture.harness.Receives(caller, "HTTP/1.1 500"));
    CHECK(fixture.IsRefused());
  }
}

TEST_CASE("Repeats count against a server's limit",
          "[relay][exchange][limit]") {
  Fixture fixture(RetryPolicy::kAlways);
  fixture.Serve("Limit: 2\r\n");
  auto& other = fixture.harness.AddServer("s2");
  Peer& caller = fixture.harness.Call(RelayHarness::Request("/a/x"));
  REQUIRE(fixture.harness.Gets(other, 1));
  other.last().channel->Write(
      "HTTP/1.1 500 Oops\r\nAttempt: a1\r\nSignature: s\r\n"
      "Content-Length: 0\r\n\r\n");
  REQUIRE(fixture.harness.Receives(caller, "HTTP/1.1 "));
  CHECK(fixture.limited->requests() == 1);
}

TEST_CASE("A limit that an engine names in a response to an order is kept",
          "[relay][limit]") {
  Fixture fixture;
  ServerNoticeHandler handler(fixture.harness.relay);
  const auto record = fixture.harness.relay.servers.Find("s1")->record;
  handler.OnRequestLimit(record, 2);
  CHECK(fixture.IsRefused());
  CHECK(fixture.limited->requests() == 0);
}

}  // namespace qp::relay::testing
