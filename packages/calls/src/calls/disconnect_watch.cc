#include "calls/disconnect_watch.h"

#include <utility>

#include "calls/chat_service.h"

namespace qp {

struct DisconnectWatch::State {
  Clock& clock;
  asio::any_io_executor executor;
  const TokenSink& sink;
  std::function<void()> on_disconnect;
  TimerId timer = 0;
  bool stopped = false;
};

DisconnectWatch::DisconnectWatch(Clock& clock, asio::any_io_executor executor,
                                 const TokenSink& sink,
                                 std::function<void()> on_disconnect)
    : state(std::make_shared<State>(
          State{clock, std::move(executor), sink, std::move(on_disconnect)})) {
  ScheduleNext(this->state);
}

DisconnectWatch::~DisconnectWatch() {
  this->state->stopped = true;
  this->state->clock.Cancel(this->state->timer);
}

void DisconnectWatch::ScheduleNext(const std::shared_ptr<State>& state) {
  auto poll = [state] {
    if (state->stopped) {
      return;
    }
    if (state->sink.disconnected()) {
      state->stopped = true;
      state->on_disconnect();
      return;
    }
    ScheduleNext(state);
  };
  auto executor = state->executor;
  state->timer = state->clock.Schedule(
      state->clock.Now() + kPollInterval,
      [executor, poll = std::move(poll)] { asio::post(executor, poll); });
}

}  // namespace qp
