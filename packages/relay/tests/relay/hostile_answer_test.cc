// Servers that send what is no answer, or no end of one.
#include <catch2/catch.hpp>

#include "relay/relay_harness.h"

namespace qp::relay::testing {

namespace {

const std::string kSigned =
    "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n";

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

/// A request whose first server is at the test's mercy; the other one answers.
struct TwoServers {
  explicit TwoServers(bool streaming = false) {
    Route route = MakeRoute("/a/", RetryPolicy::kResume);
    route.streaming = streaming;
    harness.Configure({route});
    harness.AddServer("s1");
    harness.AddServer("s2");
    caller = &harness.Call(RelayHarness::Request("/a/x"));
    REQUIRE(harness.Until([&] {
      return harness.servers[0]->requests() + harness.servers[1]->requests() ==
             1;
    }));
    const bool first = harness.servers[0]->requests() == 1;
    hit = harness.servers[first ? 0 : 1].get();
    other = harness.servers[first ? 1 : 0].get();
  }

  /// Sends `piece` until the relay closes; false if it reads more than `limit`.
  bool Flood(const std::string& piece, std::size_t limit) {
    auto& channel = *this->hit->last().channel;
    std::size_t sent = 0;
    while (!this->hit->last().ended && sent < limit) {
      channel.Write(piece);
      sent += piece.size();
      this->harness.Until(
          [&] { return channel.unsent() == 0 || this->hit->last().ended; });
    }
    return this->harness.Until([&] { return this->hit->last().ended; });
  }

