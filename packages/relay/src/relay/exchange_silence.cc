// What an exchange does about a server that sends nothing, or too little.
#include <algorithm>
#include <chrono>
#include <utility>

#include "relay/exchange.h"
#include "relay/log_text.h"

namespace qp::relay {

namespace {

using std::chrono::milliseconds;

/// Longest wait for the first event of a stream: half as long again as the
/// latency objective, at least this. Callers leave after four objectives.
constexpr Duration kLeastFirstEvent = milliseconds(700);
constexpr double kFirstEventObjectives = 1.6;
/// Longest wait for the head of a plain answer, in latency objectives. Servers
/// answer within a fifth of the objective unless they are slow or gone.
constexpr double kPlainObjectives = 2.0;
/// Longest silence in a stream. Callers leave after a gap of 2 s; a gap of
/// 200 ms makes the answer late. Busy engines are silent for 300 ms and more,
/// and a process of a large deployment has too few streams to tell them from
/// lost ones.
constexpr Duration kLongestGap = milliseconds(600);
/// Others' last events through a lost engine may have come a little after those
/// of the stream: this part of the stream's silence is allowed for.
constexpr double kOthersLater = 0.4;
/// A timer that is so late shows that this process was held up: what its
/// servers have sent meanwhile is still to be read.
constexpr Duration kHeldUp = milliseconds(50);

Duration Times(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

}  // namespace

std::vector<ServerPtr> Exchange::SuspectChain(TimePoint since) {
  const TimePoint now = this->relay.Now();
  std::vector<ServerPtr> silent;
  for (const auto& stage : this->chain->stages) {
    // An engine that others' streams have come through since is sound.
    if (stage.server->last_progress <= since) {
      silent.push_back(stage.server);
    }
  }
  for (const auto& server : silent) {
    if (silent.size() == 1) {
      server->RecordFailure(now);
    } else {
      server->MarkSuspect(now);
    }
    this->relay.events.Record(
        EventId::kServerSuspected,
        {{"server", server->record.id},
         {"request", this->metadata.attempt_id},
         {"others", std::to_string(silent.size() - 1)},
         {"silent_ms", FormatMillis(now - server->last_progress)}});
  }
  return silent;
}

void Exchange::WatchProgress() {
  Duration bound = kLongestGap;
  if (!this->route->streaming) {
    bound = Times(this->route->latency_objective, kPlainObjectives);
  } else if (!this->try_has_events) {
    bound = std::max(kLeastFirstEvent, Times(this->route->latency_objective,
                                             kFirstEventObjectives));
  }
  this->StartProgressTimer(this->last_event_at + bound);
}

void Exchange::StartProgressTimer(TimePoint due) {
  this->progress_due = due;
  this->progress_timer.Start(due, [this] { this->CheckProgress(); });
}

void Exchange::CheckProgress() {
  const TimePoint now = this->relay.Now();
  if (now - this->progress_due > kHeldUp) {
    this->StartProgressTimer(now + kHeldUp);
    return;
  }
  const bool begun = this->try_has_events;
  const Duration silent = now - this->last_event_at;
  if (begun && silent < kLongestGap) {
    this->WatchProgress();
    return;
  }
  if (begun && this->TryMove()) {
    return;
  }
  this->ReplaceSilentTry();
}

TimePoint Exchange::QuietSince() const {
  const Duration silent = this->relay.Now() - this->last_event_at;
  return this->last_event_at + Times(silent, kOthersLater);
}

void Exchange::ReplaceSilentTry() {
  if (!this->MayRetry() || this->tries_run + 1 >= this->route->max_attempts ||
      this->tries >= kMaxTries) {
    return;  // The deadline ends it.
  }
  const bool begun = this->try_has_events;
  const char* step = "plain.answer";
  if (this->route->streaming) {
    step = begun ? "stream.next_event" : "stream.first_event";
  }
  this->relay.events.Record(
      EventId::kRelayAttemptFailed,
      {{"request", this->metadata.attempt_id},
       {"peer", this->server->record.id},
       {"chain", FormatChain(this->chain)},
       {"step", step},
       {"silent_ms", FormatMillis(this->relay.Now() - this->last_event_at)}});
  if (this->chain && this->move_lost.empty()) {
    this->SuspectChain(this->QuietSince());
  }
  std::vector<std::string> avoided = this->excluded;
  if (!this->chain) {
    avoided.push_back(this->server->record.id);
  }
  Target target = this->ChooseTarget(avoided);
  if (target.server == nullptr || !this->relay.retry_budget.TryAcquire(
                                      this->service->name, this->relay.Now())) {
    this->StartProgressTimer(this->relay.Now() + kLongestGap);
    return;
  }
  this->excluded = std::move(avoided);
  this->call->Cancel();
  this->EndTry(false);
  this->last_failure = "the server fell silent";
  this->may_have_run = true;
  ++this->tries_run;
  this->SendTo(std::move(target));
}

}  // namespace qp::relay
