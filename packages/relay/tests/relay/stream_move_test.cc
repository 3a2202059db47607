#include <catch2/catch.hpp>
#include <set>
#include <utility>
#include <vector>

#include "foundation/wait.h"
#include "relay/idle_engines.h"
#include "relay/relay_harness.h"

namespace qp::relay::testing {

namespace {

/// Records inquiries and orders to move streams, and returns the results that
/// the test has set.
class MovingEngines : public IdleEngines {
 public:
  Task<Result<StalledRequests>> FindStalled(ServerRecord engine) override {
    this->inquired.push_back(engine.id);
    if (this->unresponsive) {
      co_return Error{ErrorCode::kUnknownEffect, "ask", engine.id, ""};
    }
    co_return this->stalled;
  }
  Task<Result<MoveResult>> MoveStream(std::string attempt_id,
                                      Chain chain) override {
    this->moved.push_back(std::move(attempt_id));
    this->chains.push_back(chain);
    if (this->clock != nullptr) {
      co_await SleepFor(*this->clock, milliseconds(100));
    }
    MoveResult result;
    result.outcome = this->outcome;
    for (const auto& stage : chain.stages) {
      if (this->full.contains(stage.server->record.id)) {
        result.outcome = OrderOutcome::kConflict;
        result.refuser = stage.server->record.address;
      }
    }
    co_return result;
  }

  std::vector<std::string> moved;
  std::vector<Chain> chains;
  std::vector<std::string> inquired;
  StalledRequests stalled;
  bool unresponsive = false;
  Clock* clock = nullptr;      ///< Moves take 100 ms if this is set.
  std::set<std::string> full;  ///< Ids of engines that refuse each move.
  OrderOutcome outcome = OrderOutcome::kAccepted;
};

std::string Event(int id, const std::string& data) {
  const std::string event =
      "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
  return size + event + "\r\n";
}

/// A stream that has sent one event. Its chain begins with the engine "first",
/// which holds the first half of the layers, and continues with some of
/// `others`.
struct Stream {
  Stream(RetryPolicy retry_policy,
         const std::vector<std::pair<std::string, LayerRange>>& others) {
    Route route = MakeRoute("/s/", retry_policy, "model");
    route.streaming = true;
    route.timeout = std::chrono::seconds(20);
    harness.Configure({route});
    harness.relay.engines = &engines;
    first = &harness.AddEngine("first", {0, 40});
    for (const auto& [id, layers] : others) {
      harness.AddEngine(id, layers);
    }
    caller = &harness.Call(RelayHarness::Request("/s/x"));
    REQUIRE(harness.Gets(*first, 1));
    first->last().channel->Write(
        "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n"
        "Transfer-Encoding: chunked\r\n\r\n" +
        Event(1, "a"));
    REQUIRE(harness.Receives(*caller, "data: a"));
  }

  RelayHarness harness;
  MovingEngines engines;
  ScriptedServer* first = nullptr;
  Peer* caller = nullptr;
};

/// A stream over the engine "first" and one second engine, which is either
/// "rest" or "spare". Both hold the same layers.
struct SpareEngineStream : Stream {
  explicit SpareEngineStream(RetryPolicy retry_policy = RetryPolicy::kResume)
      : Stream(retry_policy, {{"rest", {40, 80}}, {"spare", {40, 80}}}) {
    // Progress of other streams shows that the first engine works.
    harness.runtime.Advance(milliseconds(300));
    harness.relay.servers.Find("first")->RecordProgress(harness.relay.Now());
  }

