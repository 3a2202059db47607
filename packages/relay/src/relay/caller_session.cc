#include "relay/caller_session.h"

#include <algorithm>
#include <boost/beast/http.hpp>
#include <exception>
#include <utility>

#include "relay/callers/request_access.h"
#include "relay/callers/request_cost.h"
#include "relay/responses.h"

namespace qp::relay {

namespace beast = boost::beast;

CallerSession::CallerSession(RelayContext& context, Channel::Socket socket,
                             SessionOwner& session_owner)
    : relay(context),
      owner(session_owner),
      channel(std::make_shared<Channel>(std::move(socket))),
      request_holding(context.input_budget, *this),
      pipelined_holding(context.input_budget, *this),
      answer_holding(context.input_budget, *this),
      read_timer(context.timers) {}

void CallerSession::Start() {
  this->opened_at = this->relay.Now();
  this->PrepareForRequest();
  this->channel->SetReader(this);
}

bool CallerSession::IsIdle() const {
  const bool awaits_first_request =
      !this->has_served &&
      this->relay.Now() < this->opened_at + kFirstRequestTimeout;
  return !this->closed && !this->finishing && this->exchange == nullptr &&
         this->input.empty() && !this->request_begun && !awaits_first_request &&
         this->channel->unsent() == 0 && !this->channel->has_input();
}

const CallerLimits& CallerSession::Limits() const {
  static const CallerLimits kDefaults;
  return this->relay.active_configuration == nullptr
             ? kDefaults
             : this->relay.active_configuration->configuration.limits;
}

void CallerSession::PrepareForRequest() {
  this->parser.emplace();
  this->head.reset();
  this->head_bytes = 0;
  this->head_checked = false;
  this->refused = false;
  this->running_bytes = 0;
  this->request_begun = false;
  this->continue_sent = false;
  this->response_begun = false;
  this->close_announced = false;
  this->idle_since = this->relay.Now();
  this->WaitForCaller(this->idle_since + this->Limits().idle_timeout);
}

void CallerSession::BeginRequest() {
  const CallerLimits& limits = this->Limits();
  this->parser->header_limit(limits.max_header_bytes);
  this->parser->body_limit(limits.max_body_bytes);
  this->request_begun = true;
  this->request_begun_at = this->relay.Now();
  this->WaitForCaller(this->request_begun_at + limits.header_timeout);
}

void CallerSession::WaitForCaller(TimePoint due) {
  this->read_due = due;
  this->read_timer.Start(due, [this] {
    if (this->request_begun) {
      this->Reject(408, "the request took too long");
    } else {
      this->Close("the connection was idle for too long");
    }
  });
}

void CallerSession::ApplyTimeouts() {
  if (this->closed || this->finishing || this->exchange != nullptr) {
    return;
  }
  const CallerLimits& limits = this->Limits();
  const TimePoint since =
      this->request_begun ? this->request_begun_at : this->idle_since;
  const Duration timeout =
      this->request_begun ? limits.header_timeout : limits.idle_timeout;
  this->WaitForCaller(
      since + timeout >= this->read_due
          ? since + timeout
          : std::min(this->read_due, this->relay.Now() + timeout));
}

void CallerSession::OnBytes(std::string_view bytes) {
  const auto self = this->shared_from_this();
  if (this->finishing) {
    return;
  }
  try {
    this->HandleBytes(bytes);
  } catch (const std::exception& failure) {
    // An exception for one caller's input must not end the process and with it
    // the requests of all callers.
    this->relay.events.Record(
        EventId::kRelayRequestFinished,
        {{"outcome", "aborted"}, {"why", failure.what()}});
    this->Close(failure.what());
  }
}

void CallerSession::OnWritten() {
  const auto self = this->shared_from_this();
  this->answer_holding.Release();
  if (this->finishing) {
    this->CloseOrLinger();
  } else if (this->exchange != nullptr) {
    this->exchange->OnSinkWritten();
  } else {
    // The next request waited until the caller had read the last response.
    this->channel->Resume();
    this->ParseInput();
  }
}

void CallerSession::HandleBytes(std::string_view bytes) {
  this->input.append(bytes);
  this->ParseInput();
  if (!this->request_begun || this->exchange != nullptr) {
    if (this->input.size() > kMaxPipelinedBytes) {
      this->channel->Pause();
    }
  }
}

void CallerSession::ParseInput() {
  if (std::exchange(this->parsing, true)) {
    return;
  }
  // Dispatch can finish a request before it returns. Finish then calls this
  // function again, which returns at once, and this loop parses the next
  // request.
  while (!this->closed && !this->finishing && this->exchange == nullptr &&
         !this->input.empty()) {
    if (!this->request_begun) {
      if (this->channel->unsent() > this->relay.response_limits.unsent_bytes) {
        break;  // OnWritten continues.
      }
      this->BeginRequest();
    }
    boost::system::error_code failure;
    const std::size_t consumed = this->parser->put(
        asio::buffer(this->input.data(), this->input.size()), failure);
    this->input.erase(0, consumed);
    if (failure == beast::http::error::body_limit) {
      this->Reject(413, "the body is too long");
      break;
    }
    if (failure == beast::http::error::header_limit) {
      this->Reject(431, "the headers are too long");
      break;
    }
    if (failure && failure != beast::http::error::need_more) {
      this->Reject(400, "the request cannot be read");
      break;
    }
    const bool head_taken = this->TakeHead();
    if (this->refused) {
      this->DiscardBody();
    }
    if (this->parser->is_done()) {
      if (this->refused) {
        this->PrepareForRequest();
      } else {
        this->Dispatch();
      }
      continue;
    }
    if (head_taken && !this->input.empty()) {
      continue;  // The parser has stopped behind the head.
    }
    // What the parser leaves of a body is a chunk line or trailers.
    if (this->head && this->input.size() > this->Limits().max_header_bytes) {
      this->Reject(431, "a chunk line or the trailers are too long");
      break;
    }
    const bool needs_input = consumed == 0 || failure || this->input.empty();
    if (needs_input && this->RefuseByHead()) {
      break;
    }
    this->SendContinueIfExpected();
    if (consumed == 0 || failure) {
      break;
    }
  }
  this->parsing = false;
  this->UpdateRequestHolding();
}

bool CallerSession::TakeHead() {
  if (this->head || !this->parser->is_header_done()) {
    return false;
  }
  this->head.emplace(std::move(this->parser->get().base()));
  this->head_bytes = HeaderBytes(*this->head);
  this->parser->eager(true);
  return true;
}

bool CallerSession::RefuseByHead() {
  if (!this->head || std::exchange(this->head_checked, true) ||
      this->relay.active_configuration == nullptr ||
      this->relay.configuration_unconfirmed) {
    return false;
  }
  const http::Request request(*this->head, std::string());
  const RequestAccess access =
      CheckAccess(this->relay.protocol.ParseRequest(request),
                  *this->relay.active_configuration);
  // A refusal with a Retry-After can be untrue by the end of the request.
  if (!access.refusal || access.refusal->retry_after) {
    return false;
  }
  const LocalReply& refusal = *access.refusal;
  // A caller that waits for "100 Continue" may leave out the body.
  if (!request.keep_alive() || this->relay.draining ||
      this->ExpectsContinue()) {
    this->Reject(refusal.status, refusal.reason);
    return true;
  }
  this->RecordRejection(refusal.status, refusal.reason);
  this->channel->Write(SerializeLocalReply(refusal, true));
  this->UpdateAnswerHolding();
  this->refused = true;
  this->has_served = true;
  this->head.emplace();
  this->head_bytes = 0;
  this->DiscardBody();
  return true;
}

void CallerSession::DiscardBody() {
  std::string& body = this->parser->get().body();
  body.clear();
  body.shrink_to_fit();
}

bool CallerSession::ExpectsContinue() const {
  const auto expect = this->head->find(beast::http::field::expect);
  return expect != this->head->end() &&
         beast::iequals(expect->value(), "100-continue");
}

void CallerSession::SendContinueIfExpected() {
  if (!this->parser->is_header_done() || this->continue_sent) {
    return;
  }
  if (this->ExpectsContinue()) {
    this->continue_sent = true;
    this->channel->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void CallerSession::Dispatch() {
  this->read_timer.Cancel();
  auto message = this->parser->release();
  http::Request request(std::move(*this->head), std::move(message.body()));
  this->running_bytes = SendingBytes(
      this->head_bytes, request.body().capacity(), request.body().size());
  if (!this->request_holding.Pin(this->running_bytes)) {
    this->RefuseForMemory();
    return;
  }
  this->keep_alive = request.keep_alive();
  this->kept_bytes = this->head_bytes + request.body().capacity();
  this->head_bytes = 0;  // A part of the bytes of the running request now.
  this->exchange = std::make_unique<Exchange>(this->relay, std::move(request),
                                              this->request_begun_at, *this);
  this->exchange->Start();
}

void CallerSession::Write(std::string_view bytes) {
  if (!std::exchange(this->response_begun, true)) {
    this->close_announced = !this->keeps_open();
    // The server has read the request; only what a retry needs is left.
    this->running_bytes = std::min(this->running_bytes, this->kept_bytes);
    this->UpdateRequestHolding();
  }
  this->channel->Write(bytes);
  this->UpdateAnswerHolding();
}

bool CallerSession::keeps_open() const {
  // Input that has already arrived is served before the connection closes.
  return this->keep_alive && (!this->relay.draining || !this->input.empty() ||
                              this->channel->has_input());
}

void CallerSession::Finish() {
  const auto self = this->shared_from_this();
  // A caller that was not told of the close can have sent its next request.
  const bool keep_open = this->keep_alive && !this->close_announced;
  this->last_request_id = this->exchange->id();
  this->exchange.reset();
  this->request_holding.Release();
  this->has_served = true;
  if (!keep_open) {
    this->CloseAfterWrites(this->channel->has_input());
    return;
  }
  this->PrepareForRequest();
  this->channel->Resume();
  this->ParseInput();
}

void CallerSession::Abort() { this->Close("the response was aborted"); }

void CallerSession::Close(std::string_view why) {
  if (std::exchange(this->closed, true)) {
    return;
  }
  const auto self = this->shared_from_this();
  this->read_timer.Cancel();
  if (this->exchange == nullptr && this->channel->unsent() > 0) {
    this->relay.events.Record(
        EventId::kResponseTruncated,
        {{"request", this->last_request_id},
         {"why", std::string(why)},
         {"unsent_bytes", std::to_string(this->channel->unsent())}});
  }
  this->exchange.reset();
  this->request_holding.Release();
  this->pipelined_holding.Release();
  this->answer_holding.Release();
  this->channel->Close();
  this->owner.OnSessionClosed(this);
}

void CallerSession::CloseForStop() {
  if (this->closed) {
    return;
  }
  if (this->exchange != nullptr) {
    this->exchange->CancelForStop();
  } else if (this->request_begun && !this->finishing && !this->refused) {
    this->RecordCutRequest(
        "the process stopped before the request had arrived whole");
  } else if (!this->finishing &&
             (!this->input.empty() || this->channel->has_input())) {
    this->RecordCutRequest("the process stopped before the request was read");
  }
  this->Close("the process stopped");
}

void CallerSession::RecordCutRequest(std::string_view why) {
  this->relay.metrics.Count("quetzalpost_requests_total", "aborted");
  this->relay.events.Record(EventId::kRelayRequestFinished,
                            {{"request", this->ArrivingRequestId()},
                             {"outcome", "aborted"},
                             {"why", std::string(why)}});
}

std::string CallerSession::ArrivingRequestId() const {
  if (!this->request_begun || !this->head) {
    return {};
  }
  const http::Request request(*this->head, std::string());
  return this->relay.protocol.ParseRequest(request).attempt_id;
}

void CallerSession::Reject(unsigned status, std::string_view why,
                           std::optional<Duration> retry_after) {
  const auto self = this->shared_from_this();
  if (!this->refused) {  // Otherwise its response has been written.
    this->RecordRejection(status, why);
    this->channel->Write(
        SerializeLocalReply({status, why, retry_after}, false));
  }
  this->parser.reset();
  this->head.reset();
  this->request_holding.Release();
  this->CloseAfterWrites(true);
}

void CallerSession::RecordRejection(unsigned status, std::string_view why) {
  this->relay.metrics.Count("quetzalpost_requests_total",
                            std::to_string(status));
  this->relay.events.Record(EventId::kRelayRequestFinished,
                            {{"request", this->ArrivingRequestId()},
                             {"outcome", std::to_string(status)},
                             {"why", std::string(why)}});
}

void CallerSession::CloseAfterWrites(bool linger) {
  this->finishing = true;
  this->input.clear();
  this->input.shrink_to_fit();
  this->pipelined_holding.Release();
  this->linger_after_writes = linger;
  this->channel->Resume();
  if (this->channel->unsent() == 0) {
    this->CloseOrLinger();
    return;
  }
  this->read_timer.Start(this->relay.Now() + kLastWriteTimeout, [this] {
    this->Close("the caller did not read the response in time");
  });
}

void CallerSession::CloseOrLinger() {
  if (!this->linger_after_writes) {
    this->Close("the response was sent");
    return;
  }
  this->linger_after_writes = false;
  this->channel->ShutdownWrites();
  this->read_timer.Start(this->relay.Now() + kLingerTimeout,
                         [this] { this->Close("the response was sent"); });
}

void CallerSession::OnClose(const boost::system::error_code& failure) {
  const auto self = this->shared_from_this();
  const std::string why = failure
                              ? "the connection failed: " + failure.message()
                              : "the caller closed the connection";
  if (this->exchange != nullptr) {
    this->exchange->Cancel(why);
  }
  this->Close(why);
}

}  // namespace qp::relay
