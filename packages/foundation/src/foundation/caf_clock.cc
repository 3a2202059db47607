#include "foundation/caf_clock.h"

#include <caf/all.hpp>
#include <mutex>
#include <unordered_map>
#include <utility>

namespace qp {

namespace detail {

/// Callbacks of the pending timers by id. Thread-safe.
class TimerTable {
 public:
  TimerId Add(std::function<void()> callback) {
    std::lock_guard lock(this->mutex);
    const TimerId id = ++this->last_id;
    this->callbacks.emplace(id, std::move(callback));
    return id;
  }

  /// Removes and returns a callback; empty if it has run or was cancelled.
  std::function<void()> Extract(TimerId id) {
    std::lock_guard lock(this->mutex);
    auto found = this->callbacks.find(id);
    if (found == this->callbacks.end()) {
      return {};
    }
    auto callback = std::move(found->second);
    this->callbacks.erase(found);
    return callback;
  }

 private:
  std::mutex mutex;
  TimerId last_id = 0;
  std::unordered_map<TimerId, std::function<void()>> callbacks;
};

namespace {

using TimerAtom = caf::atom_constant<caf::atom("qp_timer")>;

caf::behavior TimerDispatcher(caf::event_based_actor*,
                              std::shared_ptr<TimerTable> timers) {
  return {[timers](TimerAtom, TimerId id) {
    if (auto callback = timers->Extract(id)) {
      callback();
    }
  }};
}

WallMillis SystemMillis() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch)
      .count();
}

}  // namespace
}  // namespace detail

CafClock::CafClock(caf::actor_system& actor_system)
    : system(actor_system),
      timers(std::make_shared<detail::TimerTable>()),
      dispatcher(actor_system.spawn(detail::TimerDispatcher, this->timers)),
      start(actor_system.clock().now()),
      wall_start(detail::SystemMillis()) {}

CafClock::~CafClock() {
  caf::anon_send_exit(this->dispatcher, caf::exit_reason::user_shutdown);
}

TimePoint CafClock::Now() const { return this->system.clock().now(); }

WallMillis CafClock::WallNow() const {
  const auto elapsed = this->Now() - this->start;
  return this->wall_start +
         std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count();
}

TimerId CafClock::Schedule(TimePoint at, std::function<void()> callback) {
  const TimerId id = this->timers->Add(std::move(callback));
  auto element = caf::make_mailbox_element(nullptr, caf::make_message_id(), {},
                                           detail::TimerAtom::value, id);
  this->system.clock().schedule_message(
      at, caf::actor_cast<caf::strong_actor_ptr>(this->dispatcher),
      std::move(element));
  return id;
}

void CafClock::Cancel(TimerId id) { this->timers->Extract(id); }

}  // namespace qp