  std::uint32_t InFlight(const std::string& id) {
    return harness.relay.servers.Find(id)->in_flight;
  }
};

}  // namespace

TEST_CASE("A silent stream is moved to another engine", "[relay][streams]") {
  SpareEngineStream stream;
  const std::string used = stream.InFlight("rest") == 1 ? "rest" : "spare";
  const std::string other = used == "rest" ? "spare" : "rest";
  stream.harness.runtime.Advance(milliseconds(400));
  REQUIRE(stream.harness.Until([&] { return !stream.engines.moved.empty(); }));
  CHECK(stream.engines.moved.front() == "a1");
  const Chain& chain = stream.engines.chains.front();
  REQUIRE(chain.stages.size() == 2);
  CHECK(chain.stages[0].server->record.id == "first");
  CHECK(chain.stages[1].server->record.id == other);
  // After the move, the load counts on the new engine and no longer on the old
  // one.
  REQUIRE(stream.harness.Until([&] { return stream.InFlight(used) == 0; }));
  CHECK(stream.InFlight(other) == 1);
  CHECK(stream.InFlight("first") == 1);
  stream.first->last().channel->Write(Event(2, "b") + "0\r\n\r\n");
  CHECK(stream.harness.Receives(*stream.caller, "0\r\n\r\n"));
  CHECK(stream.first->requests() == 1);
  CHECK(stream.InFlight(other) == 0);
}

TEST_CASE("A silent stream that must not run twice is moved as well",
          "[relay][streams]") {
  SpareEngineStream stream(RetryPolicy::kNever);
  stream.harness.runtime.Advance(milliseconds(400));
  REQUIRE(stream.harness.Until([&] { return !stream.engines.moved.empty(); }));
  stream.harness.runtime.Advance(milliseconds(1500));
  CHECK(stream.first->requests() == 1);
  CHECK_FALSE(stream.caller->ended);
}

TEST_CASE("A stream that cannot be moved is resumed", "[relay][streams]") {
  SpareEngineStream stream;
  SECTION("if the first engine refuses the order") {
    stream.engines.outcome = OrderOutcome::kConflict;
    stream.harness.runtime.Advance(milliseconds(400));
  }
  SECTION("if the stream stays silent") {
    stream.harness.runtime.Advance(milliseconds(400));
    REQUIRE(
        stream.harness.Until([&] { return !stream.engines.moved.empty(); }));
    stream.harness.runtime.Advance(milliseconds(800));
  }
  CHECK(stream.harness.Gets(*stream.first, 2));
  CHECK(stream.first->last().received.find("Last: 1") != std::string::npos);
  CHECK(stream.engines.moved.size() == 1);
}

TEST_CASE("A caller that disconnects during a move ends the stream",
          "[relay][streams]") {
  SpareEngineStream stream;
  stream.harness.runtime.Advance(milliseconds(400));
  stream.caller->channel->Close();
  CHECK(stream.harness.Until([&] { return stream.first->last().ended; }));
  stream.harness.runtime.Advance(milliseconds(2000));
  CHECK(stream.first->requests() == 1);
  CHECK(stream.InFlight("first") == 0);
}

// Guards against access to a destroyed exchange: a process continued after a
// freeze with the unread end of a stream in its socket, and the order to move
// the stream started after the exchange had been destroyed.
TEST_CASE("A stream that ends when its move is due is not moved",
          "[relay][exchange][streams][move]") {
  SpareEngineStream stream;
  auto& clock = stream.harness.runtime.clock();
  // The end of the stream and the move are both due when the clock advances,
  // before any handler has run.
  clock.Schedule(clock.Now() + milliseconds(600), [&stream] {
    stream.first->last().channel->Write(Event(2, "b") + "0\r\n\r\n");
  });
  stream.harness.runtime.Advance(milliseconds(800), milliseconds(800));
  CHECK(stream.harness.Receives(*stream.caller, "\r\n0\r\n\r\n"));
  CHECK(stream.engines.moved.empty());
}

namespace {

/// Sends `count` events with ids from `first` on, one every 50 ms.
void SendEvents(SpareEngineStream& stream, int first, int count) {
  for (int id = first; id < first + count; ++id) {
    stream.first->last().channel->Write(Event(id, "d" + std::to_string(id)));
    REQUIRE(stream.harness.Receives(*stream.caller, "d" + std::to_string(id)));
    stream.harness.runtime.Advance(milliseconds(50));
  }
}

void RecordOtherProgress(SpareEngineStream& stream,
                         const std::vector<std::string>& engines) {
  for (const auto& id : engines) {
    stream.harness.relay.servers.Find(id)->RecordProgress(
        stream.harness.relay.Now());
  }
}

}  // namespace

// Guards against a move that chooses the lost engine again: the engine counted
// as working if an event of another stream had come through it shortly after
// the last event of this stream.
TEST_CASE("A stream is not moved to the lost engine",
          "[relay][exchange][streams][move]") {
  SpareEngineStream stream;
  SendEvents(stream, 2, 12);
  const std::string lost = stream.InFlight("rest") == 1 ? "rest" : "spare";
  stream.harness.runtime.Advance(milliseconds(30));
  RecordOtherProgress(stream, {lost});
  for (int step = 0; step < 6; ++step) {
    RecordOtherProgress(stream, {"first"});
    stream.harness.runtime.Advance(milliseconds(100));
  }
  REQUIRE(stream.engines.moved.size() == 1);
  for (const auto& stage : stream.engines.chains.front().stages) {
    CHECK(stage.server->record.id != lost);
  }
}

// Guards against moves of working streams: after a freeze, a process treated
// all its streams as silent, although their events waited in its sockets.
TEST_CASE("A stalled process reads pending events before it moves streams",
          "[relay][exchange][streams][move]") {
  SpareEngineStream stream;
  SendEvents(stream, 2, 40);
  RecordOtherProgress(stream, {"first"});
  stream.harness.runtime.Advance(milliseconds(2000), milliseconds(2000));
  CHECK(stream.engines.moved.empty());
  stream.first->last().channel->Write(Event(42, "late"));
  CHECK(stream.harness.Receives(*stream.caller, "late"));
  stream.harness.runtime.Advance(milliseconds(50));
  CHECK(stream.engines.moved.empty());
}

// Guards against cancelled streams: all streams of a lost engine were moved to
// the same engine, which had memory for only a few of them. The others were
// cancelled and used up the retry budget.
TEST_CASE("A move that a full engine refuses is ordered with another engine",
          "[relay][exchange][streams][move]") {
  SpareEngineStream stream;
  const std::string used = stream.InFlight("rest") == 1 ? "rest" : "spare";
  const std::string other = used == "rest" ? "spare" : "rest";
  stream.engines.full = {other};
  SECTION("if there is another engine") {
    stream.harness.AddEngine("third", {40, 80});
    // The load makes `other` the first choice.
    stream.harness.relay.servers.Find("third")->in_flight = 3;
    stream.harness.runtime.Advance(milliseconds(400));
    REQUIRE(
        stream.harness.Until([&] { return stream.InFlight("third") == 4; }));
    REQUIRE(stream.engines.moved.size() == 2);
    CHECK(stream.engines.chains[0].stages[1].server->record.id == other);
    CHECK(stream.engines.chains[1].stages[1].server->record.id == "third");
    stream.first->last().channel->Write(Event(2, "b"));
    CHECK(stream.harness.Receives(*stream.caller, "data: b"));
    CHECK(stream.first->requests() == 1);
  }
  SECTION("otherwise the stream is resumed") {
    stream.harness.runtime.Advance(milliseconds(400));
    CHECK(stream.harness.Gets(*stream.first, 2));
    CHECK(stream.engines.moved.size() == 1);
  }
  // The refusal also keeps other requests away from the full engine.
  CHECK(stream.harness.relay.servers.Find(other)->IsRefusing(
      stream.harness.relay.Now()));
}

TEST_CASE("The number of orders for one move is limited",
          "[relay][exchange][streams][move]") {
  SpareEngineStream stream;
  for (int number = 0; number < 9; ++number) {
    const std::string id = "e" + std::to_string(number);
    stream.harness.AddEngine(id, {40, 80});
    stream.engines.full.insert(id);
  }
  stream.engines.full.insert({"rest", "spare"});
  stream.harness.runtime.Advance(milliseconds(400));
  CHECK(stream.harness.Gets(*stream.first, 2));
  CHECK(stream.engines.moved.size() == 4);
}

// Guards against an overloaded engine: streams that fell silent at the same
// time all chose the same engine, because their load was not counted there
// before the engine's first response.
TEST_CASE("The load of a moved stream is counted from the order on",
          "[relay][exchange][streams][move]") {
  SpareEngineStream stream;
  const std::string used = stream.InFlight("rest") == 1 ? "rest" : "spare";
  const std::string other = used == "rest" ? "spare" : "rest";
  stream.engines.clock = &stream.harness.runtime.clock();
  const bool taken = GENERATE(true, false);
  stream.engines.outcome =
      taken ? OrderOutcome::kAccepted : OrderOutcome::kRefused;
  stream.harness.runtime.Advance(milliseconds(350));
  REQUIRE(stream.engines.moved.size() == 1);
  CHECK(stream.InFlight(used) == 1);
  CHECK(stream.InFlight(other) == 1);
  CHECK(stream.InFlight("first") == 2);
  SECTION("until the order is answered") {
    stream.harness.runtime.Advance(milliseconds(100));
    if (!taken) {
      // The request is sent again, and the silent try stays open until then.
      REQUIRE(stream.harness.Gets(*stream.first, 2));
      CHECK(stream.InFlight("first") == 2);
      CHECK(stream.InFlight(used) + stream.InFlight(other) == 2);
      stream.first->last().channel->Write(
          "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n"
          "Transfer-Encoding: chunked\r\n\r\n" +
          Event(2, "b"));
      REQUIRE(stream.harness.Receives(*stream.caller, "data: b"));
    }
    REQUIRE(
        stream.harness.Until([&] { return stream.InFlight("first") == 1; }));
    CHECK(stream.InFlight(used) + stream.InFlight(other) == 1);
    CHECK((stream.first->requests() == 1) == taken);
  }
  SECTION("until the caller disconnects") {
    stream.caller->channel->Close();
    stream.harness.runtime.Advance(milliseconds(200));
    CHECK(stream.InFlight("first") == 0);
    CHECK(stream.InFlight(used) == 0);
    CHECK(stream.InFlight(other) == 0);
  }
}

TEST_CASE("A first engine that does not respond is treated as lost",
          "[relay][exchange][streams][move]") {
  SpareEngineStream stream;
  auto& another = stream.harness.AddEngine("another", {0, 40});
  stream.engines.unresponsive = true;
  stream.harness.runtime.Advance(milliseconds(400));
  CHECK(stream.harness.Gets(another, 1));
  CHECK(another.last().received.find("Last: 1") != std::string::npos);
  CHECK(stream.engines.moved.empty());
  const TimePoint now = stream.harness.relay.Now();
  CHECK(stream.harness.relay.servers.Find("first")->IsSuspect(now));
  for (const char* behind : {"rest", "spare"}) {
    CHECK_FALSE(stream.harness.relay.servers.Find(behind)->IsSuspect(now));
  }
}

namespace {

/// A stream over the engines "first", "second" and "third". The engine "spare"
/// holds the same layers as "second", and "last" holds the same as "third".
struct ThreeEngineStream : Stream {
  ThreeEngineStream()
      : Stream(RetryPolicy::kResume,
               {{"second", {40, 60}}, {"third", {60, 80}}}) {
    harness.AddEngine("spare", {40, 60});
    harness.AddEngine("last", {60, 80});
  }

