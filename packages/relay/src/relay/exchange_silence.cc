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
/// 200 ms makes the answer late.
constexpr Duration kLongestGap = milliseconds(600);
/// Longest wait for the next event of a stream that was to go on over other
/// engines: they read some thousand tokens, at a hundred a millisecond and
/// slowed by other work. With the gap before it, callers still wait.
constexpr Duration kMoveBound = milliseconds(700);

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
      server->NoteFailure(now);
    } else {
      server->NoteDoubt(now);
    }
    this->relay.events.Record(
        EventId::kServerSuspected,
        {{"server", server->record.id},
         {"request", this->facts.attempt_id},
         {"others", std::to_string(silent.size() - 1)},
         {"silent_ms", MillisText(now - server->last_progress)}});
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
  this->progress_timer.Start(this->last_event_at + bound,
                             [this] { this->CheckProgress(); });
}

void Exchange::CheckProgress() {
  const bool begun = this->try_has_events;
  if (begun && this->relay.Now() - this->last_event_at < kLongestGap) {
    this->WatchProgress();
    return;
  }
  if (begun && this->TryMove()) {
    return;
  }
  this->ReplaceSilentTry();
}

bool Exchange::TryMove() {
  const bool moved_since =
      this->moved_at && *this->moved_at >= this->last_event_at;
  if (!this->chain || this->relay.engines == nullptr || moved_since) {
    return false;
  }
  const ChainStage first = this->chain->stages.front();
  ChoiceQuery query = this->MakeQuery();
  std::vector<std::string> avoided = this->excluded;
  for (const auto& server : this->SuspectChain(this->last_event_at)) {
    if (server != first.server) {
      avoided.push_back(server->record.id);
    }
  }
  query.excluded = avoided;
  query.first_stage = &first;
  auto next = ChooseChain(*this->service->engine,
                          this->relay.servers.Of(this->service->name), query,
                          this->relay.Now(), this->relay.random);
  if (!next || next->stages.front().server != first.server) {
    return false;
  }
  this->moved_at = this->relay.Now();
  this->progress_timer.Start(*this->moved_at + kMoveBound,
                             [this] { this->CheckProgress(); });
  asio::co_spawn(this->relay.io,
                 OrderMove(this->relay, this, std::move(*next), this->alive),
                 asio::detached);
  return true;
}

Task<void> Exchange::OrderMove(Relay& shared, Exchange* exchange, Chain next,
                               std::weak_ptr<int> owner) {
  // The exchange may be gone already, and may go during the wait.
  if (owner.expired()) {
    co_return;
  }
  const int moved_try = exchange->tries;
  const std::string id = exchange->facts.attempt_id;
  const std::string text = ChainText(next);
  const auto outcome = co_await shared.engines->MoveStream(id, next);
  const bool taken = outcome && outcome.value() == OrderOutcome::kAccepted;
  shared.events.Record(EventId::kRelayStreamMoved,
                       {{"request", id},
                        {"chain", text},
                        {"outcome", taken     ? "taken"
                                    : outcome ? "refused"
                                              : ToString(outcome.error())}});
  if (owner.expired() || exchange->call == nullptr ||
      exchange->tries != moved_try) {
    co_return;
  }
  exchange->EndMove(taken, std::move(next));
}

void Exchange::EndMove(bool taken, Chain next) {
  if (taken) {
    this->RemoveLoad();
    this->chain = std::move(next);
    this->AddLoad();
  } else if (*this->moved_at >= this->last_event_at) {
    this->ReplaceSilentTry();
  }
}

void Exchange::ReplaceSilentTry() {
  if (!this->MayRepeat() || this->tries_run + 1 >= this->route->max_attempts ||
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
      {{"request", this->facts.attempt_id},
       {"peer", this->server->record.id},
       {"chain", ChainText(this->chain)},
       {"step", step},
       {"silent_ms", MillisText(this->relay.Now() - this->last_event_at)}});
  if (this->chain) {
    this->SuspectChain(this->last_event_at);
  }
  std::vector<std::string> avoided = this->excluded;
  if (!this->chain) {
    avoided.push_back(this->server->record.id);
  }
  Target target = this->ChooseTarget(avoided);
  if (target.server == nullptr ||
      !this->relay.allowance.TryTake(this->service->name, this->relay.Now())) {
    this->progress_timer.Start(this->relay.Now() + kLongestGap,
                               [this] { this->CheckProgress(); });
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
