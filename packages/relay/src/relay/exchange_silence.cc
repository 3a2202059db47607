// Detection of servers that make no progress, and replacement of their tries.
#include <algorithm>
#include <chrono>
#include <utility>

#include "relay/exchange.h"
#include "relay/log_text.h"
#include "relay/silent_try.h"

namespace qp::relay {

namespace {

using std::chrono::milliseconds;

/// Timeout for the first event of a stream: the route's latency objective times
/// kFirstEventTimeoutFactor, but at least kMinFirstEventTimeout. Callers
/// disconnect after four times the objective.
constexpr Duration kMinFirstEventTimeout = milliseconds(700);
constexpr double kFirstEventTimeoutFactor = 1.6;
/// Timeout for the head of a plain response, as a multiple of the route's
/// latency objective. Servers respond within a fifth of the objective unless
/// they are slow or have failed.
constexpr double kPlainTimeoutFactor = 2.0;
/// Timeout for the next event of a stream. Callers disconnect after 2 s without
/// an event, and a gap of 200 ms already makes the response late. A shorter
/// timeout would hit engines that are only busy: they are silent for 300 ms and
/// more, and a process of a large deployment has too few streams to distinguish
/// them from lost engines sooner.
constexpr Duration kMaxEventGap = milliseconds(600);
/// Longest wait for the first event of a stream while all engines of its chain
/// make progress for others. The request then waits for memory or for prompts
/// before it, and another chain would have to read its prompt as well. Callers
/// disconnect after 2 s.
constexpr Duration kMaxBusyWait = milliseconds(1600);
/// Interval between checks whether busy engines still make progress.
constexpr Duration kBusyCheckInterval = milliseconds(200);
/// Share of a stream's silence, from its start, in which progress of an engine
/// does not show that the engine works: the last events of other streams
/// through a lost engine can arrive a little later than the last event of this
/// stream.
constexpr double kProgressSkewShare = 0.4;
/// Delay of a timer above which the process itself counts as stalled. The check
/// for progress is then postponed by the same time, so that data that servers
/// have sent in the meantime is read first.
constexpr Duration kMaxTimerDelay = milliseconds(50);

Duration Scale(Duration duration, double factor) {
  return std::chrono::duration_cast<Duration>(duration * factor);
}

}  // namespace

bool Exchange::ContinueSilentTry(std::string_view why) {
  if (this->silent_try == nullptr) {
    return false;
  }
  const bool hedged = this->silent_try->is_hedged();
  if (!hedged) {
    this->relay.events.Record(
        EventId::kRelaySilentTryContinued,
        {{"request", this->metadata.attempt_id},
         {"server", this->silent_try->server_id()},
         {"silent_ms", FormatMillis(this->silent_try->silence())},
         {"why", std::string(why)}});
  }
  this->AbandonTry();
  const auto continued = std::move(this->silent_try);
  continued->Restore();
  this->waits_for_probe = false;
  if (!this->route->streaming && this->head) {
    return true;  // Its response is arriving.
  }
  if (hedged) {
    this->StartProgressTimeout();
    return true;
  }
  this->moved_at = this->relay.Now();
  this->StartProgressTimer(this->relay.Now() + kMaxEventGap);
  return true;
}

void Exchange::DropSilentTry() { this->silent_try.reset(); }

bool Exchange::IsTryPending(int number) const {
  return (this->try_number == number && this->pending_prompt != nullptr) ||
         (this->silent_try != nullptr && this->silent_try->IsPending(number));
}

std::vector<ServerPtr> Exchange::SuspectSilentEngines(TimePoint since) {
  const TimePoint now = this->relay.Now();
  std::vector<ServerPtr> suspects;
  for (const auto& stage : this->chain->stages) {
    // Progress after `since`, made by other streams, shows that the engine
    // works.
    if (stage.server->last_progress <= since) {
      suspects.push_back(stage.server);
    }
  }
  for (const auto& server : suspects) {
    if (suspects.size() == 1) {
      server->RecordFailure(now);
    } else {
      server->MarkSuspect(now);
    }
    this->relay.events.Record(
        EventId::kServerSuspected,
        {{"server", server->record.id},
         {"request", this->metadata.attempt_id},
         {"others", std::to_string(suspects.size() - 1)},
         {"silent_ms", FormatMillis(now - server->last_progress)}});
  }
  return suspects;
}

void Exchange::StartProgressTimeout() {
  Duration timeout = kMaxEventGap;
  if (!this->route->streaming) {
    timeout = Scale(this->route->latency_objective, kPlainTimeoutFactor);
  } else if (!this->try_has_events) {
    timeout = std::max(
        kMinFirstEventTimeout,
        Scale(this->route->latency_objective, kFirstEventTimeoutFactor));
  }
  this->StartProgressTimer(this->last_progress_at + timeout);
}

void Exchange::StartProgressTimer(TimePoint due) {
  this->progress_due = due;
  this->progress_timer.Start(due, [this] { this->CheckProgress(); });
}

void Exchange::CheckProgress() {
  const TimePoint now = this->relay.Now();
  if (now - this->progress_due > kMaxTimerDelay) {
    this->StartProgressTimer(now + kMaxTimerDelay);
    return;
  }
  const bool begun = this->try_has_events;
  const Duration silence = now - this->last_progress_at;
  if (begun && silence < kMaxEventGap) {
    this->StartProgressTimeout();
    return;
  }
  if (begun && this->TryMove()) {
    return;
  }
  if (!begun && this->WaitsForBusyEngines(silence)) {
    this->StartProgressTimer(now + kBusyCheckInterval);
    return;
  }
  this->ReplaceSilentTry();
}

bool Exchange::WaitsForBusyEngines(Duration silence) const {
  if (!this->chain || silence >= kMaxBusyWait) {
    return false;
  }
  const TimePoint cutoff = this->ProgressCutoff();
  const auto& stages = this->chain->stages;
  return std::all_of(stages.begin(), stages.end(), [cutoff](const auto& stage) {
    return stage.server->last_progress > cutoff;
  });
}

TimePoint Exchange::ProgressCutoff() const {
  const Duration silence = this->relay.Now() - this->last_progress_at;
  return this->last_progress_at + Scale(silence, kProgressSkewShare);
}

void Exchange::ReplaceSilentTry() {
  if (!this->MayRetry() || this->runs.count() >= this->route->max_attempts ||
      this->tries >= kMaxTries) {
    return;  // The try continues until the deadline of the request.
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
       {"fingerprint", this->fingerprint},
       {"step", step},
       {"silent_ms",
        FormatMillis(this->relay.Now() - this->last_progress_at)}});
  if (this->chain && this->lost_engines.empty()) {
    this->SuspectSilentEngines(this->ProgressCutoff());
  }
  std::vector<std::string> avoided = this->excluded;
  if (!this->chain) {
    avoided.push_back(this->server->record.id);
  }
  const bool admitted =
      !this->IsPromptUnproven() ||
      this->relay.quarantine.Admit(this->crash_keys, this->relay.Now())
          .may_send();
  Target target = this->ChooseTarget(avoided);
  if (!admitted || target.server == nullptr ||
      !this->relay.retry_budget.TryAcquire(this->service->name,
                                           this->relay.Now())) {
    this->StartProgressTimer(this->relay.Now() + kMaxEventGap);
    return;
  }
  this->excluded = std::move(avoided);
  if (!this->chain) {
    const TimePoint now = this->relay.Now();
    this->server->RecordResponse(now, now - this->try_started_at, false);
  }
  // A stream that has not begun can still be refused, and to wait at two
  // engines would double the load of its prompt when engines are slow from
  // load.
  const bool keeps_try = this->response_begun || !this->route->streaming;
  if (keeps_try && this->silent_try == nullptr) {
    this->progress_timer.Cancel();
    this->silent_try = std::make_unique<SilentTry>(*this, false);
  } else {
    // An older silent try stays open.
    this->call->Cancel();
    this->ReleaseTry();
  }
  this->last_failure = "the server fell silent";
  this->SendTo(std::move(target));
}

}  // namespace qp::relay
