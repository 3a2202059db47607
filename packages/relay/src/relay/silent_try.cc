#include "relay/silent_try.h"

#include <utility>

#include "relay/status.h"

namespace qp::relay {

Exchange::SilentTry::SilentTry(Exchange& owner)
    : exchange(owner),
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
  owner.body.clear();
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

void Exchange::SilentTry::OnResponse(ResponseHead received) {
  if (!IsSuccess(received.status) || !received.metadata.is_signed) {
    this->FailResponse(ErrorCode::kUnavailable,
                       "status " + std::to_string(received.status));
    return;
  }
  if (this->exchange.route->streaming) {
    this->head = std::move(received);
    return;
  }
  Exchange& owner = this->exchange;
  if (owner.call != nullptr && owner.head) {
    owner.DropSilentTry();  // The answer of the other server is arriving.
    return;
  }
  owner.ContinueSilentTry("the silent server has answered");
  owner.OnResponse(std::move(received));
}

void Exchange::SilentTry::OnBody(std::string_view bytes) {
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
  }
  this->Fail(failure.error);
}

void Exchange::SilentTry::FailResponse(ErrorCode code, std::string detail) {
  this->Fail(
      {code, "silent.answer", this->server->record.address, std::move(detail)});
}

void Exchange::SilentTry::Fail(const Error& error) {
  this->exchange.LogFailedTry(*this->server, error, this->has_events);
  this->exchange.DropSilentTry();
}

}  // namespace qp::relay
