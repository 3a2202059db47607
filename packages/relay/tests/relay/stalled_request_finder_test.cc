#include "relay/stalled_request_finder.h"

#include <catch2/catch.hpp>

#include "foundation/wait.h"
#include "relay/configurations.h"
#include "relay/idle_engines.h"
#include "testing/test_runtime.h"

namespace qp::relay::testing {

namespace {

using std::chrono::milliseconds;

/// Says after 5 ms that request "r1" waits for an engine.
class SlowEngines : public IdleEngines {
 public:
  explicit SlowEngines(Clock& time) : clock(time) {}

  Task<Result<StalledRequests>> FindStalled(ServerRecord engine) override {
    this->asked.push_back(engine.id);
    co_await SleepFor(this->clock, milliseconds(5));
    if (this->mute) {
      co_return Error{ErrorCode::kUnknownEffect, "ask", engine.id, ""};
    }
    StalledRequests stalled;
    stalled["r1"] = "10.1.64.9:8080";
    co_return stalled;
  }

  Clock& clock;
  std::vector<std::string> asked;
  bool mute = false;
};

struct World {
  void Ask(const std::string& engine) {
    finder.Find(engines, MakeRecord(engine, "model"),
                [this](const Result<StalledRequests>& stalled) {
                  answers.push_back(stalled ? stalled.value().size() : 0);
                });
  }

  qp::testing::TestRuntime runtime;
  SlowEngines engines{runtime.clock()};
  StalledRequestFinder finder{runtime.io()};
  std::vector<std::size_t> answers;
};

}  // namespace

// Each of some fifty streams of a lost engine would have asked by itself.
TEST_CASE("One question serves all streams that ask meanwhile",
          "[relay][streams][move]") {
  World world;
  for (int stream = 0; stream < 50; ++stream) {
    world.Ask("e1");
  }
  world.Ask("e2");
  CHECK(world.answers.empty());
  world.runtime.Advance(milliseconds(10));
  CHECK(world.engines.asked == std::vector<std::string>{"e1", "e2"});
  CHECK(world.answers == std::vector<std::size_t>(51, 1));
}

TEST_CASE("An answer serves no later question", "[relay][streams][move]") {
  World world;
  world.Ask("e1");
  world.runtime.Advance(milliseconds(10));
  world.engines.mute = true;
  world.Ask("e1");
  world.runtime.Advance(milliseconds(10));
  CHECK(world.engines.asked.size() == 2);
  CHECK(world.answers == std::vector<std::size_t>{1, 0});
}

}  // namespace qp::relay::testing
