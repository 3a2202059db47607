#include <catch2/catch.hpp>

#include "relay/relay_harness.h"

namespace qp::relay::testing {

namespace {

std::string Head(const std::string& signature) {
  return "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: " + signature +
         "\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string Event(int id) {
  const std::string event =
      "id: " + std::to_string(id) + "\ndata: " + std::to_string(id) + "\n\n";
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
  return size + event + "\r\n";
}

const std::string kEnd = "0\r\n\r\n";
const std::string kRefusal =
    "HTTP/1.1 503 Full\r\nAttempt: a1\r\nNot-Run: 1\r\n"
    "Content-Length: 0\r\n\r\n";
const std::string kFailure =
    "HTTP/1.1 500 Failed\r\nAttempt: a1\r\nSignature: s\r\n"
    "Content-Length: 0\r\n\r\n";

/// Requests of a stream whose server, `silent`, has fallen silent for so long
/// that `other` has received the request as well.
class SilentServerHarness : public RelayHarness {
 public:
  explicit SilentServerHarness(int events, bool streaming = true) {
    Route route = MakeRoute("/s/", RetryPolicy::kResume);
    route.streaming = streaming;
    route.timeout = std::chrono::seconds(20);
    this->Configure({route});
    ScriptedServer& first = this->AddServer("s1");
    ScriptedServer& second = this->AddServer("s2");
    this->caller = &this->Call(Request("/s/x"));
    REQUIRE(
        this->Until([&] { return first.requests() + second.requests() == 1; }));
    this->silent = first.requests() == 1 ? &first : &second;
    this->other = first.requests() == 1 ? &second : &first;
    if (events > 0) {
      this->Write(*this->silent, Head("silent"));
    }
    for (int id = 1; id <= events; ++id) {
      this->Write(*this->silent, Event(id));
      REQUIRE(
          this->Receives(*this->caller, "data: " + std::to_string(id) + "\n"));
    }
    this->runtime.Advance(milliseconds(events > 0 ? 650 : 800));
    REQUIRE(this->Gets(*this->other, 1));
  }

  static void Write(ScriptedServer& server, const std::string& bytes) {
    server.last().channel->Write(bytes);
  }
  bool Ends(ScriptedServer& server) {
    return this->Until([&] { return server.last().ended; });
  }
  /// Waits until the relay has read what the servers have written.
  void Settle() {
    this->Until([round = 0]() mutable { return ++round > 40; });
  }

