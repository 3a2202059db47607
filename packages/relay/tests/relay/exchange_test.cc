#include "relay/exchange.h"

#include <catch2/catch.hpp>

#include "relay/relay_harness.h"

namespace qp::relay::testing {

namespace {

const std::string kServed =
    "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\nContent-Length: "
    "4\r\n\r\ndone";

std::string EventsHead(const std::string& signature) {
  return "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: " + signature +
         "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

Route StreamRoute() {
  Route route = MakeRoute("/s/", RetryPolicy::kResume);
  route.streaming = true;
  route.timeout = std::chrono::seconds(20);
  return route;
}

bool Has(const Peer& peer, const std::string& text) {
  return peer.received.find(text) != std::string::npos;
}

/// Whether no server has a request of the relay.
bool IsIdle(const RelayHarness& harness) {
  bool idle = true;
  harness.relay.servers.ForEach(
      [&idle](const Server& server) { idle = idle && server.in_flight == 0; });
  return idle;
}

/// The server that got the request, and another one.
struct Pair {
  ScriptedServer* hit;
  ScriptedServer* other;
};

Pair WhoGotIt(RelayHarness& harness) {
  auto& first = *harness.servers.at(0);
  auto& second = *harness.servers.at(1);
  REQUIRE(
      harness.Until([&] { return first.requests() + second.requests() == 1; }));
  return first.requests() == 1 ? Pair{&first, &second} : Pair{&second, &first};
}

}  // namespace

TEST_CASE("An answer comes back with the server's head and body",
          "[relay][exchange]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  auto& server = harness.AddServer("s1");
  Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
  REQUIRE(harness.Gets(server, 1));
  CHECK(Has(server.last(), "Workspace: w1"));
  CHECK(Has(server.last(), "Server: s1"));
  server.last().channel->Write(kServed);
  CHECK(harness.Receives(caller, "Signature: s"));
  CHECK(Has(caller, "\r\n\r\ndone"));
}

TEST_CASE("Requests that no server need see are answered at once",
          "[relay][exchange]") {
  RelayHarness harness;
  auto& server = harness.AddServer("s1");
  SECTION("without a configuration they are told to come back") {
    Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
    CHECK(harness.Receives(caller, "HTTP/1.1 503"));
    CHECK(Has(caller, "Retry-After: "));
  }
  SECTION("without a route") {
    harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
    CHECK(harness.Receives(harness.Call(RelayHarness::Request("/b/x")),
                           "HTTP/1.1 404"));
  }
  SECTION("with an unknown key") {
    harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
    Peer& caller = harness.Call(
        "GET /a/ HTTP/1.1\r\nHost: shop.example\r\nKey: other\r\n\r\n");
    CHECK(harness.Receives(caller, "HTTP/1.1 401"));
  }
  SECTION("that can't be read") {
    harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
    CHECK(harness.Receives(harness.Call("NONSENSE\r\n\r\n"), "HTTP/1.1 400"));
  }
  CHECK(server.requests() == 0);
}

TEST_CASE(
    "A request that may not run twice is sent once when its server "
    "fails it",
    "[relay][exchange][once]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  harness.AddServer("s1");
  harness.AddServer("s2");
  Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
  const Pair pair = WhoGotIt(harness);
  SECTION("by a closed connection") { pair.hit->last().channel->Close(); }
  SECTION("by a cut answer") {
    pair.hit->last().channel->Write(kServed.substr(0, kServed.size() - 2));
    harness.runtime.Settle();
    pair.hit->last().channel->Close();
  }
  SECTION("by bytes that are no answer") {
    pair.hit->last().channel->Write("garbage\r\n\r\n");
  }
  SECTION("by an answer without a signature") {
    pair.hit->last().channel->Write(
        "HTTP/1.1 200 OK\r\nAttempt: a1\r\nContent-Length: 0\r\n\r\n");
  }
  SECTION("by a refusal that does not say that it has not run") {
    pair.hit->last().channel->Write(
        "HTTP/1.1 503 Busy\r\nAttempt: a1\r\nSignature: s\r\n"
        "Content-Length: 0\r\n\r\n");
  }
  CHECK(harness.Receives(caller, "HTTP/1.1 502"));
  CHECK_FALSE(Has(caller, "Signature"));
  CHECK_FALSE(Has(caller, "Retry-After"));
  CHECK(pair.hit->requests() + pair.other->requests() == 1);
}

TEST_CASE("A request that a server has not run goes to another",
          "[relay][exchange][once]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  harness.AddServer("s1");
  harness.AddServer("s2");
  Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
  const Pair pair = WhoGotIt(harness);
  pair.hit->last().channel->Write(
      "HTTP/1.1 503 Busy\r\nAttempt: a1\r\nNot-Run: 1\r\n"
      "Content-Length: 0\r\n\r\n");
  REQUIRE(harness.Gets(*pair.other, 1));
  pair.other->last().channel->Write(kServed);
  CHECK(harness.Receives(caller, "HTTP/1.1 200"));
}

TEST_CASE("A request that no server has run is refused with a time to return",
          "[relay][exchange][once]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  SECTION("all servers turn it away") {
    auto& server = harness.AddServer("s1");
    Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
    REQUIRE(harness.Gets(server, 1));
    server.last().channel->Write(
        "HTTP/1.1 503 Busy\r\nAttempt: a1\r\nNot-Run: 1\r\n"
        "Content-Length: 0\r\n\r\n");
    CHECK(harness.Receives(caller, "HTTP/1.1 503"));
    CHECK(Has(caller, "Retry-After: "));
  }
  SECTION("there is no server") {
    Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
    CHECK(harness.Receives(caller, "HTTP/1.1 503"));
    CHECK(Has(caller, "Retry-After: "));
  }
}

TEST_CASE("An idempotent request is repeated elsewhere", "[relay][exchange]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kAlways)});
  harness.AddServer("s1");
  harness.AddServer("s2");
  Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
  const Pair pair = WhoGotIt(harness);
  SECTION("after a closed connection") { pair.hit->last().channel->Close(); }
  SECTION("after a failure of the server") {
    pair.hit->last().channel->Write(
        "HTTP/1.1 500 Oops\r\nAttempt: a1\r\nSignature: s\r\n"
        "Content-Length: 0\r\n\r\n");
  }
  REQUIRE(harness.Gets(*pair.other, 1));
  pair.other->last().channel->Write(kServed);
  CHECK(harness.Receives(caller, "HTTP/1.1 200"));
}

TEST_CASE("Without retry budget a failed request is given up at once",
          "[relay][exchange][retries]") {
  RelayHarness harness;
  harness.relay.retry_budget.SetLimits({0, 0, std::chrono::seconds(10)});
  harness.Configure({MakeRoute("/a/", RetryPolicy::kAlways)});
  harness.AddServer("s1");
  harness.AddServer("s2");
  Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
  const Pair pair = WhoGotIt(harness);
  pair.hit->last().channel->Close();
  // It may have run, so the answer must not say that it has not.
  CHECK(harness.Receives(caller, "HTTP/1.1 502"));
  CHECK(pair.other->requests() == 0);
}

TEST_CASE("An answer to another request of the connection is skipped",
          "[relay][exchange]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  auto& server = harness.AddServer("s1");
  Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
  REQUIRE(harness.Gets(server, 1));
  server.last().channel->Write(
      "HTTP/1.1 200 OK\r\nAttempt: a0\r\nSignature: s\r\n"
      "Content-Length: 5\r\n\r\nother" +
      kServed);
  REQUIRE(harness.Receives(caller, "done"));
  CHECK_FALSE(Has(caller, "other"));
}

TEST_CASE("A connection on which bytes follow an answer is not used again",
          "[relay][exchange]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kAlways)});
  auto& server = harness.AddServer("s1");
  Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
  REQUIRE(harness.Gets(server, 1));
  SECTION("kept without them") {
    server.last().channel->Write(kServed);
    REQUIRE(harness.Receives(caller, "done"));
    CHECK(harness.relay.pool.idle() == 1);
  }
  SECTION("in the same piece") {
    server.last().channel->Write(kServed + kServed);
    REQUIRE(harness.Receives(caller, "done"));
    CHECK(harness.relay.pool.idle() == 0);
  }
  SECTION("later") {
    server.last().channel->Write(kServed);
    REQUIRE(harness.Receives(caller, "done"));
    server.last().channel->Write(kServed);
    CHECK(harness.Until([&] { return server.last().ended; }));
    harness.relay.pool.Expire();
    CHECK(harness.relay.pool.idle() == 0);
  }
}

TEST_CASE("A caller who leaves ends the work at the server",
          "[relay][exchange]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kAlways)});
  auto& server = harness.AddServer("s1");
  Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
  REQUIRE(harness.Gets(server, 1));
  caller.channel->Close();
  CHECK(harness.Until([&] { return server.last().ended; }));
  CHECK(harness.relay.servers.Find("s1")->in_flight == 0);
}

TEST_CASE("A caller who leaves says nothing good about the server",
          "[relay][exchange]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kAlways)});
  auto& server = harness.AddServer("s1");
  const ServerPtr known = harness.relay.servers.Find("s1");
  known->RecordFailure(harness.relay.Now());
  const double failure_rate = known->failure_rate;
  Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
  REQUIRE(harness.Gets(server, 1));
  SECTION("before an answer was due") {
    caller.channel->Close();
    REQUIRE(harness.Until([&] { return server.last().ended; }));
    CHECK(known->failure_rate == failure_rate);
  }
  SECTION("after the answer was due") {
    harness.runtime.Advance(milliseconds(400));
    caller.channel->Close();
    REQUIRE(harness.Until([&] { return server.last().ended; }));
    CHECK(known->failure_rate > failure_rate);
  }
  CHECK(known->IsSuspect(harness.relay.Now()));
  CHECK(known->consecutive_failures == 1);
}

TEST_CASE("A request is answered when its time is up", "[relay][exchange]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  auto& server = harness.AddServer("s1");
  Peer& caller =
      harness.Call(RelayHarness::Request("/a/x", "Deadline-Ms: 700\r\n"));
  REQUIRE(harness.Gets(server, 1));
  harness.runtime.Advance(milliseconds(650));
  CHECK_FALSE(Has(caller, "HTTP/1.1"));
  harness.runtime.Advance(milliseconds(80));
  CHECK(harness.Receives(caller, "HTTP/1.1 504"));
  CHECK(harness.Until([&] { return server.last().ended; }));
}

TEST_CASE("The route's timeout bounds a more patient caller",
          "[relay][exchange]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  auto& server = harness.AddServer("s1");
  Peer& caller =
      harness.Call(RelayHarness::Request("/a/x", "Deadline-Ms: 9000\r\n"));
  REQUIRE(harness.Gets(server, 1));
  harness.runtime.Advance(milliseconds(2050));
  CHECK(harness.Receives(caller, "HTTP/1.1 504"));
}

TEST_CASE("Events of a stream are passed on as they arrive",
          "[relay][exchange][streams]") {
  RelayHarness harness;
  harness.Configure({StreamRoute()});
  auto& server = harness.AddServer("s1");
  Peer& caller = harness.Call(RelayHarness::Request("/s/x"));
  REQUIRE(harness.Gets(server, 1));
  server.last().channel->Write(EventsHead("s") + Chunk("id: 1\ndata: a\n\n"));
  CHECK(harness.Receives(caller, "data: a"));
  server.last().channel->Write(Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
  CHECK(harness.Receives(caller, "0\r\n\r\n"));
}

TEST_CASE("A broken stream goes on at another server after its last event",
          "[relay][exchange][streams]") {
  RelayHarness harness;
  harness.Configure({StreamRoute()});
  harness.AddServer("s1");
  harness.AddServer("s2");
  Peer& caller = harness.Call(RelayHarness::Request("/s/x"));
  const Pair pair = WhoGotIt(harness);
  // The second event is cut off.
  pair.hit->last().channel->Write(EventsHead("first") +
                                  Chunk("id: 3\ndata: a\n\nid: 6\ndata: "));
  REQUIRE(harness.Receives(caller, "data: a"));
  SECTION("when the connection breaks") { pair.hit->last().channel->Close(); }
  SECTION("when it falls silent") {
    harness.runtime.Advance(milliseconds(650));
  }
  REQUIRE(harness.Gets(*pair.other, 1));
  CHECK(Has(pair.other->last(), "Last: 3"));
  pair.other->last().channel->Write(EventsHead("second") +
                                    Chunk("id: 6\ndata: b\n\n") + "0\r\n\r\n");
  REQUIRE(harness.Receives(caller, "0\r\n\r\n"));
  CHECK(Has(caller, "Signature: first"));
  CHECK_FALSE(Has(caller, "Signature: second"));
  CHECK(Has(caller, "id: 3\ndata: a\n\n\r\n"));
  CHECK(Has(caller, "id: 6\ndata: b\n\n\r\n"));
}

TEST_CASE("A stream that can't be finished does not look whole",
          "[relay][exchange][streams]") {
  RelayHarness harness;
  harness.Configure({StreamRoute()});
  auto& server = harness.AddServer("s1");
  Peer& caller = harness.Call(RelayHarness::Request("/s/x"));
  REQUIRE(harness.Gets(server, 1));
  server.last().channel->Write(EventsHead("s") + Chunk("id: 1\ndata: a\n\n"));
  REQUIRE(harness.Receives(caller, "data: a"));
  harness.relay.retry_budget.SetLimits({0, 0, std::chrono::seconds(10)});
  server.last().channel->Close();
  REQUIRE(harness.Until([&] { return IsIdle(harness); }));
  harness.runtime.Advance(milliseconds(1600));
  CHECK(harness.Until([&] { return caller.ended; }));
  CHECK_FALSE(Has(caller, "0\r\n\r\n"));
}

TEST_CASE("A stream that may not be resumed waits out a silence",
          "[relay][exchange][streams]") {
  RelayHarness harness;
  Route route = StreamRoute();
  route.retry_policy = RetryPolicy::kNever;
  harness.Configure({route});
  harness.AddServer("s1");
  harness.AddServer("s2");
  Peer& caller = harness.Call(RelayHarness::Request("/s/x"));
  const Pair pair = WhoGotIt(harness);
  pair.hit->last().channel->Write(EventsHead("s") +
                                  Chunk("id: 1\ndata: a\n\n"));
  REQUIRE(harness.Receives(caller, "data: a"));
  harness.runtime.Advance(milliseconds(3000));
  CHECK(pair.other->requests() == 0);
  CHECK_FALSE(caller.ended);
}

// With one engine lost, others were full for a moment, and 38 streams of one
// second were broken off.
TEST_CASE("A stream that breaks waits a moment for a server to go on with",
          "[relay][exchange][streams]") {
  RelayHarness harness;
  harness.Configure({StreamRoute()});
  harness.AddServer("s1");
  harness.AddServer("s2");
  Peer& caller = harness.Call(RelayHarness::Request("/s/x"));
  const Pair pair = WhoGotIt(harness);
  pair.hit->last().channel->Write(EventsHead("s") +
                                  Chunk("id: 1\ndata: a\n\n"));
  REQUIRE(harness.Receives(caller, "data: a"));
  SECTION("that takes no requests for a while") {
    for (const auto& id : harness.relay.servers.Ids()) {
      harness.relay.servers.Find(id)->RecordPause(harness.relay.Now(),
                                                  milliseconds(400));
    }
  }
  SECTION("that there is no budget for") {
    harness.relay.retry_budget.SetLimits({0, 0, std::chrono::seconds(10)});
  }
  pair.hit->last().channel->Close();
  REQUIRE(harness.Until([&] { return IsIdle(harness); }));
  harness.runtime.Advance(milliseconds(390));
  CHECK(pair.other->requests() == 0);
  CHECK_FALSE(caller.ended);
  harness.relay.retry_budget.SetLimits({0.2, 100, std::chrono::seconds(10)});
  harness.runtime.Advance(milliseconds(120));
  REQUIRE(harness.Until(
      [&] { return pair.hit->requests() + pair.other->requests() == 2; }));
  auto& next = pair.other->requests() == 1 ? *pair.other : *pair.hit;
  CHECK(Has(next.last(), "Last: 1"));
  next.last().channel->Write(EventsHead("t") + Chunk("id: 2\ndata: b\n\n") +
                             "0\r\n\r\n");
  CHECK(harness.Receives(caller, "data: b\n\n\r\n0\r\n\r\n"));
}

TEST_CASE("A request that has not begun is refused at once without a server",
          "[relay][exchange][streams]") {
  RelayHarness harness;
  harness.Configure({StreamRoute()});
  harness.AddServer("s1");
  harness.relay.servers.Find("s1")->RecordPause(harness.relay.Now(),
                                                milliseconds(400));
  Peer& caller = harness.Call(RelayHarness::Request("/s/x"));
  CHECK(harness.Receives(caller, "HTTP/1.1 503"));
}

}  // namespace qp::relay::testing
