#include <catch2/catch.hpp>
#include <set>
#include <utility>
#include <vector>

#include "foundation/wait.h"
#include "relay/idle_engines.h"
#include "relay/relay_harness.h"

namespace qp::relay::testing {

namespace {

/// Takes orders to move streams, and gives the answer that the test has set.
class MovingEngines : public IdleEngines {
 public:
  Task<Result<StalledRequests>> FindStalled(ServerRecord engine) override {
    this->asked.push_back(engine.id);
    if (this->mute) {
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
  std::vector<std::string> asked;
  StalledRequests stalled;
  bool mute = false;
  Clock* clock = nullptr;      ///< Answers after 100 ms if set.
  std::set<std::string> full;  ///< Engines without room for a moved stream.
  OrderOutcome outcome = OrderOutcome::kAccepted;
};

std::string Event(int id, const std::string& data) {
  const std::string event =
      "id: " + std::to_string(id) + "\ndata: " + data + "\n\n";
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
  return size + event + "\r\n";
}

/// A stream over the engine "first" and others, which has sent one event.
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

/// One of the two others has a part in the stream.
struct World : Stream {
  explicit World(RetryPolicy retry_policy = RetryPolicy::kResume)
      : Stream(retry_policy, {{"rest", {40, 80}}, {"spare", {40, 80}}}) {
    // Others' streams go on through the first engine.
    harness.runtime.Advance(milliseconds(300));
    harness.relay.servers.Find("first")->RecordProgress(harness.relay.Now());
  }

  std::uint32_t InFlight(const std::string& id) {
    return harness.relay.servers.Find(id)->in_flight;
  }
};

}  // namespace

TEST_CASE("A stream that falls silent goes on over another engine",
          "[relay][streams]") {
  World world;
  const std::string used = world.InFlight("rest") == 1 ? "rest" : "spare";
  const std::string other = used == "rest" ? "spare" : "rest";
  world.harness.runtime.Advance(milliseconds(400));
  REQUIRE(world.harness.Until([&] { return !world.engines.moved.empty(); }));
  CHECK(world.engines.moved.front() == "a1");
  const Chain& chain = world.engines.chains.front();
  REQUIRE(chain.stages.size() == 2);
  CHECK(chain.stages[0].server->record.id == "first");
  CHECK(chain.stages[1].server->record.id == other);
  // The load is counted where the stream runs now.
  REQUIRE(world.harness.Until([&] { return world.InFlight(used) == 0; }));
  CHECK(world.InFlight(other) == 1);
  CHECK(world.InFlight("first") == 1);
  world.first->last().channel->Write(Event(2, "b") + "0\r\n\r\n");
  CHECK(world.harness.Receives(*world.caller, "0\r\n\r\n"));
  CHECK(world.first->requests() == 1);
  CHECK(world.InFlight(other) == 0);
}

TEST_CASE("A stream that may not run twice is moved as well",
          "[relay][streams]") {
  World world(RetryPolicy::kNever);
  world.harness.runtime.Advance(milliseconds(400));
  REQUIRE(world.harness.Until([&] { return !world.engines.moved.empty(); }));
  world.harness.runtime.Advance(milliseconds(1500));
  CHECK(world.first->requests() == 1);
  CHECK_FALSE(world.caller->ended);
}

TEST_CASE("A stream that can't be moved is resumed", "[relay][streams]") {
  World world;
  SECTION("if the first engine refuses the order") {
    world.engines.outcome = OrderOutcome::kConflict;
    world.harness.runtime.Advance(milliseconds(400));
  }
  SECTION("if it stays silent") {
    world.harness.runtime.Advance(milliseconds(400));
    REQUIRE(world.harness.Until([&] { return !world.engines.moved.empty(); }));
    world.harness.runtime.Advance(milliseconds(800));
  }
  CHECK(world.harness.Gets(*world.first, 2));
  CHECK(world.first->last().received.find("Last: 1") != std::string::npos);
  CHECK(world.engines.moved.size() == 1);
}

TEST_CASE("A caller who leaves while a stream is moved ends it",
          "[relay][streams]") {
  World world;
  world.harness.runtime.Advance(milliseconds(400));
  world.caller->channel->Close();
  CHECK(world.harness.Until([&] { return world.first->last().ended; }));
  world.harness.runtime.Advance(milliseconds(2000));
  CHECK(world.first->requests() == 1);
  CHECK(world.InFlight("first") == 0);
}

// A process that had been frozen woke up with the end of a stream in its
// socket: the order to move the stream then began after the exchange was
// destroyed.
TEST_CASE("A stream that ends as it is to be moved is left alone",
          "[relay][exchange][streams][move]") {
  World world;
  auto& clock = world.harness.runtime.clock();
  // Both are due when the clock moves, before any handler has run.
  clock.Schedule(clock.Now() + milliseconds(600), [&world] {
    world.first->last().channel->Write(Event(2, "b") + "0\r\n\r\n");
  });
  world.harness.runtime.Advance(milliseconds(800), milliseconds(800));
  CHECK(world.harness.Receives(*world.caller, "\r\n0\r\n\r\n"));
  CHECK(world.engines.moved.empty());
}

namespace {

/// Lets the stream send events every 50 ms, the next of them number `first`.
void SendSteadily(World& world, int first, int count) {
  for (int id = first; id < first + count; ++id) {
    world.first->last().channel->Write(Event(id, "d" + std::to_string(id)));
    REQUIRE(world.harness.Receives(*world.caller, "d" + std::to_string(id)));
    world.harness.runtime.Advance(milliseconds(50));
  }
}

void NoteOthers(World& world, const std::vector<std::string>& engines) {
  for (const auto& id : engines) {
    world.harness.relay.servers.Find(id)->RecordProgress(
        world.harness.relay.Now());
  }
}

}  // namespace

// An engine counted as sound if another stream's event had come through it a
// little after this stream's last one, and the move chose it again.
TEST_CASE("A stream is not moved to the engine that was lost",
          "[relay][exchange][streams][move]") {
  World world;
  SendSteadily(world, 2, 12);
  const std::string lost = world.InFlight("rest") == 1 ? "rest" : "spare";
  world.harness.runtime.Advance(milliseconds(30));
  NoteOthers(world, {lost});
  for (int step = 0; step < 6; ++step) {
    NoteOthers(world, {"first"});
    world.harness.runtime.Advance(milliseconds(100));
  }
  REQUIRE(world.engines.moved.size() == 1);
  for (const auto& stage : world.engines.chains.front().stages) {
    CHECK(stage.server->record.id != lost);
  }
}

// A process that woke from a freeze took all its streams for silent.
TEST_CASE("A process that was held up reads before it judges",
          "[relay][exchange][streams][move]") {
  World world;
  SendSteadily(world, 2, 40);
  NoteOthers(world, {"first"});
  world.harness.runtime.Advance(milliseconds(2000), milliseconds(2000));
  CHECK(world.engines.moved.empty());
  world.first->last().channel->Write(Event(42, "late"));
  CHECK(world.harness.Receives(*world.caller, "late"));
  world.harness.runtime.Advance(milliseconds(50));
  CHECK(world.engines.moved.empty());
}

// All streams of a lost engine were ordered to the same one, which had room for
// a few; the others were cancelled and used up the retry budget.
TEST_CASE("A move that a full engine refuses is ordered over another one",
          "[relay][exchange][streams][move]") {
  World world;
  const std::string used = world.InFlight("rest") == 1 ? "rest" : "spare";
  const std::string other = used == "rest" ? "spare" : "rest";
  world.engines.full = {other};
  SECTION("if there is one") {
    world.harness.AddEngine("third", {40, 80});
    // The other one is the better choice.
    world.harness.relay.servers.Find("third")->in_flight = 3;
    world.harness.runtime.Advance(milliseconds(400));
    REQUIRE(world.harness.Until([&] { return world.InFlight("third") == 4; }));
    REQUIRE(world.engines.moved.size() == 2);
    CHECK(world.engines.chains[0].stages[1].server->record.id == other);
    CHECK(world.engines.chains[1].stages[1].server->record.id == "third");
    world.first->last().channel->Write(Event(2, "b"));
    CHECK(world.harness.Receives(*world.caller, "data: b"));
    CHECK(world.first->requests() == 1);
  }
  SECTION("and if there is none the stream is resumed") {
    world.harness.runtime.Advance(milliseconds(400));
    CHECK(world.harness.Gets(*world.first, 2));
    CHECK(world.engines.moved.size() == 1);
  }
  // No other request is sent there at once, and nothing is counted there.
  CHECK(world.harness.relay.servers.Find(other)->IsRefusing(
      world.harness.relay.Now()));
}

TEST_CASE("Moves that are refused again and again end",
          "[relay][exchange][streams][move]") {
  World world;
  for (int number = 0; number < 9; ++number) {
    const std::string id = "e" + std::to_string(number);
    world.harness.AddEngine(id, {40, 80});
    world.engines.full.insert(id);
  }
  world.engines.full.insert({"rest", "spare"});
  world.harness.runtime.Advance(milliseconds(400));
  CHECK(world.harness.Gets(*world.first, 2));
  CHECK(world.engines.moved.size() == 4);
}

// Streams that fell silent together all chose the same engine, as nothing was
// counted there before its first answer.
TEST_CASE("The load of a moved stream counts from the order on",
          "[relay][exchange][streams][move]") {
  World world;
  const std::string used = world.InFlight("rest") == 1 ? "rest" : "spare";
  const std::string other = used == "rest" ? "spare" : "rest";
  world.engines.clock = &world.harness.runtime.clock();
  const bool taken = GENERATE(true, false);
  world.engines.outcome =
      taken ? OrderOutcome::kAccepted : OrderOutcome::kRefused;
  world.harness.runtime.Advance(milliseconds(350));
  REQUIRE(world.engines.moved.size() == 1);
  CHECK(world.InFlight(used) == 1);
  CHECK(world.InFlight(other) == 1);
  CHECK(world.InFlight("first") == 2);
  SECTION("until it is answered") {
    world.harness.runtime.Advance(milliseconds(100));
    REQUIRE(world.harness.Until([&] { return world.InFlight("first") == 1; }));
    CHECK(world.InFlight(used) + world.InFlight(other) == 1);
    CHECK((world.first->requests() == 1) == taken);
  }
  SECTION("until the caller leaves") {
    world.caller->channel->Close();
    world.harness.runtime.Advance(milliseconds(200));
    CHECK(world.InFlight("first") == 0);
    CHECK(world.InFlight(used) == 0);
    CHECK(world.InFlight(other) == 0);
  }
}

TEST_CASE("A first engine that does not answer is lost itself",
          "[relay][exchange][streams][move]") {
  World world;
  auto& another = world.harness.AddEngine("another", {0, 40});
  world.engines.mute = true;
  world.harness.runtime.Advance(milliseconds(400));
  CHECK(world.harness.Gets(another, 1));
  CHECK(another.last().received.find("Last: 1") != std::string::npos);
  CHECK(world.engines.moved.empty());
  const TimePoint now = world.harness.relay.Now();
  CHECK(world.harness.relay.servers.Find("first")->IsSuspect(now));
  for (const char* behind : {"rest", "spare"}) {
    CHECK_FALSE(world.harness.relay.servers.Find(behind)->IsSuspect(now));
  }
}

namespace {

/// The stream runs over "first", "second" and "third"; there is one more engine
/// for the layers of each of the last two.
struct LongChain : Stream {
  LongChain()
      : Stream(RetryPolicy::kResume,
               {{"second", {40, 60}}, {"third", {60, 80}}}) {
    harness.AddEngine("spare", {40, 60});
    harness.AddEngine("last", {60, 80});
  }

