#include "relay/exchange.h"

#include <catch2/catch.hpp>

#include "relay/relay_harness.h"

namespace qp::relay::testing {

namespace {

const std::string kSignedResponse =
    "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\nContent-Length: "
    "4\r\n\r\ndone";

std::string EventsHead(const std::string& signature) {
  return "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: " + signature +
         "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

/// Head of a stream whose end is the end of the connection.
std::string UnframedHead() {
  return "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: first\r\n\r\n";
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

/// Whether no request is in flight at any server.
bool IsIdle(const RelayHarness& harness) {
  bool idle = true;
  harness.relay.servers.ForEach(
      [&idle](const Server& server) { idle = idle && server.in_flight == 0; });
  return idle;
}

/// Two servers, of which one has received the request.
struct ServerPair {
  ScriptedServer* receiver;
  ScriptedServer* other;
};

ServerPair FindReceiver(RelayHarness& harness) {
  auto& first = *harness.servers.at(0);
  auto& second = *harness.servers.at(1);
  REQUIRE(
      harness.Until([&] { return first.requests() + second.requests() == 1; }));
  return first.requests() == 1 ? ServerPair{&first, &second}
                               : ServerPair{&second, &first};
}

}  // namespace

TEST_CASE("A response reaches the caller with the server's head and body",
          "[relay][exchange]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  auto& server = harness.AddServer("s1");
  Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
  REQUIRE(harness.Gets(server, 1));
  CHECK(Has(server.last(), "Workspace: w1"));
  CHECK(Has(server.last(), "Server: s1"));
  server.last().channel->Write(kSignedResponse);
  CHECK(harness.Receives(caller, "Signature: s"));
  CHECK(Has(caller, "\r\n\r\ndone"));
}

TEST_CASE("Requests that fail before a server is chosen get a local reply",
          "[relay][exchange]") {
  RelayHarness harness;
  auto& server = harness.AddServer("s1");
  SECTION("without a configuration, with a Retry-After header") {
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
  SECTION("that cannot be parsed") {
    harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
    CHECK(harness.Receives(harness.Call("NONSENSE\r\n\r\n"), "HTTP/1.1 400"));
  }
  CHECK(server.requests() == 0);
}

TEST_CASE("Requests that an unreadable part concerns are refused with 503",
          "[relay][exchange]") {
  RelayHarness harness;
  harness.AddServer("s1");
  Route unreadable = MakeRoute("/b/", RetryPolicy::kNever);
  unreadable.services.clear();
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever), unreadable});
  SECTION("a route") {
    Peer& caller = harness.Call(RelayHarness::Request("/b/x"));
    CHECK(harness.Receives(caller, "HTTP/1.1 503"));
  }
  SECTION("the keys of a workspace") {
    auto configuration = harness.relay.active_configuration->configuration;
    configuration.has_unreadable_workspace = true;
    configuration.workspaces_by_key.erase("k1");
    harness.relay.active_configuration =
        std::make_shared<const ActiveConfiguration>(configuration);
    Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
    CHECK(harness.Receives(caller, "HTTP/1.1 503"));
  }
}

TEST_CASE("A request that must not run twice is not retried after a failure",
          "[relay][exchange][once]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  harness.AddServer("s1");
  harness.AddServer("s2");
  Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
  const ServerPair pair = FindReceiver(harness);
  SECTION("the connection is closed") {
    pair.receiver->last().channel->Close();
  }
  SECTION("the response is truncated") {
    pair.receiver->last().channel->Write(
        kSignedResponse.substr(0, kSignedResponse.size() - 2));
    harness.runtime.Settle();
    pair.receiver->last().channel->Close();
  }
  SECTION("the bytes are not an HTTP response") {
    pair.receiver->last().channel->Write("garbage\r\n\r\n");
  }
  SECTION("the response has no signature") {
    pair.receiver->last().channel->Write(
        "HTTP/1.1 200 OK\r\nAttempt: a1\r\nContent-Length: 0\r\n\r\n");
  }
  SECTION("the refusal does not state that the request has not run") {
    pair.receiver->last().channel->Write(
        "HTTP/1.1 503 Busy\r\nAttempt: a1\r\nSignature: s\r\n"
        "Content-Length: 0\r\n\r\n");
  }
  CHECK(harness.Receives(caller, "HTTP/1.1 502"));
  CHECK_FALSE(Has(caller, "Signature"));
  CHECK_FALSE(Has(caller, "Retry-After"));
  CHECK(pair.receiver->requests() + pair.other->requests() == 1);
}

TEST_CASE("A request that a server refused without running it is retried",
          "[relay][exchange][once]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  harness.AddServer("s1");
  harness.AddServer("s2");
  Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
  const ServerPair pair = FindReceiver(harness);
  pair.receiver->last().channel->Write(
      "HTTP/1.1 503 Busy\r\nAttempt: a1\r\nNot-Run: 1\r\n"
      "Content-Length: 0\r\n\r\n");
  REQUIRE(harness.Gets(*pair.other, 1));
  pair.other->last().channel->Write(kSignedResponse);
  CHECK(harness.Receives(caller, "HTTP/1.1 200"));
}

TEST_CASE("A request that no server has run is refused with Retry-After",
          "[relay][exchange][once]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  SECTION("all servers refuse it") {
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

TEST_CASE("An idempotent request is retried on another server",
          "[relay][exchange]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kAlways)});
  harness.AddServer("s1");
  harness.AddServer("s2");
  Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
  const ServerPair pair = FindReceiver(harness);
  SECTION("after a closed connection") {
    pair.receiver->last().channel->Close();
  }
  SECTION("after a response with status 500") {
    pair.receiver->last().channel->Write(
        "HTTP/1.1 500 Oops\r\nAttempt: a1\r\nSignature: s\r\n"
        "Content-Length: 0\r\n\r\n");
  }
  REQUIRE(harness.Gets(*pair.other, 1));
  pair.other->last().channel->Write(kSignedResponse);
  CHECK(harness.Receives(caller, "HTTP/1.1 200"));
}

TEST_CASE("Without retry budget a failed request is not retried",
          "[relay][exchange][retries]") {
  RelayHarness harness;
  harness.relay.retry_budget.SetLimits({0, 0, std::chrono::seconds(10)});
  harness.Configure({MakeRoute("/a/", RetryPolicy::kAlways)});
  harness.AddServer("s1");
  harness.AddServer("s2");
  Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
  const ServerPair pair = FindReceiver(harness);
  pair.receiver->last().channel->Close();
  // The request may have run, so the response must not state that the request
  // has not run.
  CHECK(harness.Receives(caller, "HTTP/1.1 502"));
  CHECK(pair.other->requests() == 0);
}

TEST_CASE("A response to another request of the connection is skipped",
          "[relay][exchange]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  auto& server = harness.AddServer("s1");
  Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
  REQUIRE(harness.Gets(server, 1));
  server.last().channel->Write(
      "HTTP/1.1 200 OK\r\nAttempt: a0\r\nSignature: s\r\n"
      "Content-Length: 5\r\n\r\nother" +
      kSignedResponse);
  REQUIRE(harness.Receives(caller, "done"));
  CHECK_FALSE(Has(caller, "other"));
}

TEST_CASE("A connection on which bytes follow the response is not reused",
          "[relay][exchange]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kAlways)});
  auto& server = harness.AddServer("s1");
  Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
  REQUIRE(harness.Gets(server, 1));
  SECTION("no bytes follow") {
    server.last().channel->Write(kSignedResponse);
    REQUIRE(harness.Receives(caller, "done"));
    CHECK(harness.relay.pool.idle() == 1);
  }
  SECTION("bytes follow at once") {
    server.last().channel->Write(kSignedResponse + kSignedResponse);
    REQUIRE(harness.Receives(caller, "done"));
    CHECK(harness.relay.pool.idle() == 0);
  }
  SECTION("bytes follow later") {
    server.last().channel->Write(kSignedResponse);
    REQUIRE(harness.Receives(caller, "done"));
    server.last().channel->Write(kSignedResponse);
    CHECK(harness.Until([&] { return server.last().ended; }));
    harness.relay.pool.Expire();
    CHECK(harness.relay.pool.idle() == 0);
  }
}

TEST_CASE("A caller that disconnects cancels the request at the server",
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

TEST_CASE("A caller that disconnects does not improve the server's record",
          "[relay][exchange]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kAlways)});
  auto& server = harness.AddServer("s1");
  const ServerPtr known = harness.relay.servers.Find("s1");
  known->RecordFailure(harness.relay.Now());
  const double failure_rate = known->failure_rate;
  Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
  REQUIRE(harness.Gets(server, 1));
  SECTION("before a response was due") {
    caller.channel->Close();
    REQUIRE(harness.Until([&] { return server.last().ended; }));
    CHECK(known->failure_rate == failure_rate);
  }
  SECTION("after the response was due") {
    harness.runtime.Advance(milliseconds(400));
    caller.channel->Close();
    REQUIRE(harness.Until([&] { return server.last().ended; }));
    CHECK(known->failure_rate > failure_rate);
  }
  CHECK(known->IsSuspect(harness.relay.Now()));
  CHECK(known->consecutive_failures == 1);
}

TEST_CASE("A request is answered at its deadline", "[relay][exchange]") {
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

TEST_CASE("The route's timeout limits a longer deadline of the caller",
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

TEST_CASE("Events of a stream are forwarded as they arrive",
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

TEST_CASE("A broken stream is resumed on another server after its last event",
          "[relay][exchange][streams]") {
  RelayHarness harness;
  harness.Configure({StreamRoute()});
  harness.AddServer("s1");
  harness.AddServer("s2");
  Peer& caller = harness.Call(RelayHarness::Request("/s/x"));
  const ServerPair pair = FindReceiver(harness);
  // The second event is cut off.
  pair.receiver->last().channel->Write(
      EventsHead("first") + Chunk("id: 3\ndata: a\n\nid: 6\ndata: "));
  REQUIRE(harness.Receives(caller, "data: a"));
  SECTION("when the connection breaks") {
    pair.receiver->last().channel->Close();
  }
  SECTION("when the server falls silent") {
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

TEST_CASE("A stream without length and chunks ends with its connection",
          "[relay][exchange][streams]") {
  RelayHarness harness;
  harness.Configure({StreamRoute()});
  auto& server = harness.AddServer("s1");
  Peer& caller = harness.Call(RelayHarness::Request("/s/x"));
  REQUIRE(harness.Gets(server, 1));
  server.last().channel->Write(UnframedHead() + "id: 1\ndata: a\n\n");
  REQUIRE(harness.Receives(caller, "data: a"));
  server.last().channel->Close();
  CHECK(harness.Receives(caller, "0\r\n\r\n"));
}

TEST_CASE("A stream without length and chunks can break off",
          "[relay][exchange][streams]") {
  RelayHarness harness;
  harness.Configure({StreamRoute()});
  harness.AddServer("s1");
  harness.AddServer("s2");
  Peer& caller = harness.Call(RelayHarness::Request("/s/x"));
  const ServerPair pair = FindReceiver(harness);
  Peer& sender = pair.receiver->last();
  std::string last_event;
  SECTION("inside of an event") {
    sender.channel->Write(UnframedHead() + "id: 1\ndata: a\n\nid: 2\nda");
    REQUIRE(harness.Receives(caller, "data: a"));
    last_event = "Last: 1";
  }
  SECTION("before its first event") {
    sender.channel->Write(UnframedHead());
    harness.runtime.Settle();
  }
  sender.channel->Close();
  REQUIRE(harness.Gets(*pair.other, 1));
  CHECK(Has(pair.other->last(), last_event));
  CHECK_FALSE(Has(caller, "0\r\n\r\n"));
  pair.other->last().channel->Write(EventsHead("second") +
                                    Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
  CHECK(harness.Receives(caller, "data: b"));
  CHECK(harness.Receives(caller, "0\r\n\r\n"));
}

TEST_CASE("A stream that cannot be completed does not look complete",
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

TEST_CASE("A silent stream that must not be resumed is not aborted",
          "[relay][exchange][streams]") {
  RelayHarness harness;
  Route route = StreamRoute();
  route.retry_policy = RetryPolicy::kNever;
  harness.Configure({route});
  harness.AddServer("s1");
  harness.AddServer("s2");
  Peer& caller = harness.Call(RelayHarness::Request("/s/x"));
  const ServerPair pair = FindReceiver(harness);
  pair.receiver->last().channel->Write(EventsHead("s") +
                                       Chunk("id: 1\ndata: a\n\n"));
  REQUIRE(harness.Receives(caller, "data: a"));
  harness.runtime.Advance(milliseconds(3000));
  CHECK(pair.other->requests() == 0);
  CHECK_FALSE(caller.ended);
}

// Guards against aborted streams: after the loss of one engine the other
// engines were full for a moment, and 38 streams were aborted within one
// second.
TEST_CASE("A broken stream waits briefly for a server to resume it",
          "[relay][exchange][streams]") {
  RelayHarness harness;
  harness.Configure({StreamRoute()});
  harness.AddServer("s1");
  harness.AddServer("s2");
  Peer& caller = harness.Call(RelayHarness::Request("/s/x"));
  const ServerPair pair = FindReceiver(harness);
  pair.receiver->last().channel->Write(EventsHead("s") +
                                       Chunk("id: 1\ndata: a\n\n"));
  REQUIRE(harness.Receives(caller, "data: a"));
  SECTION("while all servers are paused") {
    for (const auto& id : harness.relay.servers.Ids()) {
      harness.relay.servers.Find(id)->RecordPause(harness.relay.Now(),
                                                  milliseconds(400));
    }
  }
  SECTION("while there is no retry budget") {
    harness.relay.retry_budget.SetLimits({0, 0, std::chrono::seconds(10)});
  }
  pair.receiver->last().channel->Close();
  REQUIRE(harness.Until([&] { return IsIdle(harness); }));
  harness.runtime.Advance(milliseconds(390));
  CHECK(pair.other->requests() == 0);
  CHECK_FALSE(caller.ended);
  harness.relay.retry_budget.SetLimits({0.2, 100, std::chrono::seconds(10)});
  harness.runtime.Advance(milliseconds(120));
  REQUIRE(harness.Until(
      [&] { return pair.receiver->requests() + pair.other->requests() == 2; }));
  auto& next = pair.other->requests() == 1 ? *pair.other : *pair.receiver;
  CHECK(Has(next.last(), "Last: 1"));
  next.last().channel->Write(EventsHead("t") + Chunk("id: 2\ndata: b\n\n") +
                             "0\r\n\r\n");
  CHECK(harness.Receives(caller, "data: b\n\n\r\n0\r\n\r\n"));
}

TEST_CASE(
    "A request without a server is refused at once if no response has begun",
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
