// Handling of server responses: which are forwarded and which are retried.
#include <algorithm>
#include <chrono>
#include <utility>

#include "relay/exchange.h"
#include "relay/log_text.h"
#include "relay/server_notice_handler.h"
#include "relay/status.h"

namespace qp::relay {

namespace {

/// Status with which a server refuses requests temporarily.
constexpr unsigned kUnavailableStatus = 503;
/// Status with which a server answers a request whose time limit has passed.
constexpr unsigned kGatewayTimeoutStatus = 504;
/// Events after which the request has not crashed the engine. An engine can
/// have sent the first one when it crashes.
constexpr int kEventsOfSoundPrompt = 2;

}  // namespace

void Exchange::OnServerMetadata(unsigned status,
                                const ResponseMetadata& response) {
  this->RecordServerMetadata(*this->server, status, response);
}

void Exchange::RecordServerMetadata(Server& sender, unsigned status,
                                    const ResponseMetadata& response) {
  if (response.running) {
    sender.reported_busy = *response.running + response.waiting.value_or(0);
    sender.reported_at = this->relay.Now();
  }
  if (response.leaving) {
    MarkLeaving(this->relay, sender, this->metadata.attempt_id);
  }
  if (response.request_limit) {
    this->relay.limits.RecordLimit(sender, *response.request_limit,
                                   this->relay.Now());
  }
  if (status == kUnavailableStatus && response.retry_after) {
    sender.RecordPause(this->relay.Now(), *response.retry_after);
    this->relay.events.Record(EventId::kServerPaused,
                              {{"server", sender.record.id},
                               {"request", this->metadata.attempt_id},
                               {"ms", FormatMillis(*response.retry_after)}});
  }
}

void Exchange::OnResponse(ResponseHead received) {
  this->head = std::move(received);
  if (IsSuccess(this->head->status) && this->head->metadata.is_signed &&
      !this->head->metadata.request_limit) {
    this->relay.limits.RecordNoLimit(*this->server, this->relay.Now());
  }
  if (this->IsStream()) {
    return;
  }
  this->progress_timer.Cancel();
  switch (this->ClassifyResponse()) {
    case ResponseClass::kForwardable:
      return;  // Forwarded as its body arrives, see OnBody and OnComplete.
    case ResponseClass::kNotExecuted:
      this->HandleNotExecuted();
      return;
    case ResponseClass::kUnsigned:
      this->DropResponse(false);
      this->excluded.push_back(this->server->record.id);
      this->HandleFailedTry(true, "the answer is not signed");
      return;
    case ResponseClass::kRetryable:
      this->DropResponse(false);
      this->excluded.push_back(this->server->record.id);
      this->HandleFailedTry(
          true, "failed with " + std::to_string(this->head->status));
      return;
    case ResponseClass::kNotForwardable:
      this->DropResponse(this->head->status < kFirstServerError);
      this->GiveUp("the server failed");
      return;
  }
}

Exchange::ResponseClass Exchange::ClassifyResponse() const {
  const unsigned status = this->head->status;
  const ResponseMetadata& response = this->head->metadata;
  if (IsNotExecuted(*this->head)) {
    return ResponseClass::kNotExecuted;
  }
  if (IsSuccess(status) && !response.is_signed) {
    return ResponseClass::kUnsigned;
  }
  // The silent try can still bring a better answer.
  const bool may_retry =
      this->silent_try != nullptr ||
      (this->MayRetry() && this->runs.count() < this->route->max_attempts);
  if (status >= kFirstServerError && may_retry) {
    return ResponseClass::kRetryable;
  }
  // A refusal that does not state that the request has not run must not reach
  // the caller, because the request may have run. Once a response has begun, no
  // other response can be forwarded in its place.
  return IsRefusal(status) || this->response_begun
             ? ResponseClass::kNotForwardable
             : ResponseClass::kForwardable;
}

void Exchange::DropResponse(bool succeeded) {
  this->call->Discard();
  this->EndTry(succeeded);
}

void Exchange::HandleNotExecuted() {
  const unsigned status = this->head->status;
  const ResponseMetadata& response = this->head->metadata;
  const ServerPtr failed_engine =
      response.failed_address.empty()
          ? nullptr
          : this->relay.servers.FindByAddress(response.failed_address);
  const ServerPtr refuser =
      failed_engine != nullptr ? failed_engine : this->server;
  this->DropResponse(true);
  this->RecordRefusal(*refuser, status);
  if (status == kUnavailableStatus && response.retry_after) {
    refuser->RecordPause(this->relay.Now(), *response.retry_after);
  }
  this->excluded.push_back(refuser->record.id);
  this->HandleFailedTry(false, "refused with " + std::to_string(status));
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
    if (this->body.size() > this->relay.response_limits.buffered_bytes ||
        !this->body_part.Resize(this->body.capacity())) {
      this->BeginResponse();
      this->sink.Write(SerializeChunk(std::exchange(this->body, {})));
      this->body_part.Release();
    }
  }
  this->ApplyBackpressure();
}

