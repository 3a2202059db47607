#include <catch2/catch.hpp>

#include "relay/relay_harness.h"
#include "relay/request_fingerprint.h"

namespace qp::relay::testing {

namespace {

std::string Fingerprint(int number) {
  char id[32];
  std::snprintf(id, sizeof(id), "request-%016x", number);
  return id;
}

using Keys = std::vector<std::string>;

constexpr std::string_view kDeadly = "deadly";

/// Five engines or plain servers behind one route.
class ServiceHarness : public RelayHarness {
 public:
  ServiceHarness(bool engines, RetryPolicy policy) : has_engines(engines) {
    Route route = MakeRoute("/s/", policy, engines ? "model" : "ledger");
    route.streaming = engines;
    route.timeout = std::chrono::seconds(20);
    this->Configure({route});
    for (const char* id : {"s1", "s2", "s3", "s4", "s5"}) {
      if (engines) {
        this->AddEngine(id, {0, 80});
      } else {
        this->AddServer(id);
      }
    }
  }

  /// All requests of engines have the part "common".
  Peer& Send(std::string_view body) {
    return this->Call(
        "POST /s/x HTTP/1.1\r\nHost: shop.example\r\nAttempt: a1\r\n"
        "Key: k1\r\n" +
        std::string(this->has_engines ? "Parts: common\r\n" : "") +
        "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
        std::string(body));
  }
  int Requests() const {
    int count = 0;
    for (const auto& server : this->servers) {
      count += server->requests();
    }
    return count;
  }
  /// Waits for one more request than there were at the last call and returns
  /// the server that has got it.
  ScriptedServer& NextReceiver() {
    ++this->expected;
    REQUIRE(this->Until([&] {
      this->Pause(1);
      return this->Requests() >= this->expected;
    }));
    REQUIRE(this->Requests() == this->expected);
    ScriptedServer* receiver = nullptr;
    for (const auto& server : this->servers) {
      if (server->requests() >
          std::exchange(this->seen[server.get()], server->requests())) {
        receiver = server.get();
      }
    }
    REQUIRE(receiver != nullptr);
    return *receiver;
  }
  /// Answers the request with this body.
  void Answer(ScriptedServer& server, std::string_view body,
              const std::string& status = "200 OK") {
    const std::string head =
        "HTTP/1.1 " + status + "\r\nAttempt: a1\r\nSignature: s\r\n";
    const std::string events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    for (const auto& peer : server.peers) {
      if (peer->received.ends_with("\r\n\r\n" + std::string(body))) {
        const std::string& content = this->has_engines ? events : "done";
        peer->channel->Write(
            head + "Content-Length: " + std::to_string(content.size()) +
            "\r\n\r\n" + content);
        return;
      }
    }
    FAIL("no request with this body");
  }
  /// Sends a request with another body and answers it.
  void ServeSound() {
    const std::string body = "sound" + std::to_string(this->sound_count++);
    Peer& caller = this->Send(body);
    this->Answer(this->NextReceiver(), body);
    CHECK(this->Receives(caller, this->has_engines ? "data: b" : "done"));
  }
  static std::string FingerprintOf(std::string_view body) {
    http::Request request;
    request.method(http::Verb::post);
    request.target("/s/x");
    request.body() = body;
    return MakeRequestFingerprint("w1", request);
  }
  std::size_t Crashes(std::string_view body) {
    return this->relay.quarantine
        .MakeReport(FingerprintOf(body), this->relay.Now())
        .crashes.size();
  }
  bool HasCrashed(std::string_view body, std::size_t crashes) {
    return this->Until([&] { return this->Crashes(body) == crashes; });
  }
  void Pause(int ms) { this->runtime.Advance(milliseconds(ms)); }

  bool has_engines;
  int expected = 0;
  int sound_count = 0;
  std::map<ScriptedServer*, int> seen;
};

/// Keeps the fields of the last event.
class LastEvent : public EventSink {
 public:
  void Record(EventId id, std::vector<EventField> fields) override {
    this->last_id = id;
    this->last_fields = std::move(fields);
  }
  std::string Field(std::string_view name) const {
    for (const auto& field : this->last_fields) {
      if (field.name == name) {
        return field.value;
      }
    }
    return {};
  }

