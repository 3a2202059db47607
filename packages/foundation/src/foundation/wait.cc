#include "foundation/wait.h"

namespace qp {

namespace {

/// Returns a timer that never expires; cancelling it resumes its waiters.
std::shared_ptr<asio::steady_timer> MakeIdleTimer(
    const asio::io_context::executor_type& executor) {
  auto timer = std::make_shared<asio::steady_timer>(executor);
  timer->expires_at(asio::steady_timer::time_point::max());
  return timer;
}

Task<void> AwaitCancel(std::shared_ptr<asio::steady_timer> timer) {
  boost::system::error_code ignored;
  co_await timer->async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
}

asio::io_context::executor_type IoExecutor(const asio::any_io_executor& any) {
  return *any.target<asio::io_context::executor_type>();
}

}  // namespace

Task<void> SleepFor(Clock& clock, Duration duration) {
  const auto executor = IoExecutor(co_await asio::this_coro::executor);
  auto timer = MakeIdleTimer(executor);
  clock.Schedule(clock.Now() + duration, [executor, timer] {
    asio::post(executor, [timer] { timer->cancel(); });
  });
  co_await AwaitCancel(timer);
}

struct Watchdog::State : std::enable_shared_from_this<Watchdog::State> {
  State(Clock& time, asio::io_context::executor_type io,
        Duration initial_timeout, std::function<void()> callback)
      : clock(time),
        executor(io),
        timeout(initial_timeout),
        on_expiry(std::move(callback)) {}

  void ScheduleTimer() {
    this->timer_pending = true;
    auto io = this->executor;
    this->timer = this->clock.Schedule(this->deadline,
                                       [io, weak = this->weak_from_this()] {
                                         asio::post(io, [weak] {
                                           if (auto state = weak.lock()) {
                                             state->OnTimer();
                                           }
                                         });
                                       });
  }

  void OnTimer() {
    this->timer_pending = false;
    if (!this->armed) {
      return;
    }
    if (this->clock.Now() < this->deadline) {
      this->ScheduleTimer();
      return;
    }
    this->armed = false;
    this->expired = true;
    this->on_expiry();
  }

  Clock& clock;
  asio::io_context::executor_type executor;
  Duration timeout;
  std::function<void()> on_expiry;
  TimePoint deadline{};
  TimerId timer = 0;
  bool armed = false;
  bool timer_pending = false;
  bool expired = false;
};

Watchdog::Watchdog(Clock& clock, asio::io_context::executor_type executor,
                   Duration timeout, std::function<void()> on_expiry)
    : state(std::make_shared<State>(clock, executor, timeout,
                                    std::move(on_expiry))) {}

Watchdog::~Watchdog() {
  this->state->armed = false;
  if (this->state->timer_pending) {
    this->state->clock.Cancel(this->state->timer);
  }
}

void Watchdog::Restart() {
  const auto deadline = this->state->clock.Now() + this->state->timeout;
  const bool earlier = deadline < this->state->deadline;
  this->state->deadline = deadline;
  this->state->armed = true;
  if (this->state->timer_pending && earlier) {
    this->state->clock.Cancel(this->state->timer);
    this->state->timer_pending = false;
  }
  if (!this->state->timer_pending) {
    this->state->ScheduleTimer();
  }
}

void Watchdog::Restart(Duration timeout) {
  this->state->timeout = timeout;
  this->Restart();
}

void Watchdog::Disarm() { this->state->armed = false; }

bool Watchdog::expired() const { return this->state->expired; }

Signal::Signal(asio::io_context::executor_type executor)
    : timer(MakeIdleTimer(executor)),
      notifications(std::make_shared<std::uint64_t>(0)) {}

void Signal::NotifyAll() {
  ++*this->notifications;
  this->timer->cancel();
}

Task<bool> Signal::WaitFor(Clock& clock, Duration timeout) {
  auto idle = this->timer;
  auto count = this->notifications;
  const auto before = *count;
  const auto executor = IoExecutor(co_await asio::this_coro::executor);
  const auto deadline = clock.Now() + timeout;
  const TimerId id = clock.Schedule(deadline, [executor, idle] {
    asio::post(executor, [idle] { idle->cancel(); });
  });
  // The timeout of another waiter also cancels the shared timer, so a wake-up
  // alone does not end this wait.
  while (*count == before && clock.Now() < deadline) {
    co_await AwaitCancel(idle);
  }
  clock.Cancel(id);
  co_return *count != before;
}

}  // namespace qp
