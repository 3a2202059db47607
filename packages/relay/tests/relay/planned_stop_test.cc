#include <catch2/catch.hpp>

#include "relay/relay_harness.h"

namespace qp::relay::testing {

namespace {

constexpr Duration kGrace = std::chrono::seconds(8);

/// A process that began to stop `since` ago.
struct StoppingProcess {
  explicit StoppingProcess(Duration since) {
    Route slow = MakeRoute("/slow/", RetryPolicy::kNever);
    slow.timeout = std::chrono::seconds(20);
    this->harness.Configure({MakeRoute("/quick/", RetryPolicy::kNever), slow});
    this->server = &this->harness.AddServer("s1");
    const TimePoint now = this->harness.runtime.clock().Now();
    this->harness.relay.draining = true;
    this->harness.relay.drain_window.Begin(now - since, now - since + kGrace);
  }

  RelayHarness harness;
  ScriptedServer* server;
};

}  // namespace

TEST_CASE(
    "A request that the end of the grace period could cut off is refused "
    "without having run",
    "[relay][stop]") {
  StoppingProcess process(std::chrono::seconds(4));
  Peer& caller = process.harness.Call(RelayHarness::Request("/slow/1"));
  CHECK(process.harness.Receives(caller, "HTTP/1.1 503"));
  CHECK(process.harness.Receives(caller, "Retry-After"));
  CHECK(process.harness.Until([&] { return caller.ended; }));
  CHECK(process.server->requests() == 0);
}

TEST_CASE("A request that ends before the grace period is served late",
          "[relay][stop]") {
  StoppingProcess process(std::chrono::seconds(4));
  std::ignore = process.harness.Call(RelayHarness::Request("/quick/1"));
  CHECK(process.harness.Gets(*process.server, 1));
}

TEST_CASE("Requests are served until the load balancer has noticed the stop",
          "[relay][stop]") {
  StoppingProcess process(std::chrono::seconds(2));
  std::ignore = process.harness.Call(RelayHarness::Request("/slow/1"));
  CHECK(process.harness.Gets(*process.server, 1));
}

}  // namespace qp::relay::testing
