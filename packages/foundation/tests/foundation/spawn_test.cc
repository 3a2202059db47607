#include "foundation/spawn.h"

#include <catch2/catch.hpp>
#include <stdexcept>
#include <utility>
#include <vector>

#include "foundation/wait.h"
#include "testing/test_runtime.h"

namespace qp {

namespace {

struct RecordedFailures : TaskFailureListener {
  void OnTaskFailed(std::string_view task, std::string_view detail) override {
    this->failures.emplace_back(task, detail);
  }

  std::vector<std::pair<std::string, std::string>> failures;
};

Task<void> Throw(const char* text) {
  throw std::runtime_error(text);
  co_return;
}

}  // namespace

TEST_CASE("An exception that leaves a task is reported", "[foundation]") {
  testing::TestRuntime runtime;
  RecordedFailures listener;
  SetTaskFailureListener(runtime.io(), &listener);
  Spawn(runtime.io(), "read", Throw("odd entry"));
  runtime.Settle();
  REQUIRE(listener.failures.size() == 1);
  CHECK(listener.failures.front() ==
        std::pair<std::string, std::string>("read", "odd entry"));
}

TEST_CASE("A loop goes on after an exception, and ends when it returns",
          "[foundation]") {
  testing::TestRuntime runtime;
  RecordedFailures listener;
  SetTaskFailureListener(runtime.io(), &listener);
  int runs = 0;
  SpawnLoop(runtime.io(), runtime.clock(), "poll", [&]() -> Task<void> {
    const int run = ++runs;
    co_await SleepFor(runtime.clock(), std::chrono::milliseconds(10));
    if (run < 3) {
      throw std::out_of_range("layer 160");
    }
  });
  runtime.Advance(std::chrono::milliseconds(20));
  CHECK(runs == 1);
  CHECK(listener.failures.size() == 1);
  runtime.Advance(kLoopRestartDelay * 5);
  CHECK(runs == 3);
  CHECK(listener.failures.size() == 2);
}

}  // namespace qp
