#include "relay/stalled_request_finder.h"

#include <catch2/catch.hpp>

#include "foundation/wait.h"
#include "relay/configurations.h"
#include "relay/idle_engines.h"
#include "testing/test_runtime.h"

namespace qp::relay::testing {

namespace {

using std::chrono::milliseconds;

/// Responds after 5 ms: reports that request "r1" waits for an engine, or fails
/// if `failing` is set.
class SlowEngines : public IdleEngines {
 public:
  explicit SlowEngines(Clock& time) : clock(time) {}

  Task<Result<StalledRequests>> FindStalled(ServerRecord engine) override {
    this->asked.push_back(engine.id);
    co_await SleepFor(this->clock, milliseconds(5));
    if (this->failing) {
      co_return Error{ErrorCode::kUnknownEffect, "ask", engine.id, ""};
    }
    StalledRequests stalled;
    stalled["r1"] = "10.1.64.9:8080";
    co_return stalled;
  }

  Clock& clock;
  std::vector<std::string> asked;
  bool failing = false;
};

struct Fixture {
  void Find(const std::string& engine) {
    finder.Find(
        engines, MakeRecord(engine, "model"),
        [this](const Result<StalledRequests>& stalled) {
          stalled_counts.push_back(stalled ? stalled.value().size() : 0);
        });
  }

  qp::testing::TestRuntime runtime;
  SlowEngines engines{runtime.clock()};
  StalledRequestFinder finder{runtime.io()};
  std::vector<std::size_t> stalled_counts;
};

}  // namespace

// Guards against a request to the first engine for each of the about fifty
// streams that fall silent when an engine is lost.
TEST_CASE("Concurrent searches for one engine share a single request",
          "[relay][streams][move]") {
  Fixture fixture;
  for (int stream = 0; stream < 50; ++stream) {
    fixture.Find("e1");
  }
  fixture.Find("e2");
  CHECK(fixture.stalled_counts.empty());
  fixture.runtime.Advance(milliseconds(10));
  CHECK(fixture.engines.asked == std::vector<std::string>{"e1", "e2"});
  CHECK(fixture.stalled_counts == std::vector<std::size_t>(51, 1));
}

TEST_CASE("A result is not reused for a later search",
          "[relay][streams][move]") {
  Fixture fixture;
  fixture.Find("e1");
  fixture.runtime.Advance(milliseconds(10));
  fixture.engines.failing = true;
  fixture.Find("e1");
  fixture.runtime.Advance(milliseconds(10));
  CHECK(fixture.engines.asked.size() == 2);
  CHECK(fixture.stalled_counts == std::vector<std::size_t>{1, 0});
}

}  // namespace qp::relay::testing
