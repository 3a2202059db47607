// Answers of servers within an exchange: what is passed on and what is tried
// again.
#include <algorithm>
#include <chrono>
#include <utility>

#include "relay/exchange.h"
#include "relay/leaving_handler.h"
#include "relay/log_text.h"
#include "relay/status.h"

namespace qp::relay {

namespace {

/// Status with which a server turns a request away for now.
constexpr unsigned kUnavailableStatus = 503;
/// Status of a server that is not the one that the request names.
constexpr unsigned kWrongServerStatus = 421;
constexpr unsigned kFirstServerError = 500;

}  // namespace

void Exchange::OnServerMetadata(unsigned status,
                                const ResponseMetadata& answer) {
  Server& told = *this->server;
  if (answer.running) {
    told.reported_busy = *answer.running + answer.waiting.value_or(0);
    told.reported_at = this->relay.Now();
  }
  if (answer.leaving) {
    MarkLeaving(this->relay, told, this->metadata.attempt_id);
  }
  if (status == kUnavailableStatus && answer.retry_after) {
    told.RecordPause(this->relay.Now(), *answer.retry_after);
    this->relay.events.Record(EventId::kServerPaused,
                              {{"server", told.record.id},
                               {"request", this->metadata.attempt_id},
                               {"ms", FormatMillis(*answer.retry_after)}});
  }
}

void Exchange::OnResponse(ResponseHead received) {
  this->head = std::move(received);
  if (this->IsStream()) {
    return;
  }
  this->progress_timer.Cancel();
  switch (this->ReadVerdict()) {
    case Verdict::kForward:
      return;  // Once its body has come.
    case Verdict::kNotExecuted:
      this->HandleNotExecuted();
      return;
    case Verdict::kUnsigned:
      this->DropResponse(false);
      this->excluded.push_back(this->server->record.id);
      this->FailTry(true, "the answer is not signed");
      return;
    case Verdict::kRetry:
      this->DropResponse(false);
      this->excluded.push_back(this->server->record.id);
      this->FailTry(true, "failed with " + std::to_string(this->head->status));
      return;
    case Verdict::kConceal:
      this->DropResponse(this->head->status < kFirstServerError);
      this->may_have_run = true;
      this->GiveUp("the server failed");
      return;
  }
}

Exchange::Verdict Exchange::ReadVerdict() const {
  const unsigned status = this->head->status;
  const ResponseMetadata& answer = this->head->metadata;
  const bool refused =
      status == kWrongServerStatus ||
      (answer.not_executed && (IsRefusal(status) || status == 400));
  if (refused) {
    return Verdict::kNotExecuted;
  }
  if (IsSuccess(status) && !answer.is_signed) {
    return Verdict::kUnsigned;
  }
  const bool may_repeat =
      this->MayRetry() && this->tries_run + 1 < this->route->max_attempts;
  if (status >= kFirstServerError && may_repeat) {
    return Verdict::kRetry;
  }
  // Only a server that says so has not run the request, and a stream that has
  // begun can't become another answer.
  return IsRefusal(status) || this->response_begun ? Verdict::kConceal
                                                   : Verdict::kForward;
}

void Exchange::DropResponse(bool good) {
  this->call->Discard();
  this->EndTry(good);
}

void Exchange::HandleNotExecuted() {
  const unsigned status = this->head->status;
  const ResponseMetadata& answer = this->head->metadata;
  const ServerPtr culprit =
      answer.failed_address.empty()
          ? nullptr
          : this->relay.servers.FindByAddress(answer.failed_address);
  const ServerPtr refuser = culprit != nullptr ? culprit : this->server;
  this->DropResponse(true);
  this->RecordRefusal(*refuser, status);
  if (status == kUnavailableStatus && answer.retry_after) {
    refuser->RecordPause(this->relay.Now(), *answer.retry_after);
  }
  this->excluded.push_back(refuser->record.id);
  this->FailTry(false, "refused with " + std::to_string(status));
}

bool Exchange::IsStream() const {
  return this->route->streaming && this->head->metadata.is_signed &&
         IsSuccess(this->head->status);
}

void Exchange::OnBody(std::string_view bytes) {
  if (this->IsStream()) {
    this->splitter.Append(bytes);
    this->HandleEvents();
    if (this->splitter.partial_bytes() >
        this->relay.response_limits.event_bytes) {
      this->FailResponse("an event is too long");
      return;
    }
  } else if (this->response_begun) {
    this->sink.Write(SerializeChunk(bytes));
  } else {
    this->body.append(bytes);
    if (this->body.size() > this->relay.response_limits.buffered_bytes) {
      this->BeginResponse();
      this->sink.Write(SerializeChunk(std::exchange(this->body, {})));
    }
  }
  this->SlowDownServer();
}

void Exchange::SlowDownServer() {
  if (this->call != nullptr &&
      this->sink.unsent() > this->relay.response_limits.unsent_bytes) {
    this->slowed_down = true;
    this->progress_timer.Cancel();
    this->call->Pause();
  }
}

void Exchange::OnSinkWritten() {
  if (this->call == nullptr || !std::exchange(this->slowed_down, false)) {
    return;
  }
  // The silence was the caller's.
  this->last_event_at = this->relay.Now();
  if (this->route->streaming) {
    this->WatchProgress();
  }
  this->call->Resume();
}

void Exchange::HandleEvents() {
  std::string chunk;
  bool progress = false;
  while (auto event = this->splitter.Next()) {
    if (event->id && this->last_event_id &&
        *event->id <= *this->last_event_id) {
      continue;
    }
    if (event->id) {
      this->last_event_id = event->id;
    }
    // Comments keep a connection open; they are no sign of work.
    progress = progress || event->has_data;
    chunk.append(event->bytes);
  }
  if (chunk.empty()) {
    return;
  }
  if (progress) {
    this->RecordEvents();
  }
  this->BeginResponse();
  this->sink.Write(SerializeChunk(chunk));
}

void Exchange::RecordEvents() {
  const TimePoint now = this->relay.Now();
  if (this->passed_event_at) {
    this->max_gap = std::max(this->max_gap, now - *this->passed_event_at);
  } else {
    this->first_event_after = now - this->arrived;
  }
  this->passed_event_at = now;
  this->last_event_at = now;
  const bool first = !std::exchange(this->try_has_events, true);
  if (first) {
    this->WatchProgress();
  }
  for (const auto& stage :
       this->chain ? this->chain->stages : std::vector<ChainStage>{}) {
    stage.server->RecordProgress(now);
    if (first) {
      stage.server->RecordAccepted(this->try_began);
    }
  }
}

void Exchange::BeginResponse() {
  if (std::exchange(this->response_begun, true)) {
    return;
  }
  if (this->route->streaming) {
    this->relay.metrics.Observe("quetzalpost_first_event_seconds",
                                this->relay.Now() - this->arrived);
  }
  this->sink.Write(SerializeChunkedHead(this->head->status, this->head->headers,
                                        this->sink.keeps_open()));
}

void Exchange::OnComplete() {
  if (this->IsStream()) {
    this->CompleteStream();
    return;
  }
  this->EndTry(this->head->status < kFirstServerError);
  if (this->response_begun) {
    this->sink.Write(kLastChunk);
  } else {
    this->sink.Write(SerializeResponse(this->head->status, this->head->headers,
                                       this->body, this->sink.keeps_open()));
  }
  const unsigned status = this->head->status;
  this->LogFinished(IsSuccess(status) ? "served" : "server_failed",
                    std::to_string(status));
  this->sink.Finish();
}

void Exchange::CompleteStream() {
  if (this->splitter.partial_bytes() > 0) {
    this->EndTry(false);
    this->FailTry(true, "the stream ended inside of an event");
    return;
  }
  this->EndTry(true);
  this->BeginResponse();
  this->sink.Write(kLastChunk);
  this->LogFinished("served", "");
  this->sink.Finish();
}

void Exchange::FailResponse(std::string detail) {
  this->call->Cancel();
  CallFailure failure;
  failure.may_have_run = true;
  failure.error = {ErrorCode::kProtocol, "upstream.answer",
                   this->server->record.address, std::move(detail)};
  this->OnFailure(std::move(failure));
}

void Exchange::RecordRefusal(Server& refuser, unsigned status) {
  if (this->chain) {
    refuser.RecordRefusal(this->relay.Now(), this->try_began);
  }
  this->relay.events.Record(
      EventId::kRelayAttemptFailed,
      {{"request", this->metadata.attempt_id},
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

void Exchange::OnFailure(CallFailure failure) {
  this->EndTry(false);
  const ServerPtr target = this->server;
  this->relay.events.Record(EventId::kRelayAttemptFailed,
                            {{"request", this->metadata.attempt_id},
                             {"peer", target->record.id},
                             {"step", failure.error.step},
                             {"detail", failure.error.detail},
                             {"tries", std::to_string(this->tries)}});
  if (!failure.was_reused) {
    if (this->chain && failure.may_have_run) {
      this->SuspectChain(this->last_event_at);
    } else {
      target->RecordFailure(this->relay.Now());
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

}  // namespace qp::relay
