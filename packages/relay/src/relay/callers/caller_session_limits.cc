#include <boost/beast/http.hpp>
#include <string>

#include "relay/caller_session.h"
#include "relay/callers/request_cost.h"

// What a session holds, and how it makes room for others.

namespace qp::relay {

namespace {

/// Capacity of the input buffer that an idle connection may keep, in bytes.
constexpr std::size_t kKeptInputBytes = 1024;

/// Frees the memory that `text` does not need, if it is much.
void Trim(std::string& text) {
  if (text.capacity() > kKeptInputBytes && text.capacity() / 2 > text.size()) {
    // Assigning a short string would keep the memory.
    text.shrink_to_fit();
  }
}

}  // namespace

void CallerSession::UpdateRequestHolding() {
  if (this->closed || this->finishing) {
    return;
  }
  Trim(this->input);
  const bool keeps_input = this->input.capacity() > kKeptInputBytes;
  if (this->exchange != nullptr) {
    // Smaller than at the start of the exchange, so that it succeeds.
    (void)this->request_holding.Pin(this->running_bytes);
    // Only the request itself is worth its place: input behind it would let
    // callers with running requests use up the budget.
    if (!this->pipelined_holding.Resize(keeps_input ? this->input.capacity()
                                                    : 0)) {
      this->CloseLater("pipelined_input");
    }
    return;
  }
  this->pipelined_holding.Release();
  std::size_t bytes = this->head_bytes;
  if (keeps_input || this->request_begun) {
    bytes += this->input.capacity();
  }
  if (this->request_begun && this->parser) {
    bytes += this->parser->get().body().capacity() +
             HeaderBytes(this->parser->get());
  }
  if (this->request_holding.Resize(bytes)) {
    return;
  }
  if (this->request_begun) {
    this->RefuseForMemory();
  } else {
    this->CloseLater("pipelined_input");
  }
}

void CallerSession::UpdateAnswerHolding() {
  const std::size_t bytes =
      this->channel->unsent() > 0 ? this->channel->buffer_bytes() : 0;
  if (!this->answer_holding.Resize(bytes)) {
    this->CloseLater("unread_response");
  }
}

void CallerSession::CountRefusal(std::string_view reason) {
  this->relay.refusals.Count(reason);
  this->relay.metrics.Count("quetzalpost_clients_refused_total", reason);
}

void CallerSession::RefuseForMemory() {
  this->CountRefusal("arriving_request");
  this->Reject(503, "too much is arriving at once", kMemoryRetryAfter);
}

void CallerSession::CloseLater(std::string_view reason) {
  this->CountRefusal(reason);
  asio::post(this->relay.io, [weak = this->weak_from_this()] {
    const auto self = weak.lock();
    if (self == nullptr || self->closed) {
      return;
    }
    if (self->exchange != nullptr) {
      self->exchange->Cancel("memory for callers ran out");
    }
    self->Close("memory for callers ran out");
  });
}

void CallerSession::GiveWay(InputHolding& holding) {
  if (this->closed || this->finishing) {
    return;
  }
  if (&holding == &this->answer_holding) {
    this->CloseLater("unread_response");
  } else if (&holding == &this->pipelined_holding) {
    this->CloseLater("pipelined_input");
  } else if (this->request_begun) {
    this->RefuseForMemory();
  } else {
    this->CloseLater("pipelined_input");
  }
}

ConnectionState CallerSession::State() const {
  if (this->finishing) {
    return {ConnectionUse::kAnswered, this->idle_since};
  }
  if (this->exchange != nullptr) {
    return {ConnectionUse::kBusy, this->request_begun_at};
  }
  if (this->request_begun) {
    return {ConnectionUse::kArriving, this->request_begun_at};
  }
  return {this->channel->unsent() > 0 ? ConnectionUse::kUnread
                                      : ConnectionUse::kIdle,
          this->idle_since};
}

void CallerSession::CloseForOthers() {
  const auto self = this->shared_from_this();
  const bool arriving = this->request_begun && !this->finishing;
  this->CountRefusal(arriving ? "connections_arriving" : "connections_idle");
  if (arriving) {
    this->Reject(503, "too many connections are open", kMemoryRetryAfter);
  }
  this->Close("the connection made room for another one");
}

}  // namespace qp::relay
