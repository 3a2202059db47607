// Servers that say that they leave, or that they want no requests for a while.
#include <catch2/catch.hpp>

#include "relay/leaving_handler.h"
#include "relay/relay_harness.h"

namespace qp::relay::testing {

namespace {

const std::string kDone = "Content-Length: 4\r\n\r\ndone";

std::string Answer(const std::string& headers) {
  return "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n" + headers + kDone;
}

std::string Refusal(const std::string& headers) {
  return "HTTP/1.1 503 Busy\r\nAttempt: a1\r\nNot-Run: 1\r\n" + headers +
         "Content-Length: 0\r\n\r\n";
}

/// A request to the only server of a service, which has got it.
struct OneServer {
  OneServer() {
    harness.Configure({MakeRoute("/a/", RetryPolicy::kAlways)});
    server = &harness.AddServer("s1");
    caller = &harness.Call(RelayHarness::Request("/a/x"));
    REQUIRE(harness.Gets(*server, 1));
  }

  RelayHarness harness;
  ScriptedServer* server = nullptr;
  Peer* caller = nullptr;
};

double RetryAfterOf(const Peer& caller) {
  const std::string name = "Retry-After: ";
  const auto at = caller.received.find(name);
  REQUIRE(at != std::string::npos);
  return std::stod(caller.received.substr(at + name.size()));
}

}  // namespace

// While the store is away, answers are all that tells of a leaving server.
TEST_CASE("A server that says that it leaves gets no further request",
          "[relay][exchange][leaving]") {
  OneServer world;
  auto& answers = *world.server->last().channel;
  SECTION("in a plain answer") { answers.Write(Answer("Leaving: 1\r\n")); }
  SECTION("in a refusal") { answers.Write(Refusal("Leaving: 1\r\n")); }
  SECTION("in a failure") {
    answers.Write(
        "HTTP/1.1 500 Oops\r\nAttempt: a1\r\nSignature: s\r\nLeaving: 1\r\n"
        "Content-Length: 0\r\n\r\n");
  }
  SECTION("in an answer to another request") {
    answers.Write(
        "HTTP/1.1 200 OK\r\nAttempt: a0\r\nSignature: s\r\nLeaving: 1\r\n"
        "Content-Length: 0\r\n\r\n" +
        Answer(""));
  }
  SECTION("in an answer that breaks off") {
    answers.Write(Answer("Leaving: 1\r\n").substr(0, 90));
    REQUIRE(world.harness.Until(
        [&] { return world.harness.relay.servers.Find("s1")->leaving; }));
    answers.Close();
  }
  REQUIRE(world.harness.Receives(*world.caller, "HTTP/1.1 "));
  const int before = world.server->requests();
  // Its entry comes back as it was.
  const auto record = world.harness.relay.servers.Find("s1")->record;
  const TimePoint now = world.harness.relay.Now();
  world.harness.relay.servers.Remove("s1", now, now);
  world.harness.relay.servers.Put(record, now);
  Peer& next = world.harness.Call(RelayHarness::Request("/a/x"));
  CHECK(world.harness.Receives(next, "HTTP/1.1 503"));
  CHECK(world.server->requests() == before);
}

TEST_CASE("The head of a stream tells that its server leaves",
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
  CHECK_FALSE(caller.ended);  // What runs there goes on.
}

TEST_CASE("A server that leaves by its answer to an order gets no request",
          "[relay][exchange][leaving]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kAlways)});
  auto& server = harness.AddServer("s1");
  auto record = harness.relay.servers.Find("s1")->record;
  LeavingHandler notes(harness.relay);
  SECTION("said by the process that is listed") {
    notes.OnLeaving(record);
    Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
    CHECK(harness.Receives(caller, "HTTP/1.1 503"));
    CHECK(server.requests() == 0);
  }
  SECTION("not if said by a former process of that server") {
    --record.incarnation;
    notes.OnLeaving(record);
    harness.Call(RelayHarness::Request("/a/x"));
    CHECK(harness.Gets(server, 1));
  }
}

// Callers were sent to a server that had just asked for a pause.
TEST_CASE("A server that asks for a pause gets nothing before its end",
          "[relay][exchange][pause]") {
  OneServer world;
  world.server->last().channel->Write(Refusal("Pause-Ms: 1200\r\n"));
  REQUIRE(world.harness.Receives(*world.caller, "HTTP/1.1 503"));
  CHECK(RetryAfterOf(*world.caller) == Approx(1.2).margin(0.01));
  for (int passed_ms = 0; passed_ms < 1200; passed_ms += 100) {
    Peer& early = world.harness.Call(RelayHarness::Request("/a/x"));
    REQUIRE(world.harness.Receives(early, "HTTP/1.1 503"));
    CHECK(RetryAfterOf(early) ==
          Approx((1200 - passed_ms) / 1000.0).margin(0.01));
    CHECK(world.server->requests() == 1);
    world.harness.runtime.Advance(milliseconds(100));
  }
  world.harness.Call(RelayHarness::Request("/a/x"));
  CHECK(world.harness.Gets(*world.server, 2));
}

TEST_CASE("A refusal without a time asks for no pause",
          "[relay][exchange][pause]") {
  OneServer world;
  world.server->last().channel->Write(Refusal(""));
  REQUIRE(world.harness.Receives(*world.caller, "HTTP/1.1 503"));
  world.harness.Call(RelayHarness::Request("/a/x"));
  CHECK(world.harness.Gets(*world.server, 2));
}

TEST_CASE("A pause holds for who refuses and for the engine that it names",
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
      Refusal("Pause-Ms: 1000\r\nCulprit: " + culprit + "\r\n"));
  const auto paused = [&harness](const char* id) {
    return harness.relay.servers.Find(id)->IsPaused(harness.relay.Now());
  };
  CHECK(harness.Until([&] { return paused("e1") && paused("e2"); }));
}

}  // namespace qp::relay::testing
