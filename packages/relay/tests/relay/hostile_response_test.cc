// Guards against servers that send invalid, endless or very slow responses.
#include <catch2/catch.hpp>

#include "relay/relay_harness.h"

namespace qp::relay::testing {

namespace {

const std::string kSignedHead =
    "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n";

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

/// A request that one of two servers has received. The receiver, `faulty`,
/// sends what the test writes; `other` is free for a retry.
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
    faulty = harness.servers[first ? 0 : 1].get();
    other = harness.servers[first ? 1 : 0].get();
  }

  /// Sends `piece` until the relay closes the connection. False if the relay
  /// reads more than `limit` bytes.
  bool Flood(const std::string& piece, std::size_t limit) {
    auto& channel = *this->faulty->last().channel;
    std::size_t sent = 0;
    while (!this->faulty->last().ended && sent < limit) {
      channel.Write(piece);
      sent += piece.size();
      this->harness.Until(
          [&] { return channel.unsent() == 0 || this->faulty->last().ended; });
    }
    return this->harness.Until([&] { return this->faulty->last().ended; });
  }

  RelayHarness harness;
  Peer* caller = nullptr;
  ScriptedServer* faulty = nullptr;
  ScriptedServer* other = nullptr;
};

/// Number of bytes before which Flood expects the relay to close the
/// connection. Far above the size of any part of a response that the relay
/// reads as a whole.
constexpr std::size_t kFloodLimit = 4 << 20;

}  // namespace

// Guards against exhausted memory: one server that sent bytes without end
// filled the memory of a VM with 160 MB, which ended the requests of all its
// callers.
TEST_CASE("An endless response is aborted, and the request is retried",
          "[relay][hostile]") {
  TwoServers fixture;
  auto& channel = *fixture.faulty->last().channel;
  const std::string bytes(16 * 1024, 'x');
  SECTION("in place of a head") { CHECK(fixture.Flood(bytes, kFloodLimit)); }
  SECTION("in a header") {
    channel.Write(kSignedHead + "X: ");
    CHECK(fixture.Flood(bytes, kFloodLimit));
  }
  SECTION("in headers") {
    channel.Write(kSignedHead);
    CHECK(fixture.Flood("X: y\r\n", kFloodLimit));
  }
  SECTION("in interim responses") {
    CHECK(fixture.Flood("HTTP/1.1 100 Continue\r\n\r\n", kFloodLimit));
  }
  SECTION("in a chunk extension") {
    channel.Write(kSignedHead + "Transfer-Encoding: chunked\r\n\r\n4;x=");
    CHECK(fixture.Flood(bytes, kFloodLimit));
  }
  SECTION("in a trailer") {
    channel.Write(kSignedHead + "Transfer-Encoding: chunked\r\n\r\n0\r\nX: ");
    CHECK(fixture.Flood(bytes, kFloodLimit));
  }
  SECTION("in a response to another request") {
    channel.Write(
        "HTTP/1.1 200 OK\r\nAttempt: a0\r\nSignature: s\r\n"
        "Content-Length: 1000000000000\r\n\r\n");
    CHECK(fixture.Flood(bytes, kFloodLimit));
  }
  SECTION("in short responses to another request") {
    CHECK(fixture.Flood(
        "HTTP/1.1 200 OK\r\nAttempt: a0\r\nContent-Length: 0\r\n\r\n",
        kFloodLimit));
  }
  REQUIRE(fixture.harness.Gets(*fixture.other, 1));
  fixture.other->last().channel->Write(kSignedHead +
                                       "Content-Length: 4\r\n\r\ndone");
  CHECK(fixture.harness.Receives(*fixture.caller, "done"));
}

TEST_CASE("An endless event is aborted, and the stream is resumed elsewhere",
          "[relay][hostile][streams]") {
  TwoServers fixture(true);
  fixture.faulty->last().channel->Write(
      kSignedHead + "Transfer-Encoding: chunked\r\n\r\n" +
      Chunk("id: 1\ndata: a\n\nid: 2\ndata: "));
  CHECK(fixture.Flood(Chunk(std::string(16 * 1024, 'x')), kFloodLimit));
  REQUIRE(fixture.harness.Gets(*fixture.other, 1));
  CHECK(fixture.other->last().received.find("Last: 1") != std::string::npos);
}

