#include "relay/upstream_pool.h"

#include <catch2/catch.hpp>

#include "relay/relay_harness.h"

namespace qp::relay::testing {

// The next request on a connection that had been paused for a slow caller got
// no answer.
TEST_CASE("A connection whose reading was paused is read again once it is idle",
          "[relay][pool]") {
  RelayHarness harness;
  auto& server = harness.AddServer("s1");
  auto channel =
      std::make_shared<Channel>(Channel::Socket(harness.runtime.io()));
  const auto endpoint = server.acceptor_endpoint();
  bool connected = false;
  channel->Connect(endpoint, [&connected](boost::system::error_code failure) {
    connected = !failure;
  });
  REQUIRE(harness.Until([&] { return connected && !server.peers.empty(); }));
  channel->Pause();
  const ServerPtr known = harness.relay.servers.Find("s1");
  harness.relay.pool.Release(*known, channel, std::nullopt);
  // Bytes on an idle connection belong to no request.
  server.last().channel->Write("late");
  CHECK(harness.Until([&] { return server.last().ended; }));
  CHECK(harness.relay.pool.Acquire(*known) == nullptr);
}

}  // namespace qp::relay::testing
