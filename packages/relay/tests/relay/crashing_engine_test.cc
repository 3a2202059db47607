#include <catch2/catch.hpp>

#include "foundation/wait.h"
#include "relay/quarantine_store.h"
#include "relay/relay_harness.h"

namespace qp::relay::testing {

namespace {

Route StreamRoute() {
  Route route = MakeRoute("/s/", RetryPolicy::kResume, "model");
  route.streaming = true;
  route.timeout = std::chrono::seconds(20);
  return route;
}

std::string Chunk(const std::string& bytes) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  return size + bytes + "\r\n";
}

/// A whole stream of two events.
std::string Stream() {
  return "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n"
         "Transfer-Encoding: chunked\r\n\r\n" +
         Chunk("id: 1\ndata: a\n\n") + Chunk("id: 2\ndata: b\n\n") +
         "0\r\n\r\n";
}

/// Three engines that hold all layers.
class EngineHarness : public RelayHarness {
 public:
  EngineHarness() {
    this->Configure({StreamRoute()});
    for (const char* id : {"e1", "e2", "e3"}) {
      this->AddEngine(id, {0, 80});
    }
  }

  Peer& Send(const std::string& parts, const std::string& path = "/s/x") {
    return this->Call(Request(path, "Parts: " + parts + "\r\n"));
  }
  int Requests() const {
    int count = 0;
    for (const auto& server : this->servers) {
      count += server->requests();
    }
    return count;
  }
  /// Waits for the request number `count` and returns the engine that got it
  /// since the last call.
  ScriptedServer& Receiver(int count) {
    REQUIRE(this->Until([&] {
      this->Pause(1);
      return this->Requests() == count;
    }));
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
  /// Waits until the crash of an engine has been recorded for the part.
  bool IsSuspect(const std::string& part, std::size_t crashes) {
    return this->Until([&] {
      return this->relay.quarantine.MakeReport(part, this->relay.Now())
                 .crashes.size() == crashes;
    });
  }
  void Pause(int ms) { this->runtime.Advance(milliseconds(ms)); }

  /// Requests of each engine at the last call of Receiver.
  std::map<ScriptedServer*, int> seen;
};

/// Table with the items of one prefix, which can be out of service.
class ItemTable : public Table {
 public:
  Task<Result<std::optional<TableItem>>> Read(std::string) override {
    co_return std::optional<TableItem>();
  }
  Task<Result<std::vector<TableItem>>> Scan(std::string) override {
    if (this->down) {
      co_return Error{ErrorCode::kUnavailable, "scan", "", ""};
    }
    std::vector<TableItem> found;
    for (const auto& [key, value] : this->items) {
      found.push_back({key, value, 1});
    }
    co_return found;
  }
  Task<Result<std::vector<OperationResult>>> Transact(
      TransactMode, std::vector<TableOperation> operations) override {
    ++this->writes;
    if (this->down) {
      co_return Error{ErrorCode::kUnknownEffect, "write", "", ""};
    }
    for (const auto& operation : operations) {
      if (operation.put) {
        this->items[operation.key] = *operation.put;
      } else {
        this->items.erase(operation.key);
      }
    }
    co_return std::vector<OperationResult>(operations.size());
  }