  std::vector<std::string> Ordered(std::size_t number) const {
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

// Nothing came through any engine of the chain, so all of them were given up.
TEST_CASE("Only the engine that the first one waits for is replaced",
          "[relay][exchange][streams][move]") {
  LongChain world;
  world.engines.stalled["a1"] =
      world.harness.relay.servers.Find("third")->record.address;
  world.harness.runtime.Advance(milliseconds(700));
  REQUIRE(world.engines.moved.size() == 1);
  CHECK(world.engines.asked == std::vector<std::string>{"first"});
  CHECK(world.Ordered(0) ==
        std::vector<std::string>{"first", "second", "last"});
  CHECK(world.IsSuspect("third"));
  CHECK_FALSE(world.IsSuspect("second"));
  CHECK_FALSE(world.IsSuspect("first"));
}

// Two engines of a chain died at once: the first names one, the refusal of the
// move the other.
TEST_CASE("A refusal that names another engine of the chain replaces both",
          "[relay][exchange][streams][move]") {
  LongChain world;
  world.engines.stalled["a1"] =
      world.harness.relay.servers.Find("second")->record.address;
  world.engines.full = {"third"};
  world.harness.runtime.Advance(milliseconds(700));
  REQUIRE(world.engines.moved.size() == 2);
  CHECK(world.Ordered(0) ==
        std::vector<std::string>{"first", "spare", "third"});
  CHECK(world.Ordered(1) == std::vector<std::string>{"first", "spare", "last"});
  CHECK(world.first->requests() == 1);
}

// The engine that was replaced was still the only one in question when the new
// one sent nothing either, and the next try ran over the same engines.
TEST_CASE("A stream that stays silent after its move doubts the new engines",
          "[relay][exchange][streams][move]") {
  LongChain world;
  world.engines.stalled["a1"] =
      world.harness.relay.servers.Find("third")->record.address;
  world.harness.runtime.Advance(milliseconds(700));
  REQUIRE(world.engines.moved.size() == 1);
  world.harness.runtime.Advance(milliseconds(800));
  CHECK(world.harness.Gets(*world.first, 2));
  CHECK(world.IsSuspect("last"));
}

TEST_CASE("A first engine that has asked for a pause is not asked",
          "[relay][exchange][streams][move]") {
  World world;
  world.harness.relay.servers.Find("first")->RecordPause(
      world.harness.relay.Now(), std::chrono::seconds(5));
  world.harness.runtime.Advance(milliseconds(400));
  REQUIRE(world.harness.Until([&] { return !world.engines.moved.empty(); }));
  CHECK(world.engines.asked.empty());
}

}  // namespace qp::relay::testing