  std::vector<std::string> OrderedChain(std::size_t number) const {
    std::vector<std::string> ids;
    for (const auto& stage : engines.chains.at(number).stages) {
      ids.push_back(stage.server->record.id);
    }
    return ids;
  }
  bool IsSuspect(const std::string& id) {
    return harness.relay.servers.Find(id)->IsSuspect(harness.relay.Now());
  }
};

}  // namespace

// Guards against replacing engines that work: when a stream fell silent, no
// event came through any engine of its chain, so all engines behind the first
// one were replaced.
TEST_CASE("Only the engine that the first engine waits for is replaced",
          "[relay][exchange][streams][move]") {
  ThreeEngineStream stream;
  stream.engines.stalled["a1"] =
      stream.harness.relay.servers.Find("third")->record.address;
  stream.harness.runtime.Advance(milliseconds(700));
  REQUIRE(stream.engines.moved.size() == 1);
  CHECK(stream.engines.inquired == std::vector<std::string>{"first"});
  CHECK(stream.OrderedChain(0) ==
        std::vector<std::string>{"first", "second", "last"});
  CHECK(stream.IsSuspect("third"));
  CHECK_FALSE(stream.IsSuspect("second"));
  CHECK_FALSE(stream.IsSuspect("first"));
}

// Two engines of a chain fail at once: the first engine reports one of them,
// and the refusal of the move names the other.
TEST_CASE("Both lost engines are replaced if a refused move names the second",
          "[relay][exchange][streams][move]") {
  ThreeEngineStream stream;
  stream.engines.stalled["a1"] =
      stream.harness.relay.servers.Find("second")->record.address;
  stream.engines.full = {"third"};
  stream.harness.runtime.Advance(milliseconds(700));
  REQUIRE(stream.engines.moved.size() == 2);
  CHECK(stream.OrderedChain(0) ==
        std::vector<std::string>{"first", "spare", "third"});
  CHECK(stream.OrderedChain(1) ==
        std::vector<std::string>{"first", "spare", "last"});
  CHECK(stream.first->requests() == 1);
}

// Guards against a next try over the same engines: when the new engine sent
// nothing either, the replaced engine stayed the only suspect.
TEST_CASE("New engines are suspected if the stream stays silent after its move",
          "[relay][exchange][streams][move]") {
  ThreeEngineStream stream;
  stream.engines.stalled["a1"] =
      stream.harness.relay.servers.Find("third")->record.address;
  stream.harness.runtime.Advance(milliseconds(700));
  REQUIRE(stream.engines.moved.size() == 1);
  stream.harness.runtime.Advance(milliseconds(800));
  CHECK(stream.harness.Gets(*stream.first, 2));
  CHECK(stream.IsSuspect("last"));
}

TEST_CASE("A paused first engine is not asked for stalled requests",
          "[relay][exchange][streams][move]") {
  SpareEngineStream stream;
  stream.harness.relay.servers.Find("first")->RecordPause(
      stream.harness.relay.Now(), std::chrono::seconds(5));
  stream.harness.runtime.Advance(milliseconds(400));
  REQUIRE(stream.harness.Until([&] { return !stream.engines.moved.empty(); }));
  CHECK(stream.engines.inquired.empty());
}

TEST_CASE("Questions and moves count against the first engine's limit",
          "[relay][exchange][streams][move][limit]") {
  SpareEngineStream stream;
  auto& relay = stream.harness.relay;
  relay.limits.SetProcesses("me", {"me"}, relay.Now());
  const ServerPtr first = relay.servers.Find("first");
  relay.limits.RecordLimit(*first, 1, relay.Now());
  SECTION("without room the engine gets neither") {
    stream.harness.runtime.Advance(milliseconds(400));
    CHECK(stream.engines.inquired.empty());
    CHECK(stream.engines.moved.empty());
  }
  SECTION("with room for one request it gets no second one") {
    stream.harness.runtime.Advance(milliseconds(100));
    first->request_limit.SetShare(10, relay.Now());
    stream.harness.runtime.Advance(milliseconds(150));
    first->request_limit.SetShare(0.01, relay.Now());
    stream.harness.runtime.Advance(milliseconds(150));
    REQUIRE(
        stream.harness.Until([&] { return !stream.engines.inquired.empty(); }));
    stream.harness.runtime.Settle();
    CHECK(stream.engines.moved.empty());
  }
}

}  // namespace qp::relay::testing
