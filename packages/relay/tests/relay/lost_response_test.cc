// Servers that run a request and lose the response.
#include <catch2/catch.hpp>

#include "relay/relay_harness.h"

namespace qp::relay::testing {

namespace {

std::string Response(const std::string& signature) {
  return "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: " + signature +
         "\r\nContent-Length: 4\r\n\r\ndone";
}

/// Servers s1 to s3, to each of which the pool holds an idle connection.
class PooledHarness : public RelayHarness {
 public:
  explicit PooledHarness(int max_attempts, double hedge_share = 0) {
    Route route = MakeRoute("/a/", RetryPolicy::kAlways);
    route.max_attempts = max_attempts;
    Route warm_up = MakeRoute("/w/", RetryPolicy::kAlways);
    this->Configure({route, warm_up});
    for (const char* id : {"s1", "s2", "s3"}) {
      ScriptedServer& server = this->AddServer(id);
      Peer& caller = this->Call(Request("/w/x"));
      REQUIRE(this->Gets(server, 1));
      server.last().channel->Write(Response(id));
      REQUIRE(this->Receives(caller, "done"));
      // A server that is not usable gets no request, so that the next one is
      // chosen.
      this->SetDraining(id, true);
    }
    for (const char* id : {"s1", "s2", "s3"}) {
      this->SetDraining(id, false);
    }
    REQUIRE(this->relay.pool.idle() == 3);
    if (hedge_share > 0) {
      this->relay.hedging.SetSettings({hedge_share, 0.95});
      for (int answer = 0; answer < 200; ++answer) {
        this->relay.hedging.RecordRequest("ledger", this->relay.Now());
        this->relay.hedging.RecordAnswer("ledger", milliseconds(20),
                                         this->relay.Now());
      }
    }
  }

  /// The server that received a request beside those of the warm-up and
  /// `others`; null if none has within the time that Until waits.
  ScriptedServer* NextReceiver(std::vector<ScriptedServer*> others = {}) {
    ScriptedServer* found = nullptr;
    this->Until([&] {
      for (const auto& server : this->servers) {
        const bool known = std::find(others.begin(), others.end(),
                                     server.get()) != others.end();
        if (!known && server->requests() == 2) {
          found = server.get();
        }
      }
      return found != nullptr;
    });
    return found;
  }
  int Requests() const {
    int sum = -3;  // The warm-up.
    for (const auto& server : this->servers) {
      sum += server->requests();
    }
    return sum;
  }

 private:
  void SetDraining(const char* id, bool draining) {
    auto record = this->relay.servers.Find(id)->record;
    record.draining = draining;
    this->relay.servers.Put(std::move(record), this->relay.Now());
  }
};

}  // namespace

// Guards against a request that runs on more servers than its route allows: a
// response that was lost on a pooled connection was not counted as a run.
TEST_CASE("A response lost on a pooled connection counts as a run",
          "[relay][exchange][retries]") {
  const int max_attempts = GENERATE(1, 2);
  PooledHarness harness(max_attempts);
  Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
  std::vector<ScriptedServer*> receivers;
  for (int number = 0; number < max_attempts; ++number) {
    ScriptedServer* receiver = harness.NextReceiver(receivers);
    REQUIRE(receiver != nullptr);
    receiver->last().channel->Close();
    receivers.push_back(receiver);
  }
  CHECK(harness.Receives(caller, "HTTP/1.1 502"));
  CHECK(harness.Requests() == max_attempts);
}

TEST_CASE("A response of a hedged try lost on a pooled connection is a run",
          "[relay][exchange][retries][hedging]") {
  PooledHarness harness(2, 0.5);
  Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
  ScriptedServer* first = harness.NextReceiver();
  REQUIRE(first != nullptr);
  harness.runtime.Advance(milliseconds(30));
  ScriptedServer* second = harness.NextReceiver({first});
  REQUIRE(second != nullptr);
  first->last().channel->Close();
  harness.Until([round = 0]() mutable { return ++round > 40; });
  second->last().channel->Close();
  CHECK(harness.Receives(caller, "HTTP/1.1 502"));
  CHECK(harness.Requests() == 2);
}

// A close that has arrived before the request is written shows that no server
// has run it.
TEST_CASE("A pooled connection that its server closed costs no run",
          "[relay][exchange][retries]") {
  PooledHarness harness(1);
  SECTION("and the close was read") {
    for (const auto& server : harness.servers) {
      server->last().channel->Close();
    }
    harness.runtime.Settle();
    Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
    ScriptedServer* receiver = harness.NextReceiver();
    REQUIRE(receiver != nullptr);
    receiver->last().channel->Write(Response("fresh"));
    CHECK(harness.Receives(caller, "done"));
  }
  SECTION("and the close was not read yet") {
    const ServerPtr known = harness.relay.servers.Find("s1");
    harness.servers.front()->last().channel->Close();
    ::usleep(2000);
    CHECK(harness.relay.pool.Acquire(*known) == nullptr);
  }
}

// Without a run, the caller is told that the request has not run.
TEST_CASE("A request that no server accepted leaves its tries unused",
          "[relay][exchange][retries]") {
  PooledHarness harness(1);
  for (const auto& server : harness.servers) {
    server->Crash();
  }
  harness.runtime.Settle();
  Peer& caller = harness.Call(RelayHarness::Request("/a/x"));
  CHECK(harness.Receives(caller, "HTTP/1.1 503"));
}

}  // namespace qp::relay::testing