  Peer* caller = nullptr;
  ScriptedServer* silent = nullptr;
  ScriptedServer* other = nullptr;
};

}  // namespace

TEST_CASE("A silent stream goes on if the other server doesn't take it",
          "[relay][streams][silent]") {
  SilentServerHarness harness(1);
  SECTION("but refuses it") { harness.Write(*harness.other, kRefusal); }
  SECTION("but fails") { harness.Write(*harness.other, kFailure); }
  SECTION("but breaks off") { harness.other->last().channel->Close(); }
  SECTION("but breaks off inside of its first event") {
    harness.Write(*harness.other, Head("other") + "4\r\nid: \r\n");
    harness.Settle();
    harness.other->last().channel->Close();
  }
  SECTION("but is silent too") { harness.runtime.Advance(milliseconds(900)); }
  harness.Settle();
  CHECK_FALSE(harness.caller->ended);
  harness.Write(*harness.silent, Event(2) + kEnd);
  CHECK(harness.Receives(*harness.caller, "data: 2\n\n\r\n" + kEnd));
}

TEST_CASE("A silent stream that goes on ends the request at the other server",
          "[relay][streams][silent]") {
  SilentServerHarness harness(1);
  SECTION("before that one has answered") {}
  SECTION("after the head of its answer") {
    harness.Write(*harness.other, Head("other"));
    harness.Settle();
  }
  harness.Write(*harness.silent, Event(2));
  CHECK(harness.Receives(*harness.caller, "data: 2"));
  CHECK(harness.Ends(*harness.other));
  harness.Write(*harness.silent, kEnd);
  CHECK(harness.Receives(*harness.caller, kEnd));
}

TEST_CASE("The first event of the other server ends the silent request",
          "[relay][streams][silent]") {
  SilentServerHarness harness(1);
  harness.Write(*harness.silent, "2\r\n:\n\r\n");
  harness.Settle();
  CHECK_FALSE(harness.silent->last().ended);
  harness.Write(*harness.other, Head("other") + Event(2));
  CHECK(harness.Receives(*harness.caller, "data: 2"));
  CHECK(harness.Ends(*harness.silent));
  harness.Write(*harness.other, kEnd);
  CHECK(harness.Receives(*harness.caller, kEnd));
}

TEST_CASE("A stream whose two servers break off does not look complete",
          "[relay][streams][silent]") {
  SilentServerHarness harness(1);
  harness.relay.retry_budget.SetLimits({0, 0, std::chrono::seconds(10)});
  SECTION("the silent one first") {
    harness.silent->last().channel->Close();
    harness.Settle();
    CHECK_FALSE(harness.caller->ended);
    harness.other->last().channel->Close();
  }
  SECTION("the other one first") {
    harness.other->last().channel->Close();
    harness.Settle();
    CHECK_FALSE(harness.caller->ended);
    harness.silent->last().channel->Close();
  }
  harness.Settle();
  harness.runtime.Advance(milliseconds(1600));
  CHECK(harness.Until([&] { return harness.caller->ended; }));
  CHECK(harness.caller->received.find(kEnd) == std::string::npos);
}

// Guards against doubled load: engines that are slow from load would have to
// read the prompts of all waiting streams twice.
TEST_CASE("A stream without an event waits at one server only",
          "[relay][streams][silent]") {
  SilentServerHarness harness(0);
  CHECK(harness.Ends(*harness.silent));
  harness.Write(*harness.other, Head("other") + Event(1) + kEnd);
  CHECK(harness.Receives(*harness.caller, "data: 1\n\n\r\n" + kEnd));
}

TEST_CASE("A plain request is answered by the server that answers first",
          "[relay][silent]") {
  const std::string answer =
      "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n"
      "Content-Length: 2\r\n\r\n";
  SilentServerHarness harness(0, false);
  SECTION("the silent one, after the other one has refused it") {
    harness.Write(*harness.other, kRefusal);
    harness.Settle();
    CHECK_FALSE(harness.caller->ended);
    harness.Write(*harness.silent, answer + "ok");
  }
  SECTION("the silent one, while the other one works") {
    harness.Write(*harness.silent, answer + "ok");
  }
  SECTION("the other one") {
    harness.Write(*harness.other, answer + "ok");
    CHECK(harness.Ends(*harness.silent));
  }
  SECTION("the other one, whose answer has begun") {
    harness.Write(*harness.other, answer + "o");
    harness.Settle();
    harness.Write(*harness.silent, answer);
    harness.Settle();
    harness.Write(*harness.other, "k");
  }
  CHECK(harness.Receives(*harness.caller, "\r\n\r\nok"));
}

// Guards against more runs than the route allows: the answer of the other
// server was not counted as a run.
TEST_CASE("A stream that goes on has used a try at the other server",
          "[relay][streams][silent]") {
  SilentServerHarness harness(1);
  harness.Write(*harness.other,
                "HTTP/1.1 400 Bad\r\nAttempt: a1\r\nSignature: s\r\n"
                "Content-Length: 0\r\n\r\n");
  harness.Settle();
  CHECK_FALSE(harness.caller->ended);
  harness.silent->last().channel->Close();
  CHECK(harness.Until([&] { return harness.caller->ended; }));
  CHECK(harness.other->requests() == 1);
}

TEST_CASE("A request at two servers ends at both", "[relay][streams][silent]") {
  SilentServerHarness harness(1);
  SECTION("when its caller disconnects") { harness.caller->channel->Close(); }
  SECTION("at its deadline") {
    harness.runtime.Advance(std::chrono::seconds(20));
  }
  CHECK(harness.Ends(*harness.silent));
  CHECK(harness.Ends(*harness.other));
  CHECK(harness.Until([&] {
    int in_flight = 0;
    harness.relay.servers.ForEach(
        [&in_flight](const Server& server) { in_flight += server.in_flight; });
    return in_flight == 0;
  }));
}

}  // namespace qp::relay::testing
