#include "relay/caller_session.h"

#include <boost/beast/http.hpp>
#include <exception>
#include <utility>

#include "relay/responses.h"

namespace qp::relay {

namespace beast = boost::beast;

CallerSession::CallerSession(RelayContext& shared, Channel::Socket socket,
                             SessionOwner& keeper)
    : relay(shared),
      owner(keeper),
      channel(std::make_shared<Channel>(std::move(socket))),
      read_timer(shared.timers) {}

void CallerSession::Start() {
  this->opened_at = this->relay.Now();
  this->NewRequest();
  this->channel->SetReader(this);
}

bool CallerSession::IsIdle() const {
  const bool expected = !this->has_served &&
                        this->relay.Now() < this->opened_at + kFirstRequestWait;
  return !this->closed && !this->finishing && this->exchange == nullptr &&
         this->input.empty() && !this->request_begun && !expected &&
         !this->channel->has_input();
}

const CallerLimits& CallerSession::Limits() const {
  static const CallerLimits kDefaults;
  return this->relay.active_configuration == nullptr
             ? kDefaults
             : this->relay.active_configuration->configuration.limits;
}

void CallerSession::NewRequest() {
  const CallerLimits& limits = this->Limits();
  this->parser.emplace();
  this->parser->eager(true);
  this->parser->header_limit(limits.max_header_bytes);
  this->parser->body_limit(limits.max_body_bytes);
  this->request_begun = false;
  this->continue_sent = false;
  this->response_begun = false;
  this->WaitForRequest();
}

void CallerSession::WaitForRequest() {
  this->read_timer.Start(this->relay.Now() + this->Limits().idle_timeout,
                         [this] { this->Close(); });
}

void CallerSession::OnBytes(std::string_view bytes) {
  const auto self = this->shared_from_this();
  if (this->finishing) {
    return;
  }
  try {
    this->Read(bytes);
  } catch (const std::exception& failure) {
    // One caller's bytes must not end the process with all its requests.
    this->relay.events.Record(
        EventId::kRelayRequestFinished,
        {{"outcome", "aborted"}, {"why", failure.what()}});
    this->Close();
  }
}

void CallerSession::OnWritten() {
  const auto self = this->shared_from_this();
  if (this->finishing) {
    this->EndWrites();
  } else if (this->exchange != nullptr) {
    this->exchange->OnSinkWritten();
  }
}

void CallerSession::Read(std::string_view bytes) {
  this->input.append(bytes);
  if (this->exchange != nullptr) {
    if (this->input.size() > kMaxPipelined) {
      this->channel->Pause();
    }
    return;
  }
  this->Parse();
}

void CallerSession::Parse() {
  if (std::exchange(this->parsing, true)) {
    return;
  }
  // A request may be answered while it is dispatched; the next one then lies
  // in the input already.
  while (!this->closed && !this->finishing && this->exchange == nullptr &&
         !this->input.empty()) {
    if (!std::exchange(this->request_begun, true)) {
      this->begun_at = this->relay.Now();
      this->read_timer.Start(
          this->begun_at + this->Limits().header_timeout,
          [this] { this->Reject(408, "the request took too long"); });
    }
    boost::system::error_code failure;
    const std::size_t used = this->parser->put(
        asio::buffer(this->input.data(), this->input.size()), failure);
    this->input.erase(0, used);
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
    if (this->parser->is_done()) {
      this->Dispatch();
      continue;
    }
    this->ContinueIfExpected();
    if (used == 0 || failure) {
      break;
    }
  }
  this->parsing = false;
}

void CallerSession::ContinueIfExpected() {
  if (!this->parser->is_header_done() || this->continue_sent) {
    return;
  }
  const auto expect = this->parser->get().find(beast::http::field::expect);
  if (expect != this->parser->get().end() &&
      beast::iequals(expect->value(), "100-continue")) {
    this->continue_sent = true;
    this->channel->Write("HTTP/1.1 100 Continue\r\n\r\n");
  }
}

void CallerSession::Dispatch() {
  this->read_timer.Cancel();
  auto message = this->parser->release();
  http::Request request(std::move(message.base()), std::move(message.body()));
  this->keep_alive = request.keep_alive();
  this->exchange = std::make_unique<Exchange>(this->relay, std::move(request),
                                              this->begun_at, *this);
  this->exchange->Start();
}

void CallerSession::Write(std::string_view bytes) {
  this->response_begun = true;
  this->channel->Write(bytes);
}

bool CallerSession::keeps_open() const {
  return this->keep_alive && !this->relay.draining;
}

void CallerSession::Finish() {
  const auto self = this->shared_from_this();
  const bool open = this->keeps_open();
  this->exchange.reset();
  this->has_served = true;
  if (!open) {
    this->CloseAfterWrites(this->channel->has_input());
    return;
  }
  this->NewRequest();
  this->channel->Resume();
  this->Parse();
}

void CallerSession::Abort() { this->Close(); }

void CallerSession::Close() {
  if (std::exchange(this->closed, true)) {
    return;
  }
  const auto self = this->shared_from_this();
  this->read_timer.Cancel();
  this->exchange.reset();
  this->channel->Close();
  this->owner.OnSessionClosed(this);
}

void CallerSession::Reject(unsigned status, std::string_view why) {
  const auto self = this->shared_from_this();
  this->relay.metrics.Count("quetzalpost_requests_total",
                            std::to_string(status));
  this->relay.events.Record(
      EventId::kRelayRequestFinished,
      {{"outcome", std::to_string(status)}, {"why", std::string(why)}});
  this->channel->Write(SerializeLocalReply({status, why, std::nullopt}, false));
  this->CloseAfterWrites(true);
}

void CallerSession::CloseAfterWrites(bool linger) {
  this->finishing = true;
  this->lingers = linger;
  this->channel->Resume();
  if (this->channel->unsent() == 0) {
    this->EndWrites();
    return;
  }
  this->read_timer.Start(this->relay.Now() + kLastWriteTimeout,
                         [this] { this->Close(); });
}

void CallerSession::EndWrites() {
  if (!this->lingers) {
    this->Close();
    return;
  }
  this->lingers = false;
  this->channel->ShutdownWrites();
  this->read_timer.Start(this->relay.Now() + kLinger,
                         [this] { this->Close(); });
}

void CallerSession::OnClose(const boost::system::error_code&) {
  const auto self = this->shared_from_this();
  if (this->exchange != nullptr) {
    this->exchange->Cancel();
  }
  this->Close();
}

}  // namespace qp::relay
