#include "relay/silent_try.h"

#include <utility>

#include "relay/hedging/exchange_hedge.h"
#include "relay/status.h"

namespace qp::relay {

Exchange::SilentTry::SilentTry(Exchange& owner, bool is_hedged)
    : exchange(owner),
      hedged(is_hedged),
      number(owner.try_number),
      call(std::move(owner.call)),
      server(owner.server),
      chain(owner.chain),
      load(std::move(owner.load)),
      started_at(owner.try_started_at),
      last_progress_at(owner.last_progress_at),
      has_events(owner.try_has_events),
      head(std::move(owner.head)),
      splitter(std::exchange(owner.splitter, {})),
      pending_prompt(std::move(owner.pending_prompt)) {
  this->call->SetListener(*this);
}

Exchange::SilentTry::~SilentTry() {
  if (this->call == nullptr) {
    return;
  }
  this->call->Cancel();
  const Duration elapsed = this->exchange.relay.Now() - this->started_at;
  if (this->hedged &&
      (this->failed || this->exchange.hedge->second_won ||
       (!this->head && elapsed > this->exchange.route->latency_objective))) {
    this->server->RecordResponse(this->exchange.relay.Now(), elapsed, false);
  }
  if (!this->chain) {
    this->server->in_flight -= this->server->in_flight > 0 ? 1 : 0;
  }
}

void Exchange::SilentTry::Restore() {
  Exchange& owner = this->exchange;
  owner.try_number = this->number;
  owner.server = std::move(this->server);
  owner.chain = std::move(this->chain);
  owner.load = std::move(this->load);
  owner.try_started_at = this->started_at;
  owner.last_progress_at = this->last_progress_at;
  owner.try_has_events = this->has_events;
  owner.head = std::move(this->head);
  owner.body = std::move(this->body);
  owner.splitter = std::move(this->splitter);
  owner.reading_paused = false;
  owner.pending_prompt = std::move(this->pending_prompt);
  owner.call = std::exchange(this->call, nullptr);
  owner.call->SetListener(owner);
}

void Exchange::SilentTry::OnServerMetadata(unsigned status,
                                           const ResponseMetadata& metadata) {
  this->exchange.RecordServerMetadata(*this->server, status, metadata);
}

bool Exchange::SilentTry::IsAnswer(const ResponseHead& received) {
  return IsSuccess(received.status) ? received.metadata.is_signed
                                    : !IsRefusal(received.status) &&
                                          received.status < kFirstServerError &&
                                          !received.metadata.not_executed;
}

void Exchange::SilentTry::OnResponse(ResponseHead received) {
  const bool usable =
      this->exchange.route->streaming
          ? IsSuccess(received.status) && received.metadata.is_signed
          : IsAnswer(received);
  if (!usable) {
    if (IsNotExecuted(received)) {
      this->exchange.runs.Remove(this->number);
    }
    if (this->hedged) {
      this->exchange.excluded.push_back(this->server->record.id);
    }
    this->FailResponse(ErrorCode::kUnavailable,
                       "status " + std::to_string(received.status));
    return;
  }
  this->head = std::move(received);
}

void Exchange::SilentTry::TakeOver(bool whole) {
  Exchange& owner = this->exchange;
  ResponseHead answer = std::move(*this->head);
  const std::string bytes = std::move(this->body);
  this->head.reset();
  owner.ContinueSilentTry("the silent server has answered");
  owner.OnResponse(std::move(answer));
  if (!bytes.empty()) {
    owner.OnBody(bytes);
  }
  if (whole) {
    owner.OnComplete();
  }
}

void Exchange::SilentTry::OnBody(std::string_view bytes) {
  if (!this->exchange.route->streaming) {
    this->body.append(bytes);
    if (this->body.size() >
        this->exchange.relay.response_limits.buffered_bytes) {
      this->TakeOver(false);
    }
    return;
  }
  EventSplitter next = this->splitter;
  next.Append(bytes);
  while (const auto event = next.Next()) {
    if (event->has_data && !this->exchange.IsForwarded(*event)) {
      Exchange& owner = this->exchange;
      owner.ContinueSilentTry("the silent server has sent an event");
      owner.OnBody(bytes);
      return;
    }
  }
  if (next.partial_bytes() > this->exchange.relay.response_limits.event_bytes) {
    this->FailResponse(ErrorCode::kProtocol, "an event is too long");
    return;
  }
  this->splitter = std::move(next);
}

void Exchange::SilentTry::OnComplete() {
  if (!this->exchange.route->streaming) {
    this->TakeOver(true);
    return;
  }
  const bool whole = this->splitter.partial_bytes() == 0 &&
                     (this->has_events || !IsUnframed(*this->head));
  if (!whole) {
    this->FailResponse(ErrorCode::kUnavailable, "the stream was cut off");
    return;
  }
  Exchange& owner = this->exchange;
  owner.ContinueSilentTry("the silent server has ended the stream");
  owner.OnComplete();
}

void Exchange::SilentTry::OnFailure(CallFailure failure) {
  if (failure.may_have_run) {
    this->exchange.ProbeForCrash(this->server, this->started_at);
  } else {
    this->exchange.runs.Remove(this->number);
  }
  if (this->hedged && !failure.was_reused) {
    this->server->RecordFailure(this->exchange.relay.Now());
    this->exchange.excluded.push_back(this->server->record.id);
  }
  this->Fail(failure.error);
}

void Exchange::SilentTry::FailResponse(ErrorCode code, std::string detail) {
  this->Fail(
      {code, "silent.answer", this->server->record.address, std::move(detail)});
}

void Exchange::SilentTry::Fail(const Error& error) {
  this->exchange.LogFailedTry(*this->server, error, this->has_events);
  this->failed = this->exchange.runs.Contains(this->number);
  this->exchange.DropSilentTry();
}

}  // namespace qp::relay
