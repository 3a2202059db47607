#include "relay/timer_queue.h"

#include <unordered_map>

namespace qp::relay {

struct TimerQueue::State : std::enable_shared_from_this<TimerQueue::State> {
  State(Clock& time, asio::io_context& context) : clock(time), io(context) {}

  static TimePoint RoundUp(TimePoint at) {
    const auto remainder = at.time_since_epoch() % kResolution;
    return remainder == Duration{0} ? at : at + (kResolution - remainder);
  }

  /// Schedules the clock's timer for the first due time, unless it is already
  /// scheduled for that time or earlier.
  void Arm() {
    if (this->closed || this->timers.empty()) {
      return;
    }
    const TimePoint due = this->timers.begin()->first.first;
    if (this->armed && this->armed_for <= due) {
      return;
    }
    if (this->armed) {
      this->clock.Cancel(this->armed_id);
    }
    this->armed = true;
    this->armed_for = due;
    this->armed_id = this->clock.Schedule(
        due, [weak = this->weak_from_this(), &context = this->io] {
          asio::post(context, [weak] {
            if (auto self = weak.lock()) {
              self->RunDue();
            }
          });
        });
  }

  /// Runs all timers that are due, on the request thread.
  void RunDue() {
    this->armed = false;
    const TimePoint now = this->clock.Now();
    while (!this->closed && !this->timers.empty() &&
           this->timers.begin()->first.first <= now) {
      auto due = this->timers.extract(this->timers.begin());
      this->due_by_id.erase(due.key().second);
      due.mapped()();
    }
    this->Arm();
  }

  Clock& clock;
  asio::io_context& io;
  std::map<std::pair<TimePoint, TimerId>, std::function<void()>> timers;
  std::unordered_map<TimerId, TimePoint> due_by_id;
  TimerId last_id = 0;
  bool armed = false;
  bool closed = false;
  TimePoint armed_for{};
  TimerId armed_id = 0;
};

TimerQueue::TimerQueue(Clock& clock, asio::io_context& io)
    : state(std::make_shared<State>(clock, io)) {}

TimerQueue::~TimerQueue() {
  this->state->closed = true;
  this->state->timers.clear();
}

TimePoint TimerQueue::Now() const { return this->state->clock.Now(); }

TimerId TimerQueue::Schedule(TimePoint at, std::function<void()> callback) {
  const TimerId id = ++this->state->last_id;
  const TimePoint due = State::RoundUp(at);
  this->state->timers.emplace(std::pair(due, id), std::move(callback));
  this->state->due_by_id.emplace(id, due);
  this->state->Arm();
  return id;
}

void TimerQueue::Cancel(TimerId id) {
  const auto found = this->state->due_by_id.find(id);
  if (found != this->state->due_by_id.end()) {
    this->state->timers.erase({found->second, id});
    this->state->due_by_id.erase(found);
  }
}

}  // namespace qp::relay