  RelayHarness harness;
  Peer* caller = nullptr;
  ScriptedServer* hit = nullptr;
  ScriptedServer* other = nullptr;
};

/// Bytes after which no part of an answer is read as a whole any more.
constexpr std::size_t kFloodLimit = 4 << 20;

}  // namespace

// A VM with 160 MB was killed by one such server, with all its callers.
TEST_CASE("Bytes without end are given up, and the request goes elsewhere",
          "[relay][hostile]") {
  TwoServers world;
  auto& channel = *world.hit->last().channel;
  const std::string bytes(16 * 1024, 'x');
  SECTION("that begin no answer") { CHECK(world.Flood(bytes, kFloodLimit)); }
  SECTION("in a header") {
    channel.Write(kSigned + "X: ");
    CHECK(world.Flood(bytes, kFloodLimit));
  }
  SECTION("in headers") {
    channel.Write(kSigned);
    CHECK(world.Flood("X: y\r\n", kFloodLimit));
  }
  SECTION("in interim answers") {
    CHECK(world.Flood("HTTP/1.1 100 Continue\r\n\r\n", kFloodLimit));
  }
  SECTION("in the extension of a chunk") {
    channel.Write(kSigned + "Transfer-Encoding: chunked\r\n\r\n4;x=");
    CHECK(world.Flood(bytes, kFloodLimit));
  }
  SECTION("in a trailer") {
    channel.Write(kSigned + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ");
    CHECK(world.Flood(bytes, kFloodLimit));
  }
  SECTION("in an answer to another request") {
    channel.Write(
        "HTTP/1.1 200 OK\r\nAttempt: a0\r\nSignature: s\r\n"
        "Content-Length: 1000000000000\r\n\r\n");
    CHECK(world.Flood(bytes, kFloodLimit));
  }
  REQUIRE(world.harness.Gets(*world.other, 1));
  world.other->last().channel->Write(kSigned + "Content-Length: 4\r\n\r\ndone");
  CHECK(world.harness.Receives(*world.caller, "done"));
}

TEST_CASE("An event without end is given up, and the stream goes on elsewhere",
          "[relay][hostile][streams]") {
  TwoServers world(true);
  world.hit->last().channel->Write(kSigned +
                                   "Transfer-Encoding: chunked\r\n\r\n" +
                                   Chunk("id: 1\ndata: a\n\nid: 2\ndata: "));
  CHECK(world.Flood(Chunk(std::string(16 * 1024, 'x')), kFloodLimit));
  REQUIRE(world.harness.Gets(*world.other, 1));
  CHECK(world.other->last().received.find("Last: 1") != std::string::npos);
}

TEST_CASE("The settings say which event is too long",
          "[relay][hostile][streams]") {
  const bool tight = GENERATE(true, false);
  TwoServers world(true);
  if (tight) {
    world.harness.relay.response_limits.event_bytes = 8 * 1024;
  }
  world.hit->last().channel->Write(kSigned +
                                   "Transfer-Encoding: chunked\r\n\r\n" +
                                   Chunk("id: 1\ndata: a\n\nid: 2\ndata: ") +
                                   Chunk(std::string(16 * 1024, 'x')));
  REQUIRE(world.harness.Receives(*world.caller, "data: a"));
  world.harness.runtime.Settle();
  CHECK((world.other->requests() == 1) == tight);
}

// An unsigned success was collected whole before it was thrown away.
TEST_CASE("What nobody needs of an answer is not waited for",
          "[relay][hostile]") {
  const std::string head =
      GENERATE(as<std::string>(), "HTTP/1.1 200 OK\r\nAttempt: a1\r\n",
               "HTTP/1.1 503 Busy\r\nAttempt: a1\r\nNot-Run: 1\r\n",
               "HTTP/1.1 500 Oops\r\nAttempt: a1\r\nSignature: s\r\n");
  CAPTURE(head);
  TwoServers world;
  world.hit->last().channel->Write(head +
                                   "Content-Length: 1000000000000\r\n\r\n");
  REQUIRE(world.harness.Gets(*world.other, 1));
  SECTION("nor read for long") {
    CHECK(world.Flood(std::string(16 * 1024, 'x'), kFloodLimit));
  }
  SECTION("nor kept open for long") {
    world.harness.runtime.Advance(milliseconds(210));
    CHECK(world.harness.Until([&] { return world.hit->last().ended; }));
  }
}

// A length of a trillion ended the process: std::bad_alloc out of the parser.
TEST_CASE("A length that a server states allocates nothing",
          "[relay][hostile]") {
  TwoServers world;
  world.hit->last().channel->Write(
      kSigned + "Content-Length: 1000000000000\r\n\r\nbegin");
  world.harness.runtime.Settle();
  world.hit->last().channel->Close();
  REQUIRE(world.harness.Gets(*world.other, 1));
  world.other->last().channel->Write(kSigned + "Content-Length: 4\r\n\r\ndone");
  CHECK(world.harness.Receives(*world.caller, "done"));
}

TEST_CASE("An interim answer is not the answer", "[relay][hostile]") {
  TwoServers world;
  world.hit->last().channel->Write(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: "
      "x\r\n\r\n" +
      kSigned + "Content-Length: 4\r\n\r\ndone");
  REQUIRE(world.harness.Receives(*world.caller, "done"));
  CHECK(world.caller->received.find("HTTP/1.1 200") == 0);
  CHECK(world.other->requests() == 0);
}

TEST_CASE("A long answer is passed on as it arrives",
          "[relay][hostile][backpressure]") {
  TwoServers world;
  auto& channel = *world.hit->last().channel;
  const std::string piece(64 * 1024, 'x');
  channel.Write(kSigned + "Transfer-Encoding: chunked\r\n\r\n");
  for (int count = 0; count < 4; ++count) {
    channel.Write(Chunk(piece));
  }
  REQUIRE(world.harness.Receives(*world.caller, piece));
  SECTION("to its end") {
    channel.Write("0\r\n\r\n");
    CHECK(world.harness.Receives(*world.caller, "\r\n0\r\n\r\n"));
    CHECK_FALSE(world.caller->ended);
  }
  SECTION("and does not look whole if it breaks off") {
    channel.Close();
    CHECK(world.harness.Until([&] { return world.caller->ended; }));
    CHECK(world.caller->received.find("\r\n0\r\n\r\n") == std::string::npos);
    CHECK(world.other->requests() == 0);
  }
}

TEST_CASE("A caller who does not read slows its server down",
          "[relay][hostile][backpressure]") {
  TwoServers world;
  auto& channel = *world.hit->last().channel;
  channel.Write(kSigned + "Transfer-Encoding: chunked\r\n\r\n");
  world.caller->channel->Pause();
  const std::string piece = Chunk(std::string(256 * 1024, 'x'));
  for (int count = 0; count < 200; ++count) {
    channel.Write(piece);
    world.harness.runtime.Settle();
  }
  // What the relay and the sockets hold is far from all of it.
  CHECK(channel.unsent() > 20 * piece.size());
  world.caller->channel->Resume();
  channel.Write("0\r\n\r\n");
  CHECK(world.harness.Until([&] { return channel.unsent() == 0; }));
  CHECK(world.harness.Receives(*world.caller, "\r\n0\r\n\r\n"));
}

TEST_CASE("A server that sends bytes now and then does not hold a request",
          "[relay][hostile][slow]") {
  TwoServers world(true);
  auto& channel = *world.hit->last().channel;
  channel.Write(kSigned + "Transfer-Encoding: chunked\r\n\r\n" +
                Chunk("id: 1\ndata: a\n\n"));
  REQUIRE(world.harness.Receives(*world.caller, "data: a"));
  std::string drop;
  SECTION("comments") { drop = ": still here\n\n"; }
  SECTION("parts of an event") { drop = "x"; }
  SECTION("an event that it has sent before") { drop = "id: 1\ndata: a\n\n"; }
  for (int count = 0; count < 8; ++count) {
    channel.Write(Chunk(drop));
    world.harness.runtime.Settle();
    world.harness.runtime.Advance(milliseconds(100));
  }
  CHECK(world.harness.Gets(*world.other, 1));
}

// A stream that was only slow was cut once there was no budget to repeat it.
TEST_CASE("A silent stream that nobody else can take goes on",
          "[relay][hostile][slow]") {
  TwoServers world(true);
  auto& channel = *world.hit->last().channel;
  channel.Write(kSigned + "Transfer-Encoding: chunked\r\n\r\n" +
                Chunk("id: 1\ndata: a\n\n"));
  REQUIRE(world.harness.Receives(*world.caller, "data: a"));
  SECTION("without retry budget") {
    world.harness.relay.retry_budget.SetLimits(
        {0, 0, std::chrono::seconds(10)});
  }
  SECTION("without another server") {
    const TimePoint now = world.harness.relay.Now();
    for (const auto& id : world.harness.relay.servers.Ids()) {
      world.harness.relay.servers.Find(id)->RecordPause(
          now, std::chrono::seconds(9));
    }
  }
  world.harness.runtime.Advance(milliseconds(1500));
  CHECK(world.other->requests() == 0);
  CHECK_FALSE(world.caller->ended);
  channel.Write(Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
  CHECK(world.harness.Receives(*world.caller, "data: b\n\n\r\n0\r\n\r\n"));
}

// A server that never answers held an idempotent request until its deadline.
TEST_CASE("A plain request that gets no answer is tried elsewhere in time",
          "[relay][hostile][slow]") {
  RelayHarness harness;
  SECTION("if it may run twice") {
    harness.Configure({MakeRoute("/a/", RetryPolicy::kAlways)});
    harness.AddServer("s1");
    harness.AddServer("s2");
    Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
    REQUIRE(harness.Until([&] {
      return harness.servers[0]->requests() + harness.servers[1]->requests() ==
             1;
    }));
    harness.runtime.Advance(milliseconds(610));
    auto& first = *harness.servers[0];
    auto& second = *harness.servers[1];
    REQUIRE(harness.Until(
        [&] { return first.requests() + second.requests() == 2; }));
    CHECK(first.requests() == 1);
    for (auto& server : harness.servers) {
      server->last().channel->Write(kSigned + "Content-Length: 2\r\n\r\nok");
    }
    CHECK(harness.Receives(caller, "\r\n\r\nok"));
  }
  SECTION("but not otherwise") {
    harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
    harness.AddServer("s1");
    harness.AddServer("s2");
    harness.Call(RelayHarness::Request("/a/x"));
    harness.Until([&] {
      return harness.servers[0]->requests() + harness.servers[1]->requests() ==
             1;
    });
    harness.runtime.Advance(milliseconds(1900));
    CHECK(harness.servers[0]->requests() + harness.servers[1]->requests() == 1);
  }
}

}  // namespace qp::relay::testing
