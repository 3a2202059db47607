#include <catch2/catch.hpp>

#include "relay/relay_harness.h"

namespace qp::relay::testing {

namespace {

constexpr Duration kGrace = std::chrono::seconds(8);
/// Time per token of the streams that the process has served.
constexpr Duration kTokenTime = milliseconds(10);

/// A process that began to stop `since` ago.
struct StoppingProcess {
  explicit StoppingProcess(Duration since) {
    Route slow = MakeRoute("/slow/", RetryPolicy::kNever);
    slow.timeout = std::chrono::seconds(20);
    Route stream = slow;
    stream.prefix = "/stream/";
    stream.streaming = true;
    Route resumable = stream;
    resumable.prefix = "/resumable/";
    resumable.retry_policy = RetryPolicy::kResume;
    this->harness.Configure(
        {MakeRoute("/quick/", RetryPolicy::kNever), slow, stream, resumable});
    for (int tokens = 100; tokens < 400; tokens += 10) {
      this->harness.relay.stream_durations.Record("ledger", tokens,
                                                  tokens * kTokenTime);
    }
    this->server = &this->harness.AddServer("s1");
    const TimePoint now = this->harness.runtime.clock().Now();
    this->harness.relay.draining = true;
    this->harness.relay.drain_window.Begin(now - since, now - since + kGrace);
  }

  bool Serves(const std::string& path, const std::string& headers = {}) {
    std::ignore = this->harness.Call(RelayHarness::Request(path, headers));
    return this->harness.Gets(*this->server, 1);
  }
  bool Refuses(const std::string& path, const std::string& headers = {}) {
    Peer& caller = this->harness.Call(RelayHarness::Request(path, headers));
    return this->harness.Receives(caller, "HTTP/1.1 503") &&
           this->harness.Receives(caller, "Retry-After") &&
           this->server->requests() == 0;
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

// Guards against requests that were cut off because the process, not scheduled
// for a moment, had noticed the signal later than it was sent.
TEST_CASE("Requests are served as if the stop had been requested earlier",
          "[relay][stop]") {
  SECTION("requests that the end could cut off") {
    CHECK(StoppingProcess(milliseconds(2400)).Serves("/slow/1"));
    CHECK(StoppingProcess(milliseconds(2600)).Refuses("/slow/1"));
  }
  SECTION("requests whose deadline is just before the end") {
    // The timeout of the route is 2 s.
    CHECK(StoppingProcess(milliseconds(5400)).Serves("/quick/1"));
    CHECK(StoppingProcess(milliseconds(5600)).Refuses("/quick/1"));
  }
}

// Guards against long streams that a process took shortly before its end, and
// cut off in the middle although others could have served them.
TEST_CASE("A stream that would be cut off for good is refused from the start",
          "[relay][stop]") {
  const std::string path = GENERATE("/stream/1", "/resumable/1");
  const int tokens = GENERATE(50, 300, 600);
  const std::string headers = "Tokens: " + std::to_string(tokens) + "\r\n";
  const std::string too_long = "Tokens: 800\r\n";
  CHECK(StoppingProcess(milliseconds(500)).Serves(path, headers));
  if (path == "/stream/1") {
    CHECK(StoppingProcess(milliseconds(500)).Refuses(path, too_long));
  } else {
    CHECK(StoppingProcess(milliseconds(500)).Serves(path, too_long));
  }
}

TEST_CASE("Streams are refused late only if they would be cut off",
          "[relay][stop]") {
  const std::string path = GENERATE("/stream/1", "/resumable/1");
  CHECK(StoppingProcess(milliseconds(2600)).Serves(path, "Tokens: 300\r\n"));
  CHECK(StoppingProcess(milliseconds(2600)).Refuses(path, "Tokens: 600\r\n"));
  CHECK(StoppingProcess(milliseconds(3100)).Refuses(path, "Tokens: 300\r\n"));
}

}  // namespace qp::relay::testing
