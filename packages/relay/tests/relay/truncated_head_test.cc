#include <catch2/catch.hpp>

#include "relay/relay_harness.h"

namespace qp::relay::testing {

namespace {

const std::string kFramedHead =
    "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n"
    "Content-Length: 12\r\n\r\n";
const std::string kChunkedHead =
    "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";
const std::string kUnframedHead =
    "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n\r\n";

}  // namespace

TEST_CASE("A response that ends within its head is not forwarded as a success",
          "[relay][hostile]") {
  const std::string head = GENERATE(kFramedHead, kChunkedHead, kUnframedHead);
  const bool streaming = GENERATE(false, true);
  for (std::size_t size = 1; size < head.size(); size += 3) {
    RelayHarness harness;
    Route route = MakeRoute("/a/", RetryPolicy::kNever);
    route.streaming = streaming;
    harness.Configure({route});
    auto& server = harness.AddServer("s1");
    Peer& caller = harness.Call(RelayHarness::Request("/a/1"));
    REQUIRE(harness.Gets(server, 1));
    server.last().channel->Write(head.substr(0, size));
    harness.runtime.Settle();
    server.last().channel->Close();
    INFO("after " << size << " bytes of the head");
    CHECK(harness.Receives(caller, "HTTP/1.1 502"));
    CHECK(caller.received.find("HTTP/1.1 200") == std::string::npos);
  }
}

}  // namespace qp::relay::testing