TEST_CASE("The setting for the maximum size of an event is applied",
          "[relay][hostile][streams]") {
  const bool tight = GENERATE(true, false);
  TwoServers fixture(true);
  if (tight) {
    fixture.harness.relay.response_limits.event_bytes = 8 * 1024;
  }
  fixture.faulty->last().channel->Write(
      kSignedHead + "Transfer-Encoding: chunked\r\n\r\n" +
      Chunk("id: 1\ndata: a\n\nid: 2\ndata: ") +
      Chunk(std::string(16 * 1024, 'x')));
  REQUIRE(fixture.harness.Receives(*fixture.caller, "data: a"));
  fixture.harness.runtime.Settle();
  CHECK((fixture.other->requests() == 1) == tight);
}

// Guards against a late retry: the relay buffered an unsigned successful
// response completely before it discarded the response.
TEST_CASE("A retry does not wait for the rest of an unneeded response",
          "[relay][hostile]") {
  const std::string head =
      GENERATE(as<std::string>(), "HTTP/1.1 200 OK\r\nAttempt: a1\r\n",
               "HTTP/1.1 503 Busy\r\nAttempt: a1\r\nNot-Run: 1\r\n",
               "HTTP/1.1 500 Oops\r\nAttempt: a1\r\nSignature: s\r\n");
  CAPTURE(head);
  TwoServers fixture;
  fixture.faulty->last().channel->Write(
      head + "Content-Length: 1000000000000\r\n\r\n");
  REQUIRE(fixture.harness.Gets(*fixture.other, 1));
  SECTION("the rest is not read without limit") {
    CHECK(fixture.Flood(std::string(16 * 1024, 'x'), kFloodLimit));
  }
  SECTION("the connection does not stay open for long") {
    fixture.harness.runtime.Advance(milliseconds(210));
    CHECK(fixture.harness.Until([&] { return fixture.faulty->last().ended; }));
  }
}

// Guards against the end of the process: with a Content-Length of 10^12 the
// parser threw std::bad_alloc.
TEST_CASE("A large Content-Length does not allocate memory",
          "[relay][hostile]") {
  TwoServers fixture;
  fixture.faulty->last().channel->Write(
      kSignedHead + "Content-Length: 1000000000000\r\n\r\nbegin");
  fixture.harness.runtime.Settle();
  fixture.faulty->last().channel->Close();
  REQUIRE(fixture.harness.Gets(*fixture.other, 1));
  fixture.other->last().channel->Write(kSignedHead +
                                       "Content-Length: 4\r\n\r\ndone");
  CHECK(fixture.harness.Receives(*fixture.caller, "done"));
}

TEST_CASE("An interim response is not forwarded as the final one",
          "[relay][hostile]") {
  TwoServers fixture;
  fixture.faulty->last().channel->Write(
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: "
      "x\r\n\r\n" +
      kSignedHead + "Content-Length: 4\r\n\r\ndone");
  REQUIRE(fixture.harness.Receives(*fixture.caller, "done"));
  CHECK(fixture.caller->received.find("HTTP/1.1 200") == 0);
  CHECK(fixture.other->requests() == 0);
}

TEST_CASE("A long response is forwarded as it arrives",
          "[relay][hostile][backpressure]") {
  TwoServers fixture;
  auto& channel = *fixture.faulty->last().channel;
  const std::string piece(64 * 1024, 'x');
  channel.Write(kSignedHead + "Transfer-Encoding: chunked\r\n\r\n");
  for (int count = 0; count < 4; ++count) {
    channel.Write(Chunk(piece));
  }
  REQUIRE(fixture.harness.Receives(*fixture.caller, piece));
  SECTION("to its end") {
    channel.Write("0\r\n\r\n");
    CHECK(fixture.harness.Receives(*fixture.caller, "\r\n0\r\n\r\n"));
    CHECK_FALSE(fixture.caller->ended);
  }
  SECTION("and does not look complete if the connection breaks") {
    channel.Close();
    CHECK(fixture.harness.Until([&] { return fixture.caller->ended; }));
    CHECK(fixture.caller->received.find("\r\n0\r\n\r\n") == std::string::npos);
    CHECK(fixture.other->requests() == 0);
  }
}

