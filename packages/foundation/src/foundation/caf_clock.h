#pragma once

#include <caf/actor.hpp>
#include <memory>

#include "foundation/clock.h"

namespace caf {
class actor_system;
}  // namespace caf

namespace qp {

namespace detail {
class TimerTable;
}  // namespace detail

/// Clock backed by the clock of a CAF actor system. With CAF's testing
/// scheduler, time advances only when a test moves it.
class CafClock : public Clock {
 public:
  explicit CafClock(caf::actor_system& system);
  ~CafClock() override;
  CafClock(const CafClock&) = delete;
  CafClock& operator=(const CafClock&) = delete;

  TimePoint Now() const override;
  WallMillis WallNow() const override;
  TimerId Schedule(TimePoint at, std::function<void()> callback) override;
  void Cancel(TimerId id) override;

 private:
  caf::actor_system& system;
  std::shared_ptr<detail::TimerTable> timers;
  caf::actor dispatcher;
  TimePoint start;
  WallMillis wall_start;
};

}  // namespace qp