  std::optional<EventId> last_id;
  std::vector<EventField> last_fields;
};

}  // namespace

TEST_CASE("The line of a crash lists the requests that waited on the server",
          "[relay][quarantine]") {
  RelayHarness harness;
  LastEvent events;
  CrashProbe probe(harness.runtime.io(), harness.relay.timers, events,
                   harness.relay.quarantine);
  harness.AddServer("s1").Crash();
  const auto server = harness.relay.servers.Find("s1");
  for (int number = 0; number < 40; ++number) {
    probe.ReportBroken(server, {Fingerprint(number), "part"},
                       harness.relay.Now());
  }
  REQUIRE(harness.Until([&] { return events.last_id.has_value(); }));
  CHECK(events.last_id == EventId::kCrashProbed);
  CHECK(events.Field("crashed") == "true");
  CHECK(events.Field("parts") == "part");
  const std::string listed = events.Field("fingerprints");
  CHECK(listed.find(Fingerprint(0) + " " + Fingerprint(1)) == 0);
  CHECK(listed.find(Fingerprint(31) + " +8") != std::string::npos);
}

TEST_CASE("A request that crashes two servers reaches no third one",
          "[relay][quarantine]") {
  const bool engines = GENERATE(true, false);
  ServiceHarness harness(engines,
                         engines ? RetryPolicy::kResume : RetryPolicy::kAlways);
  harness.ServeSound();
  Peer& caller = harness.Send(kDeadly);
  ScriptedServer& first = harness.NextReceiver();
  harness.Pause(50);
  first.Crash();
  ScriptedServer& second = harness.NextReceiver();
  CHECK(harness.HasCrashed(kDeadly, 1));
  harness.ServeSound();
  harness.Pause(50);
  second.Crash();
  CHECK(harness.Receives(caller, "HTTP/1.1 502"));
  CHECK(harness.HasCrashed(kDeadly, 2));
  harness.ServeSound();

  Peer& repeat = harness.Send(kDeadly);
  CHECK(harness.Receives(repeat, "HTTP/1.1 503"));
  CHECK(repeat.received.find("Retry-After: ") != std::string::npos);
  CHECK(harness.Requests() == harness.expected);
  harness.ServeSound();
}

TEST_CASE("A request that must not run twice is rejected after two crashes",
          "[relay][quarantine]") {
  ServiceHarness harness(false, RetryPolicy::kNever);
  for (std::size_t crashes = 1; crashes <= 2; ++crashes) {
    Peer& caller = harness.Send(kDeadly);
    ScriptedServer& server = harness.NextReceiver();
    harness.Pause(50);
    server.Crash();
    CHECK(harness.Receives(caller, "HTTP/1.1 502"));
    CHECK(harness.HasCrashed(kDeadly, crashes));
    harness.ServeSound();
  }
  CHECK(harness.Receives(harness.Send(kDeadly), "HTTP/1.1 503"));
  CHECK(harness.Requests() == harness.expected);
}

TEST_CASE("A signed error shows that a request does not crash servers",
          "[relay][quarantine]") {
  ServiceHarness harness(false, RetryPolicy::kAlways);
  Peer& caller = harness.Send("odd");
  ScriptedServer& first = harness.NextReceiver();
  harness.Pause(50);
  first.Crash();
  ScriptedServer& second = harness.NextReceiver();
  CHECK(harness.HasCrashed("odd", 1));
  harness.Answer(second, "odd", "500 Error");
  CHECK(harness.Receives(caller, "HTTP/1.1 500"));
  CHECK(harness.Crashes("odd") == 0);
}

TEST_CASE("A live server that breaks a connection delays the retry by no timer",
          "[relay][quarantine]") {
  ServiceHarness harness(false, RetryPolicy::kAlways);
  harness.Send("sound");
  harness.NextReceiver().last().channel->Close();
  CHECK(harness.Until([&] { return harness.Requests() == 2; }));
  CHECK(harness.relay.quarantine.records_size() == 0);
}

TEST_CASE("A crash probe holds up only requests that may have caused the crash",
          "[relay][quarantine]") {
  ServiceHarness harness(true, RetryPolicy::kResume);
  harness.ServeSound();
  // A server that accepts nothing keeps the probe from ending.
  auto& io = harness.runtime.io();
  asio::ip::tcp::acceptor full(io, asio::ip::tcp::v4());
  full.bind({asio::ip::address_v4::loopback(), 0});
  full.listen(0);
  asio::ip::tcp::socket one(io);
  asio::ip::tcp::socket other(io);
  for (auto* socket : {&one, &other}) {
    socket->async_connect(full.local_endpoint(),
                          [](const boost::system::error_code&) {});
  }
  auto server = std::make_shared<Server>();
  server->record = MakeRecord("full", "model");
  server->record.address =
      "127.0.0.1:" + std::to_string(full.local_endpoint().port());
  harness.runtime.Settle();
  const Keys keys = {ServiceHarness::FingerprintOf(kDeadly), "common"};
  harness.relay.crash_probe.ReportBroken(server, keys, harness.relay.Now());
  harness.Send(kDeadly);
  harness.ServeSound();
  CHECK(harness.relay.crash_probe.IsProbing(keys));
  harness.Pause(400);
  harness.NextReceiver();
}

TEST_CASE("A crash of a server blocks no request that waited there",
          "[relay][quarantine]") {
  ServiceHarness harness(false, RetryPolicy::kAlways);
  std::vector<Peer*> callers;
  callers.reserve(12);
  for (int number = 0; number < 12; ++number) {
    callers.push_back(&harness.Send("waiting" + std::to_string(number)));
  }
  REQUIRE(harness.Until([&] { return harness.Requests() == 12; }));
  ScriptedServer& crashed = *harness.servers.front();
  const int waiting = crashed.requests();
  REQUIRE(waiting > 0);
  harness.Pause(50);
  crashed.Crash();
  REQUIRE(harness.Until([&] {
    harness.Pause(1);
    return harness.Requests() == 12 + waiting;
  }));
  for (const auto& server : harness.servers) {
    for (const auto& peer : server->peers) {
      peer->channel->Write(
          "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n"
          "Content-Length: 4\r\n\r\ndone");
    }
  }
  for (Peer* caller : callers) {
    CHECK(harness.Receives(*caller, "done"));
  }
}

}  // namespace qp::relay::testing
