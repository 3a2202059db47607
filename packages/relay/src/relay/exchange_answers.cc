// Answers of servers within an exchange: what is passed on, what is tried
// again and what a silent stream means.
#include <algorithm>
#include <chrono>
#include <utility>

#include "relay/exchange.h"
#include "relay/log_text.h"
#include "relay/status.h"

namespace qp::relay {

namespace {

using std::chrono::milliseconds;

/// Longest wait for the first event of a stream: half as long again as the
/// latency objective, at least this. Callers leave after four objectives.
constexpr Duration kLeastFirstEvent = milliseconds(700);
constexpr double kFirstEventObjectives = 1.6;
/// Longest silence in a stream. Callers leave after a gap of 2 s; a gap of
/// 200 ms makes the answer late.
constexpr Duration kLongestGap = milliseconds(600);
/// Longest wait for the next event of a stream that was to go on over other
/// engines: they read some thousand tokens, at a hundred a millisecond and
/// slowed by other work. With the gap before it, callers still wait.
constexpr Duration kMoveBound = milliseconds(700);

}  // namespace

void Exchange::OnResponse(ResponseHead received) {
  const ResponseFacts& answer = received.facts;
  if (answer.running) {
    this->server->reported_busy = *answer.running + answer.waiting.value_or(0);
    this->server->reported_at = this->relay.Now();
  }
  this->head = std::move(received);
}

bool Exchange::IsStream() const {
  return this->route->streaming && this->head->facts.is_signed &&
         IsSuccess(this->head->status);
}

void Exchange::OnBody(std::string_view bytes) {
  if (!this->IsStream()) {
    this->body.append(bytes);
    return;
  }
  this->splitter.Append(bytes);
  this->HandleEvents();
}

void Exchange::HandleEvents() {
  std::string chunk;
  while (auto event = this->splitter.Next()) {
    if (event->id && this->last_event_id &&
        *event->id <= *this->last_event_id) {
      continue;
    }
    if (event->id) {
      this->last_event_id = event->id;
    }
    chunk.append(event->bytes);
  }
  if (chunk.empty()) {
    return;
  }
  const TimePoint now = this->relay.Now();
  this->last_event_at = now;
  const bool first = !std::exchange(this->try_has_events, true);
  if (first) {
    this->WatchStream();
  }
  for (const auto& stage :
       this->chain ? this->chain->stages : std::vector<ChainStage>{}) {
    stage.server->NoteProgress(now);
    if (first) {
      stage.server->NoteAccepted(this->try_began);
    }
  }
  this->BeginStream();
  this->sink.Write(WriteChunk(chunk));
}

void Exchange::BeginStream() {
  if (std::exchange(this->stream_begun, true)) {
    return;
  }
  this->relay.metrics.Observe("quetzalpost_first_event_seconds",
                              this->relay.Now() - this->arrived);
  this->sink.Write(WriteChunkedHead(this->head->status, this->head->headers,
                                    this->sink.keeps_open()));
}

void Exchange::OnComplete() {
  if (this->IsStream()) {
    this->CompleteStream();
  } else {
    this->CompletePlain();
  }
}

void Exchange::CompleteStream() {
  if (this->splitter.has_partial_event()) {
    this->EndTry(false);
    this->FailTry(true, "the stream ended inside of an event");
    return;
  }
  this->EndTry(true);
  this->BeginStream();
  this->sink.Write(kLastChunk);
  this->NoteFinished("served", "");
  this->sink.Finish();
}

void Exchange::CompletePlain() {
  const unsigned status = this->head->status;
  const bool not_executed =
      status == 421 || (IsRefusal(status) && this->head->facts.not_executed) ||
      (status == 400 && this->head->facts.not_executed);
  if (not_executed) {
    const auto& failed = this->head->facts.failed_address;
    const ServerPtr culprit =
        failed.empty() ? nullptr : this->relay.servers.FindByAddress(failed);
    const ServerPtr refuser = culprit != nullptr ? culprit : this->server;
    this->EndTry(true);
    this->NoteRefusal(*refuser, status);
    this->excluded.push_back(refuser->record.id);
    this->FailTry(false, "refused with " + std::to_string(status));
    return;
  }
  const bool success = IsSuccess(status);
  if (success && !this->head->facts.is_signed) {
    this->EndTry(false);
    this->excluded.push_back(this->server->record.id);
    this->FailTry(true, "the answer is not signed");
    return;
  }
  this->EndTry(status < 500);
  const bool retry = status >= 500 && this->MayRepeat();
  if (retry && this->tries_run + 1 < this->route->max_attempts) {
    this->excluded.push_back(this->server->record.id);
    this->FailTry(true, "failed with " + std::to_string(status));
    return;
  }
  this->ForwardAnswer();
}

void Exchange::NoteRefusal(Server& refuser, unsigned status) {
  if (this->chain) {
    refuser.NoteRefusal(this->relay.Now(), this->try_began);
  }
  this->relay.events.Record(
      EventId::kRelayAttemptFailed,
      {{"request", this->facts.attempt_id},
       {"peer", refuser.record.id},
       {"step", "upstream.refused"},
       {"status", std::to_string(status)},
       {"streams", std::to_string(refuser.in_flight)},
       {"peer_streams", std::to_string(refuser.peer_streams)},
       {"kv_token_layers",
        std::to_string(static_cast<std::int64_t>(
            refuser.kv_token_layers + refuser.peer_kv_token_layers))},
       {"layers", std::to_string(refuser.record.layers.size())},
       {"accelerator", refuser.record.accelerator}});
}

void Exchange::ForwardAnswer() {
  if (this->stream_begun) {
    this->NoteFinished("aborted", "the stream could not be resumed");
    this->sink.Abort();
    return;
  }
  const unsigned status = this->head->status;
  if (IsRefusal(status)) {
    // Only a server that says so has not run the request.
    this->Refuse({502, "the server failed", std::nullopt});
    return;
  }
  this->sink.Write(WriteResponse(status, this->head->headers, this->body,
                                 this->sink.keeps_open()));
  this->NoteFinished(IsSuccess(status) ? "served" : "server_failed",
                     std::to_string(status));
  this->sink.Finish();
}

void Exchange::OnFailure(CallFailure failure) {
  this->EndTry(false);
  const ServerPtr target = this->server;
  this->relay.events.Record(EventId::kRelayAttemptFailed,
                            {{"request", this->facts.attempt_id},
                             {"peer", target->record.id},
                             {"step", failure.error.step},
                             {"detail", failure.error.detail},
                             {"tries", std::to_string(this->tries)}});
  if (!failure.was_reused) {
    if (this->chain && failure.may_have_run) {
      this->SuspectChain(this->last_event_at);
    } else {
      target->NoteFailure(this->relay.Now());
    }
    this->excluded.push_back(target->record.id);
  }
  if (failure.was_reused) {
    // The server had closed the connection; the next try takes another one.
    this->may_have_run = true;
    this->last_failure = failure.error.detail;
    this->TryServers();
    return;
  }
  this->FailTry(failure.may_have_run, failure.error.detail);
}

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

void Exchange::WatchStream() {
  const bool begun = this->try_has_events;
  const Duration first_bound =
      std::max(kLeastFirstEvent,
               std::chrono::duration_cast<Duration>(
                   this->route->latency_objective * kFirstEventObjectives));
  this->stream_timer.Start(
      this->last_event_at + (begun ? kLongestGap : first_bound),
      [this] { this->CheckStream(); });
}

void Exchange::CheckStream() {
  const bool begun = this->try_has_events;
  if (begun && this->relay.Now() - this->last_event_at < kLongestGap) {
    this->WatchStream();
    return;
  }
  if (begun && this->TryMove()) {
    return;
  }
  this->ResumeSilentStream();
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
  this->stream_timer.Start(*this->moved_at + kMoveBound,
                           [this] { this->CheckStream(); });
  asio::co_spawn(this->relay.io,
                 this->OrderMove(std::move(*next), this->alive, this->tries),
                 asio::detached);
  return true;
}

Task<void> Exchange::OrderMove(Chain next, std::weak_ptr<int> owner,
                               int moved_try) {
  // `this` may be gone after the wait, the relay is not.
  Relay& shared = this->relay;
  const std::string id = this->facts.attempt_id;
  const std::string text = ChainText(next);
  const auto outcome = co_await shared.engines->MoveStream(id, next);
  const bool taken = outcome && outcome.value() == OrderOutcome::kAccepted;
  shared.events.Record(EventId::kRelayStreamMoved,
                       {{"request", id},
                        {"chain", text},
                        {"outcome", taken     ? "taken"
                                    : outcome ? "refused"
                                              : ToString(outcome.error())}});
  if (owner.expired() || this->call == nullptr || this->tries != moved_try) {
    co_return;
  }
  if (taken) {
    this->RemoveLoad();
    this->chain = std::move(next);
    this->AddLoad();
  } else if (*this->moved_at >= this->last_event_at) {
    this->ResumeSilentStream();
  }
}

void Exchange::ResumeSilentStream() {
  const bool begun = this->try_has_events;
  if (!this->MayRepeat() || this->tries_run + 1 >= this->route->max_attempts) {
    return;  // The deadline ends it.
  }
  const auto silent = this->call;
  this->relay.events.Record(
      EventId::kRelayAttemptFailed,
      {{"request", this->facts.attempt_id},
       {"chain", ChainText(this->chain)},
       {"step", begun ? "stream.next_event" : "stream.first_event"},
       {"silent_ms", MillisText(this->relay.Now() - this->last_event_at)}});
  silent->Cancel();
  if (this->chain) {
    this->SuspectChain(this->last_event_at);
  }
  this->EndTry(false);
  this->FailTry(true, "the stream fell silent");
}

}  // namespace qp::relay