  std::map<std::string, nlohmann::json> items;
  bool down = false;
  int writes = 0;
};

void Quarantine(PromptQuarantine& quarantine, const std::string& part,
                TimePoint now) {
  const std::vector<std::string> parts = {part};
  quarantine.RecordCrash(1, parts, now - milliseconds(400),
                         now - milliseconds(300));
  quarantine.RecordCrash(2, parts, now - milliseconds(200),
                         now - milliseconds(100));
  quarantine.CommitCrashes();
}

}  // namespace

TEST_CASE("A prompt part whose requests crash two engines reaches no third one",
          "[relay][quarantine]") {
  EngineHarness harness;
  Peer& caller = harness.Send("bad");
  ScriptedServer& first = harness.Receiver(1);
  // Without retry budget, another request is the trial of the part.
  harness.relay.retry_budget.SetLimits({0, 0, std::chrono::seconds(10)});
  harness.Pause(50);
  first.Crash();
  CHECK(harness.Receives(caller, "HTTP/1.1 502"));
  REQUIRE(harness.IsSuspect("bad", 1));
  harness.relay.retry_budget.SetLimits({0.2, 100, std::chrono::seconds(10)});
  Peer& trial = harness.Send("bad", "/s/y");
  ScriptedServer& second = harness.Receiver(2);
  harness.Pause(50);
  second.Crash();
  CHECK(harness.Receives(trial, "HTTP/1.1 502"));
  REQUIRE(harness.IsSuspect("bad", 2));

  Peer& repeat = harness.Send("bad,other", "/s/z");
  CHECK(harness.Receives(repeat, "HTTP/1.1 503"));
  CHECK(repeat.received.find("Retry-After: ") != std::string::npos);
  CHECK(harness.Requests() == 2);

  Peer& sound = harness.Send("other", "/s/z");
  harness.Receiver(3).last().channel->Write(Stream());
  CHECK(harness.Receives(sound, "data: b"));
}

// Guards against evidence that was cleared by the events of several tries, each
// of which crashed its engine after the first.
TEST_CASE("An engine that crashes after one event of each try counts",
          "[relay][quarantine]") {
  EngineHarness harness;
  harness.Send("bad");
  for (int number = 1; number <= 2; ++number) {
    ScriptedServer& engine = harness.Receiver(number);
    engine.last().channel->Write(
        "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n"
        "Transfer-Encoding: chunked\r\n\r\n" +
        Chunk("id: " + std::to_string(number) + "\ndata: a\n\n"));
    harness.Pause(50);
    harness.runtime.Settle();
    engine.Crash();
    REQUIRE(harness.IsSuspect("bad", static_cast<std::size_t>(number)));
    harness.Pause(10);
  }
}

// Guards against sound requests that were rejected for a part that they share
// with the one request that crashes engines.
TEST_CASE("A part is not blamed for the crashes of a single request",
          "[relay][quarantine]") {
  EngineHarness harness;
  Peer& caller = harness.Send("shared");
  ScriptedServer& first = harness.Receiver(1);
  harness.Pause(50);
  first.Crash();
  ScriptedServer& second = harness.Receiver(2);
  REQUIRE(harness.IsSuspect("shared", 1));
  harness.Pause(50);
  second.Crash();
  CHECK(harness.Receives(caller, "HTTP/1.1 502"));
  REQUIRE(harness.IsSuspect("shared", 2));
  CHECK(harness.Receives(harness.Send("shared"), "HTTP/1.1 503"));
  Peer& sound = harness.Send("shared", "/s/y");
  harness.Receiver(3).last().channel->Write(Stream());
  CHECK(harness.Receives(sound, "data: b"));
  CHECK(harness.Receives(harness.Send("shared"), "HTTP/1.1 503"));
  CHECK(harness.Requests() == 3);
}

TEST_CASE("An engine that crashes after the head of an unframed stream counts",
          "[relay][quarantine]") {
  EngineHarness harness;
  harness.Send("bad");
  ScriptedServer& first = harness.Receiver(1);
  first.last().channel->Write(
      "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n\r\n");
  harness.Pause(50);
  first.Crash();
  CHECK(harness.IsSuspect("bad", 1));
}

TEST_CASE("A live engine that breaks connections makes no prompt part suspect",
          "[relay][quarantine]") {
  EngineHarness harness;
  Peer& caller = harness.Send("sound");
  for (int count = 1; count <= 2; ++count) {
    ScriptedServer& receiver = harness.Receiver(count);
    harness.Pause(50);
    receiver.last().channel->Close();
  }
  CHECK(harness.Receives(caller, "HTTP/1.1 502"));
  harness.Send("sound");
  harness.Receiver(3);
  CHECK(harness.relay.quarantine.records_size() == 0);
}

TEST_CASE("A request with a suspect prompt part waits for the part's trial",
          "[relay][quarantine]") {
  EngineHarness harness;
  harness.Send("rare");
  ScriptedServer& first = harness.Receiver(1);
  harness.Pause(50);
  first.Crash();
  ScriptedServer& trial = harness.Receiver(2);
  REQUIRE(harness.IsSuspect("rare", 1));
  Peer& waiting = harness.Send("rare,other");
  harness.Until([] { return false; });
  harness.Pause(100);
  CHECK(harness.Requests() == 2);
  SECTION("and is sent when the trial begins to respond") {
    trial.last().channel->Write(Stream());
    REQUIRE(harness.Until([&] {
      return harness.relay.quarantine.MakeReport("rare", {}).crashes.empty();
    }));
    harness.Pause(30);
    harness.Receiver(3).last().channel->Write(Stream());
    CHECK(harness.Receives(waiting, "data: b"));
  }
  SECTION("and is rejected when the trial crashes its engine") {
    trial.Crash();
    REQUIRE(harness.IsSuspect("rare", 2));
    harness.Pause(30);
    CHECK(harness.Receives(waiting, "HTTP/1.1 503"));
    CHECK(harness.Requests() == 2);
  }
}

TEST_CASE("A failed trial of a quarantined part is not repeated at once",
          "[relay][quarantine]") {
  EngineHarness harness;
  Quarantine(harness.relay.quarantine, "bad", harness.relay.Now());
  CHECK(harness.Receives(harness.Send("bad"), "HTTP/1.1 503"));
  harness.runtime.Advance(std::chrono::seconds(31), milliseconds(100));
  Peer& caller = harness.Send("bad");
  ScriptedServer& trial = harness.Receiver(1);
  harness.Pause(50);
  trial.Crash();
  REQUIRE(harness.IsSuspect("bad", 3));
  harness.Pause(30);
  CHECK(harness.Receives(caller, "HTTP/1.1 502"));
  CHECK(harness.Requests() == 1);
}

TEST_CASE("A request is taken back from an engine when its part is quarantined",
          "[relay][quarantine]") {
  EngineHarness harness;
  Peer& caller = harness.Send("bad");
  ScriptedServer& receiver = harness.Receiver(1);
  SECTION("after the crashes that quarantined it") {}
  SECTION("before them") { harness.Pause(500); }
  Quarantine(harness.relay.quarantine, "bad", harness.relay.Now());
  CHECK(harness.Receives(caller, "HTTP/1.1 502"));
  CHECK(harness.Until([&] { return receiver.last().ended; }));
  CHECK(harness.Requests() == 1);
}

TEST_CASE("A stream that has begun makes no prompt part suspect",
          "[relay][quarantine]") {
  EngineHarness harness;
  Peer& caller = harness.Send("sound");
  ScriptedServer& receiver = harness.Receiver(1);
  receiver.last().channel->Write(Stream().substr(0, Stream().size() - 5));
  REQUIRE(harness.Receives(caller, "data: b"));
  receiver.Crash();
  harness.Receiver(2);
  CHECK(harness.relay.quarantine.records_size() == 0);
}

TEST_CASE("Quarantined prompt parts are stored for processes that start later",
          "[relay][quarantine]") {
  RelayHarness before;
  ItemTable table;
  QuarantineStore writer(before.relay, before.runtime.clock(), table);
  Quarantine(before.relay.quarantine, "bad", before.relay.Now());
  SECTION("and read at the start") {
    writer.Save("bad");
    before.runtime.Settle();
  }
  SECTION("also if the table does not answer at first") {
    table.down = true;
    writer.Save("bad");
    before.runtime.Settle();
    table.down = false;
    before.runtime.Advance(QuarantineStore::kRetryInterval * 2);
  }
  REQUIRE(table.items.size() == 1);

  RelayHarness after;
  QuarantineStore reader(after.relay, after.runtime.clock(), table);
  table.down = true;
  asio::co_spawn(after.runtime.io(), reader.LoadAtStart(), asio::detached);
  after.runtime.Settle();
  CHECK_FALSE(reader.loaded());
  table.down = false;
  table.items["prompt_part/broken"] = {{"crashes", "none"}};
  after.runtime.Advance(QuarantineStore::kRetryInterval * 2);
  CHECK(reader.loaded());
  CHECK(after.relay.quarantine.IsQuarantined("bad"));
  CHECK(after.relay.quarantine.records_size() == 1);

  after.relay.quarantine.RecordStart(std::vector<std::string>{"bad"},
                                     after.relay.Now());
  reader.Save("bad");
  after.runtime.Settle();
  CHECK_FALSE(table.items.contains("prompt_part/bad"));
}

}  // namespace qp::relay::testing
