// Faulty servers that repeat a response, or answer a resumed stream with an
// error.
#include <catch2/catch.hpp>

#include "relay/relay_harness.h"

namespace qp::relay::testing {

namespace {

const std::string kSigned =
    "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n"
    "Content-Length: 4\r\n\r\ndone";

bool Has(const Peer& peer, const std::string& text) {
  return peer.received.find(text) != std::string::npos;
}

std::string Chunk(const std::string& data) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", data.size());
  return size + data + "\r\n";
}

}  // namespace

// Guards against a request that runs although its caller is told that it has
// not run.
TEST_CASE("A refusal without a request's id on a kept connection is skipped",
          "[relay][exchange][retries]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kAlways)});
  auto& server = harness.AddServer("s1");
  Peer& first = harness.Call(RelayHarness::Request("/a/x"));
  REQUIRE(harness.Gets(server, 1));
  server.last().channel->Write(kSigned);
  REQUIRE(harness.Receives(first, "done"));
  Peer& second = harness.Call(RelayHarness::Request("/a/x"));
  REQUIRE(harness.Gets(server, 2));
  REQUIRE(server.peers.size() == 1);
  server.last().channel->Write(
      "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n" + kSigned);
  CHECK(harness.Receives(second, "HTTP/1.1 "));
  CHECK(Has(second, "done"));
  CHECK(server.requests() == 2);
}

// Guards against an earlier refusal that is repeated on the connection and
// taken for the response to the next try of the same request.
TEST_CASE("A further try of a request uses a new connection",
          "[relay][exchange][retries]") {
  RelayHarness harness;
  Route route = MakeRoute("/s/", RetryPolicy::kResume, "model");
  route.streaming = true;
  harness.Configure({route});
  auto& first = harness.AddEngine("first", {0, 40});
  const std::vector<std::string> others = {"rest", "spare", "more"};
  for (const auto& id : others) {
    harness.AddEngine(id, {40, 80});
  }
  Peer& caller = harness.Call(RelayHarness::Request("/s/x"));
  for (int tries = 1; tries <= 2; ++tries) {
    REQUIRE(harness.Gets(first, tries));
    std::string refuser;
    for (const auto& id : others) {
      const ServerPtr engine = harness.relay.servers.Find(id);
      refuser = engine->in_flight > 0 ? engine->record.address : refuser;
    }
    first.last().channel->Write(
        "HTTP/1.1 503 Busy\r\nAttempt: a1\r\nNot-Run: 1\r\nCulprit: " +
        refuser + "\r\nContent-Length: 0\r\n\r\n");
  }
  REQUIRE(harness.Gets(first, 3));
  CHECK(first.peers.size() == 3);
  CHECK_FALSE(Has(caller, "HTTP/1.1 "));
}

// Guards against the text of an error in the middle of a stream, or a stream
// that ends with it as if it were complete.
TEST_CASE("An error of the server that resumes a stream is not forwarded",
          "[relay][exchange][streams]") {
  const std::string status = GENERATE("500 Oops", "404 Gone", "503 Busy",
                                      "302 Found", "200 OK", "206 Part");
  const std::string signature = GENERATE("", "Signature: s\r\n");
  const bool is_success = status[0] == '2';
  if (is_success && !signature.empty()) {
    return;  // Such a response is the stream.
  }
  RelayHarness harness;
  Route route = MakeRoute("/s/", RetryPolicy::kResume);
  route.streaming = true;
  route.max_attempts = 2;
  harness.Configure({route});
  harness.AddServer("s1");
  harness.AddServer("s2");
  Peer& caller = harness.Call(RelayHarness::Request("/s/x"));
  auto& servers = harness.servers;
  REQUIRE(harness.Until(
      [&] { return servers[0]->requests() + servers[1]->requests() == 1; }));
  const std::size_t begun = servers[0]->requests() == 1 ? 0 : 1;
  servers[begun]->last().channel->Write(
      "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n"
      "Transfer-Encoding: chunked\r\n\r\n" +
      Chunk("id: 1\ndata: a\n\n"));
  REQUIRE(harness.Receives(caller, "data: a"));
  servers[begun]->last().channel->Close();
  ScriptedServer& next = *servers[1 - begun];
  REQUIRE(harness.Gets(next, 1));
  next.last().channel->Write("HTTP/1.1 " + status + "\r\nAttempt: a1\r\n" +
                             signature + "Content-Length: 7\r\n\r\nfailure");
  harness.Until([&] { return caller.ended; });
  harness.runtime.Advance(milliseconds(2000));
  CHECK(harness.Until([&] { return caller.ended; }));
  CHECK_FALSE(Has(caller, "failure"));
  CHECK_FALSE(Has(caller, "0\r\n\r\n"));
  CHECK(caller.received.find("HTTP/1.1", 1) == std::string::npos);
}

}  // namespace qp::relay::testing