void Exchange::ApplyBackpressure() {
  if (this->call != nullptr &&
      this->sink.unsent() > this->relay.response_limits.unsent_bytes) {
    this->reading_paused = true;
    this->progress_timer.Cancel();
    this->call->Pause();
  }
}

void Exchange::OnSinkWritten() {
  if (this->call == nullptr || !std::exchange(this->reading_paused, false)) {
    return;
  }
  // The pause does not count as silence of the server, because the slow caller
  // caused it.
  this->last_progress_at = this->relay.Now();
  if (this->route->streaming) {
    this->StartProgressTimeout();
  }
  this->call->Resume();
}

void Exchange::HandleEvents() {
  std::string chunk;
  bool progress = false;
  while (auto event = this->splitter.Next()) {
    if (this->IsForwarded(*event)) {
      continue;
    }
    if (event->id) {
      this->last_event_id = event->id;
    }
    // Comments only keep the connection open and do not count as progress.
    progress = progress || event->has_data;
    this->data_events += event->has_data ? 1 : 0;
    chunk.append(event->bytes);
  }
  if (chunk.empty()) {
    return;
  }
  if (progress) {
    this->RecordEvents();
  }
  if (this->data_events >= kEventsOfSoundPrompt) {
    this->RecordPromptStart();
  }
  this->BeginResponse();
  this->sink.Write(SerializeChunk(chunk));
}

void Exchange::RecordEvents() {
  this->DropSilentTry();
  const TimePoint now = this->relay.Now();
  if (this->last_forwarded_event_at) {
    this->max_event_gap =
        std::max(this->max_event_gap, now - *this->last_forwarded_event_at);
  } else {
    this->time_to_first_event = now - this->arrived;
  }
  this->last_forwarded_event_at = now;
  this->last_progress_at = now;
  const bool first = !std::exchange(this->try_has_events, true);
  if (first) {
    this->StartProgressTimeout();
  }
  for (const auto& stage :
       this->chain ? this->chain->stages : std::vector<ChainStage>{}) {
    stage.server->RecordProgress(now);
    if (first) {
      stage.server->RecordAccepted(this->try_started_at);
    }
  }
}

void Exchange::BeginResponse() {
  if (std::exchange(this->response_begun, true)) {
    return;
  }
  this->RecordChosenAnswer(false);
  this->DropSilentTry();
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
  this->RecordChosenAnswer(true);
  this->DropSilentTry();
  // A server that signs an error has not crashed either, but a time limit can
  // have passed before the request ran.
  if (this->head->metadata.is_signed && !IsUnframed(*this->head) &&
      this->head->status != kGatewayTimeoutStatus) {
    this->RecordPromptStart();
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
  const bool unframed = IsUnframed(*this->head);
  const char* broken = nullptr;
  if (this->splitter.partial_bytes() > 0) {
    broken = "the stream ended inside of an event";
  } else if (unframed && !this->try_has_events) {
    // A server that stops before its first event closes the connection too.
    broken = "the stream ended before its first event";
  }
  if (broken != nullptr) {
    this->EndTry(false);
    this->ProbeForCrash(this->server, this->try_started_at);
    this->HandleFailedTry(true, broken);
    return;
  }
  this->DropSilentTry();
  if (!unframed) {
    this->RecordPromptStart();
  }
  this->EndTry(true);
  if (!this->metadata.last_event_id) {
    this->relay.stream_durations.Record(this->service->name,
                                        this->metadata.output_tokens,
                                        this->relay.Now() - this->arrived);
  }
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
    refuser.RecordRefusal(this->relay.Now(), this->try_started_at);
  }
  this->relay.events.Record(
      EventId::kRelayAttemptFailed,
      {{"request", this->metadata.attempt_id},
       {"peer", refuser.record.id},
       {"fingerprint", this->fingerprint},
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

void Exchange::LogFailedTry(const Server& target, const Error& error,
                            bool begun) {
  this->relay.events.Record(
      EventId::kRelayAttemptFailed,
      {{"request", this->metadata.attempt_id},
       {"peer", target.record.id},
       {"fingerprint", this->fingerprint},
       {"step", error.step},
       {"detail", error.detail},
       {"begun", begun ? "true" : "false"},
       {"parts", FormatParts(this->metadata.shared_parts)},
       {"tries", std::to_string(this->tries)}});
}

void Exchange::OnFailure(CallFailure failure) {
  this->EndTry(false);
  const ServerPtr target = this->server;
  this->LogFailedTry(*target, failure.error, this->try_has_events);
  if (failure.may_have_run) {
    this->ProbeForCrash(target, this->try_started_at);
  }
  // A pooled connection can end because the server closes idle ones, which is
  // no failure of the server.
  if (!failure.was_reused) {
    if (this->chain && failure.may_have_run) {
      this->SuspectSilentEngines(this->last_progress_at);
    } else {
      target->RecordFailure(this->relay.Now());
    }
    this->excluded.push_back(target->record.id);
  }
  this->HandleFailedTry(failure.may_have_run, failure.error.detail);
}

}  // namespace qp::relay
