#include "foundation/wait.h"

namespace qp {

namespace {

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

struct Watchdog::State {
  std::function<void()> on_expiry;
  std::uint64_t round = 0;
  bool expired = false;
  bool armed = true;
};

Watchdog::Watchdog(Clock& time, asio::io_context::executor_type io,
                   Duration limit, std::function<void()> on_expiry)
    : clock(time),
      executor(io),
      bound(limit),
      state(std::make_shared<State>()) {
  this->state->on_expiry = std::move(on_expiry);
  this->Restart();
}

Watchdog::~Watchdog() { this->Disarm(); }

void Watchdog::Restart() {
  if (this->timer != 0) {
    this->clock.Cancel(this->timer);
  }
  const auto round = ++this->state->round;
  auto shared = this->state;
  auto expire = [shared, round] {
    if (!shared->armed || shared->round != round) {
      return;
    }
    shared->expired = true;
    shared->armed = false;
    shared->on_expiry();
  };
  auto io = this->executor;
  this->timer = this->clock.Schedule(
      this->clock.Now() + this->bound,
      [io, expire = std::move(expire)] { asio::post(io, expire); });
}

void Watchdog::Disarm() {
  this->state->armed = false;
  this->clock.Cancel(this->timer);
}

bool Watchdog::expired() const { return this->state->expired; }

Signal::Signal(asio::io_context::executor_type executor)
    : timer(MakeIdleTimer(executor)),
      notifications(std::make_shared<std::uint64_t>(0)) {}

void Signal::NotifyAll() {
  ++*this->notifications;
  this->timer->cancel();
}

Task<bool> Signal::WaitFor(Clock& clock, Duration bound) {
  auto idle = this->timer;
  auto count = this->notifications;
  const auto before = *count;
  const auto executor = IoExecutor(co_await asio::this_coro::executor);
  const auto deadline = clock.Now() + bound;
  const TimerId id = clock.Schedule(deadline, [executor, idle] {
    asio::post(executor, [idle] { idle->cancel(); });
  });
  // Another waiter's bound also cancels the timer, hence the loop.
  while (*count == before && clock.Now() < deadline) {
    co_await AwaitCancel(idle);
  }
  clock.Cancel(id);
  co_return *count != before;
}

}  // namespace qp