TEST_CASE("A caller that does not read slows its server down",
          "[relay][hostile][backpressure]") {
  TwoServers fixture;
  auto& channel = *fixture.faulty->last().channel;
  channel.Write(kSignedHead + "Transfer-Encoding: chunked\r\n\r\n");
  fixture.caller->channel->Pause();
  const std::string piece = Chunk(std::string(256 * 1024, 'x'));
  for (int count = 0; count < 200; ++count) {
    channel.Write(piece);
    fixture.harness.runtime.Settle();
  }
  // The relay and the socket buffers hold only a small part of the response.
  CHECK(channel.unsent() > 20 * piece.size());
  fixture.caller->channel->Resume();
  channel.Write("0\r\n\r\n");
  CHECK(fixture.harness.Until([&] { return channel.unsent() == 0; }));
  CHECK(fixture.harness.Receives(*fixture.caller, "\r\n0\r\n\r\n"));
}

TEST_CASE("A server that sends bytes without progress is replaced",
          "[relay][hostile][slow]") {
  TwoServers fixture(true);
  auto& channel = *fixture.faulty->last().channel;
  channel.Write(kSignedHead + "Transfer-Encoding: chunked\r\n\r\n" +
                Chunk("id: 1\ndata: a\n\n"));
  REQUIRE(fixture.harness.Receives(*fixture.caller, "data: a"));
  std::string piece;
  SECTION("comments") { piece = ": still here\n\n"; }
  SECTION("parts of an event") { piece = "x"; }
  SECTION("an event that was sent before") { piece = "id: 1\ndata: a\n\n"; }
  for (int count = 0; count < 8; ++count) {
    channel.Write(Chunk(piece));
    fixture.harness.runtime.Settle();
    fixture.harness.runtime.Advance(milliseconds(100));
  }
  CHECK(fixture.harness.Gets(*fixture.other, 1));
}

// Guards against aborted streams: a stream that was only slow was aborted if
// there was no retry budget to resume it.
TEST_CASE("A silent stream that no other server can take continues",
          "[relay][hostile][slow]") {
  TwoServers fixture(true);
  auto& channel = *fixture.faulty->last().channel;
  channel.Write(kSignedHead + "Transfer-Encoding: chunked\r\n\r\n" +
                Chunk("id: 1\ndata: a\n\n"));
  REQUIRE(fixture.harness.Receives(*fixture.caller, "data: a"));
  SECTION("without retry budget") {
    fixture.harness.relay.retry_budget.SetLimits(
        {0, 0, std::chrono::seconds(10)});
  }
  SECTION("without another server") {
    const TimePoint now = fixture.harness.relay.Now();
    for (const auto& id : fixture.harness.relay.servers.Ids()) {
      fixture.harness.relay.servers.Find(id)->RecordPause(
          now, std::chrono::seconds(9));
    }
  }
  fixture.harness.runtime.Advance(milliseconds(1500));
  CHECK(fixture.other->requests() == 0);
  CHECK_FALSE(fixture.caller->ended);
  channel.Write(Chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
  CHECK(fixture.harness.Receives(*fixture.caller, "data: b\n\n\r\n0\r\n\r\n"));
}

// Guards against a late retry: an idempotent request waited until its deadline
// for a server that never responded.
TEST_CASE("A plain request without a response is retried before its deadline",
          "[relay][hostile][slow]") {
  RelayHarness harness;
  SECTION("if it is idempotent") {
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
      server->last().channel->Write(kSignedHead +
                                    "Content-Length: 2\r\n\r\nok");
    }
    CHECK(harness.Receives(caller, "\r\n\r\nok"));
  }
  SECTION("but not if it must not run twice") {
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
