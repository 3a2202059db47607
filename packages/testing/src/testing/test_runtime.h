#pragma once

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/atom.hpp>
#include <caf/scheduler/test_coordinator.hpp>
#include <memory>
#include <optional>

#include "foundation/asio.h"
#include "foundation/caf_clock.h"

namespace qp::testing {

namespace detail {

struct PausedConfig : caf::actor_system_config {
  PausedConfig() { this->set("scheduler.policy", caf::atom("testing")); }
};

// A co_spawn handler needs a default-constructible value; Result<T> is not.
template <class T>
Task<void> StoreResult(Task<T> task, std::shared_ptr<std::optional<T>> result) {
  result->emplace(co_await std::move(task));
}

}  // namespace detail

/// Actor system with a paused clock and an io_context; the test runs both on
/// its own thread.
class TestRuntime {
 public:
  TestRuntime() : system(this->config) {
    this->caf_clock.emplace(this->system);
  }

  // The testing scheduler runs actors only in run(), also to terminate them.
  ~TestRuntime() {
    this->caf_clock.reset();
    this->Coordinator().run();
  }

  TestRuntime(const TestRuntime&) = delete;
  TestRuntime& operator=(const TestRuntime&) = delete;

  CafClock& clock() { return *this->caf_clock; }
  asio::io_context& io() { return this->context; }
  caf::actor_system& actors() { return this->system; }

  /// Runs all ready work of the actors and the io_context at the current time.
  void Settle() {
    bool progress = true;
    while (progress) {
      progress = this->Coordinator().run() > 0;
      this->context.restart();
      progress = this->context.poll() > 0 || progress;
    }
  }

  /// Advances the clock by `duration` in steps of `step`; settles after each.
  void Advance(Duration duration,
               Duration step = std::chrono::milliseconds(1)) {
    this->Settle();
    for (Duration passed{0}; passed < duration; passed += step) {
      this->Coordinator().clock().advance_time(
          std::min(step, duration - passed));
      this->Settle();
    }
  }

  /// Runs `task` until it returns, advancing the clock by up to `timeout`;
  /// empty if the task has not returned by then.
  template <class T>
  std::optional<T> RunFor(Task<T> task, Duration timeout) {
    // Shared, since a task that has not returned outlives this call.
    auto result = std::make_shared<std::optional<T>>();
    asio::co_spawn(this->context, detail::StoreResult(std::move(task), result),
                   asio::detached);
    this->Settle();
    const auto deadline = this->caf_clock->Now() + timeout;
    while (!result->has_value() && this->caf_clock->Now() < deadline) {
      this->Advance(std::chrono::milliseconds(1));
    }
    return std::move(*result);
  }

 private:
  caf::scheduler::test_coordinator& Coordinator() {
    return dynamic_cast<caf::scheduler::test_coordinator&>(
        this->system.scheduler());
  }

  detail::PausedConfig config;
  caf::actor_system system;
  asio::io_context context;
  std::optional<CafClock> caf_clock;
};

}  // namespace qp::testing
