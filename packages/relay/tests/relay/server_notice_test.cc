// Servers that announce that they stop, or that ask for a pause in requests.
#include <catch2/catch.hpp>

#include "relay/relay_harness.h"
#include "relay/server_notice_handler.h"

namespace qp::relay::testing {

namespace {

const std::string kBody = "Content-Length: 4\r\n\r\ndone";

std::string MakeResponse(const std::string& headers) {
  return "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n" + headers + kBody;
}

std::string MakeRefusal(const std::string& headers) {
  return "HTTP/1.1 503 Busy\r\nAttempt: a1\r\nNot-Run: 1\r\n" + headers +
         "Content-Length: 0\r\n\r\n";
}

/// A request that the only server of its service has received.
struct SingleServerFixture {
  SingleServerFixture() {
    harness.Configure({MakeRoute("/a/", RetryPolicy::kAlways)});
    server = &harness.AddServer("s1");
    caller = &harness.Call(RelayHarness::Request("/a/x"));
    REQUIRE(harness.Gets(*server, 1));
  }

  RelayHarness harness;
  ScriptedServer* server = nullptr;
  Peer* caller = nullptr;
};

double ParseRetryAfter(const Peer& caller) {
  const std::string name = "Retry-After: ";
  const auto at = caller.received.find(name);
  REQUIRE(at != std::string::npos);
  return std::stod(caller.received.substr(at + name.size()));
}

}  // namespace

// Guards against requests to a stopping server while the store is unavailable:
// during that time only the server's responses announce that it leaves.
TEST_CASE("A server that announces that it leaves gets no further request",
          "[relay][exchange][leaving]") {
  SingleServerFixture fixture;
  auto& connection = *fixture.server->last().channel;
  SECTION("in a plain response") {
    connection.Write(MakeResponse("Leaving: 1\r\n"));
  }
  SECTION("in a refusal") { connection.Write(MakeRefusal("Leaving: 1\r\n")); }
  SECTION("in a failure") {
    connection.Write(
        "HTTP/1.1 500 Oops\r\nAttempt: a1\r\nSignature: s\r\nLeaving: 1\r\n"
        "Content-Length: 0\r\n\r\n");
  }
  SECTION("in a response to another request") {
    connection.Write(
        "HTTP/1.1 200 OK\r\nAttempt: a0\r\nSignature: s\r\nLeaving: 1\r\n"
        "Content-Length: 0\r\n\r\n" +
        MakeResponse(""));
  }
  SECTION("in a response that breaks off") {
    connection.Write(MakeResponse("Leaving: 1\r\n").substr(0, 90));
    REQUIRE(fixture.harness.Until(
        [&] { return fixture.harness.relay.servers.Find("s1")->leaving; }));
    connection.Close();
  }
  REQUIRE(fixture.harness.Receives(*fixture.caller, "HTTP/1.1 "));
  const int before = fixture.server->requests();
  // The announcement outlasts the removal and return of the server's entry.
  const auto record = fixture.harness.relay.servers.Find("s1")->record;
  const TimePoint now = fixture.harness.relay.Now();
  fixture.harness.relay.servers.Remove("s1", now, now);
  fixture.harness.relay.servers.Put(record, now);
  Peer& next = fixture.harness.Call(RelayHarness::Request("/a/x"));
  CHECK(fixture.harness.Receives(next, "HTTP/1.1 503"));
  CHECK(fixture.server->requests() == before);
}

TEST_CASE("The head of a stream can announce that its server leaves",
          "[relay][exchange][leaving]") {
  RelayHarness harness;
  Route route = MakeRoute("/s/", RetryPolicy::kResume, "model");
  route.streaming = true;
  harness.Configure({route});
  auto& engine = harness.AddEngine("e1", {0, 80});
  Peer& caller = harness.Call(RelayHarness::Request("/s/x"));
  REQUIRE(harness.Gets(engine, 1));
  engine.last().channel->Write(
      "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\nLeaving: 1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n"
      "10\r\nid: 1\ndata: a\n\n\n\r\n");
  REQUIRE(harness.Receives(caller, "data: a"));
  Peer& next = harness.Call(RelayHarness::Request("/s/x"));
  CHECK(harness.Receives(next, "HTTP/1.1 503"));
  CHECK(engine.requests() == 1);
  CHECK_FALSE(caller.ended);  // The running stream continues.
}

TEST_CASE(
    "A server that announces in a response to an order that it leaves gets no "
    "request",
    "[relay][exchange][leaving]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kAlways)});
  auto& server = harness.AddServer("s1");
  auto record = harness.relay.servers.Find("s1")->record;
  ServerNoticeHandler server_notice_handler(harness.relay);
  SECTION("announced by the listed incarnation") {
    server_notice_handler.OnLeaving(record);
    Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
    CHECK(harness.Receives(caller, "HTTP/1.1 503"));
    CHECK(server.requests() == 0);
  }
  SECTION("not if announced by an earlier incarnation") {
    --record.incarnation;
    server_notice_handler.OnLeaving(record);
    harness.Call(RelayHarness::Request("/a/x"));
    CHECK(harness.Gets(server, 1));
  }
}

// Guards against requests to a server that has just asked for a pause in a
// refusal.
TEST_CASE("A server that asks for a pause gets no requests before its end",
          "[relay][exchange][pause]") {
  SingleServerFixture fixture;
  fixture.server->last().channel->Write(MakeRefusal("Pause-Ms: 1200\r\n"));
  REQUIRE(fixture.harness.Receives(*fixture.caller, "HTTP/1.1 503"));
  CHECK(ParseRetryAfter(*fixture.caller) == Approx(1.2).margin(0.01));
  for (int passed_ms = 0; passed_ms < 1200; passed_ms += 100) {
    Peer& early = fixture.harness.Call(RelayHarness::Request("/a/x"));
    REQUIRE(fixture.harness.Receives(early, "HTTP/1.1 503"));
    CHECK(ParseRetryAfter(early) ==
          Approx((1200 - passed_ms) / 1000.0).margin(0.01));
    CHECK(fixture.server->requests() == 1);
    fixture.harness.runtime.Advance(milliseconds(100));
  }
  fixture.harness.Call(RelayHarness::Request("/a/x"));
  CHECK(fixture.harness.Gets(*fixture.server, 2));
}

TEST_CASE("A refusal without a pause time starts no pause",
          "[relay][exchange][pause]") {
  SingleServerFixture fixture;
  fixture.server->last().channel->Write(MakeRefusal(""));
  REQUIRE(fixture.harness.Receives(*fixture.caller, "HTTP/1.1 503"));
  fixture.harness.Call(RelayHarness::Request("/a/x"));
  CHECK(fixture.harness.Gets(*fixture.server, 2));
}

TEST_CASE(
    "A pause applies to the refusing engine and to the engine that it names",
    "[relay][exchange][pause]") {
  RelayHarness harness;
  Route route = MakeRoute("/s/", RetryPolicy::kResume, "model");
  route.streaming = true;
  harness.Configure({route});
  auto& first = harness.AddEngine("e1", {0, 40});
  harness.AddEngine("e2", {40, 80});
  harness.Call(RelayHarness::Request("/s/x"));
  REQUIRE(harness.Gets(first, 1));
  const std::string culprit = harness.relay.servers.Find("e2")->record.address;
  first.last().channel->Write(
      MakeRefusal("Pause-Ms: 1000\r\nCulprit: " + culprit + "\r\n"));
  const auto paused = [&harness](const char* id) {
    return harness.relay.servers.Find(id)->IsPaused(harness.relay.Now());
  };
  CHECK(harness.Until([&] { return paused("e1") && paused("e2"); }));
}

}  // namespace qp::relay::testing
