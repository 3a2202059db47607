#include "relay/upstream_call.h"

#include <boost/beast/http.hpp>
#include <exception>
#include <limits>
#include <utility>

#include "http/endpoint.h"
#include "http/status_class.h"
#include "relay/status.h"

namespace qp::relay {

namespace beast = boost::beast;

namespace {

/// Status with which a server refuses a request that is addressed to another
/// server.
constexpr unsigned kWrongServerStatus = 421;
constexpr unsigned kBadRequestStatus = 400;

}  // namespace

bool IsUnframed(const ResponseHead& head) {
  return head.headers.count(beast::http::field::content_length) == 0 &&
         head.headers.count(beast::http::field::transfer_encoding) == 0;
}

bool IsNotExecuted(const ResponseHead& head) {
  return head.status == kWrongServerStatus ||
         (head.metadata.not_executed &&
          (IsRefusal(head.status) || head.status == kBadRequestStatus));
}

UpstreamCall::UpstreamCall(asio::io_context& io_context,
                           TimerQueue& timer_queue,
                           UpstreamPool& connection_pool,
                           const Protocol& http_protocol,
                           const ResponseLimits& response_limits,
                           ServerPtr backend_server,
                           CallListener& call_listener)
    : io(io_context),
      pool(connection_pool),
      protocol(http_protocol),
      limits(response_limits),
      server(std::move(backend_server)),
      listener(&call_listener),
      connect_timer(timer_queue),
      discard_timer(timer_queue),
      timers(timer_queue) {}

void UpstreamCall::Start(std::string id, std::string bytes, bool fresh,
                         bool is_head_request) {
  this->attempt_id = std::move(id);
  this->request = std::move(bytes);
  this->head_request = is_head_request;
  if (!fresh) {
    this->channel = this->pool.Acquire(*this->server);
  }
  if (this->channel != nullptr) {
    this->reused = true;
    this->Send();
    return;
  }
  this->Connect();
}

void UpstreamCall::Connect() {
  const auto endpoint = http::ParseEndpoint(this->server->record.address);
  if (!endpoint) {
    asio::post(this->io, [self = this->shared_from_this()] {
      self->Fail(ErrorCode::kInvalidArgument, "the address cannot be read");
    });
    return;
  }
  this->channel = std::make_shared<Channel>(Channel::Socket(this->io));
  this->connect_timer.Start(
      this->timers.Now() + kConnectTimeout, [weak = this->weak_from_this()] {
        if (auto self = weak.lock()) {
          self->Fail(ErrorCode::kTimeout, "no connection in time");
        }
      });
  this->channel->Connect(
      endpoint.value(),
      [self = this->shared_from_this()](boost::system::error_code failure) {
        self->connect_timer.Cancel();
        if (failure) {
          self->Fail(ErrorCode::kUnavailable, failure.message());
          return;
        }
        self->Send();
      });
}

void UpstreamCall::Send() {
  this->written_before = this->channel->written();
  this->NewParser();
  this->channel->WriteOwned(std::exchange(this->request, {}));
  this->channel->SetReader(this);
}

void UpstreamCall::NewParser() {
  this->parser.emplace();
  this->parser->eager(true);
  this->parser->header_limit(
      static_cast<std::uint32_t>(this->limits.head_bytes));
  // Bodies are consumed as they arrive, so their length needs no limit. The
  // limit is set to the maximum because Beast 1.74 refuses every body that
  // states its length if the limit is disabled.
  this->parser->body_limit(std::numeric_limits<std::uint64_t>::max());
  this->parser->skip(this->head_request);
  this->head_handled = false;
  this->interim = false;
  this->mismatched = false;
}

void UpstreamCall::Cancel() {
  this->listener = nullptr;
  this->connect_timer.Cancel();
  if (this->channel != nullptr) {
    this->channel->Close();
  }
}

void UpstreamCall::Discard() {
  this->listener = nullptr;
  this->connect_timer.Cancel();
  if (this->channel == nullptr) {
    return;
  }
  this->discarding = this->shared_from_this();
  this->channel->Resume();
  this->discard_timer.Start(this->timers.Now() + kDiscardTimeout, [this] {
    this->Fail(ErrorCode::kTimeout, "the rest of the answer took too long");
  });
}

void UpstreamCall::Pause() {
  if (this->channel != nullptr) {
    this->channel->Pause();
  }
}

void UpstreamCall::Resume() {
  if (this->channel != nullptr) {
    this->channel->Resume();
  }
}

void UpstreamCall::OnBytes(std::string_view bytes) {
  const auto self = this->shared_from_this();
  this->response_begun = true;
  this->input.append(bytes);
  try {
    this->ParseAll();
  } catch (const std::exception& failure) {
    // An exception that bytes from one server cause must not end the process
    // and all its requests.
    this->Fail(ErrorCode::kProtocol, failure.what());
  }
}

void UpstreamCall::ParseAll() {
  while (!this->input.empty() && this->Parse()) {
  }
  if (this->input.size() > this->limits.head_bytes) {
    this->Fail(ErrorCode::kProtocol, "a part of the answer is too long");
  }
}

bool UpstreamCall::Parse() {
  boost::system::error_code failure;
  const std::size_t used = this->parser->put(
      asio::buffer(this->input.data(), this->input.size()), failure);
  this->input.erase(0, used);
  if (failure && failure != beast::http::error::need_more) {
    this->Fail(ErrorCode::kProtocol, failure.message());
    return false;
  }
  if (this->parser->is_header_done()) {
    if (!this->head_handled) {
      this->HandleHead();
    }
    this->HandleBody();
  }
  if (this->listener == nullptr && this->discarding == nullptr) {
    return false;
  }
  this->CountSkippedBytes(used);
  if (this->ExceedsSkipLimits()) {
    this->Fail(ErrorCode::kProtocol, "an answer that is not used is too long");
    return false;
  }
  if (this->parser->is_done()) {
    return this->HandleMessageEnd();
  }
  return used > 0 && !failure;
}

void UpstreamCall::CountSkippedBytes(std::size_t count) {
  if (this->mismatched) {
    this->mismatched_bytes += count;
  } else if (this->listener == nullptr) {
    this->discarded_bytes += count;
  }
}

bool UpstreamCall::ExceedsSkipLimits() const {
  return this->mismatched_bytes > this->limits.skipped_bytes ||
         this->discarded_bytes > kMaxDiscardedBytes;
}

void UpstreamCall::HandleHead() {
  this->head_handled = true;
  ResponseHead head;
  head.status = this->parser->get().result_int();
  this->interim = http::IsInterimStatus(head.status);
  if (this->interim) {
    return;
  }
  if (!http::IsFinalStatus(head.status)) {
    this->Fail(ErrorCode::kProtocol,
               "status " + std::to_string(head.status) + " is no answer");
    return;
  }
  head.metadata = this->protocol.ParseResponse(this->parser->get().base());
  this->listener->OnServerMetadata(head.status, head.metadata);
  const std::string& response_attempt_id = head.metadata.attempt_id;
  // On a connection that has carried other requests, a response without an id
  // can be one of theirs that the server repeats.
  this->mismatched = response_attempt_id.empty()
                         ? IsSuccess(head.status) || this->reused
                         : response_attempt_id != this->attempt_id;
  if (this->mismatched) {
    return;
  }
  this->keep_alive = head.metadata.keep_alive;
  head.headers = this->parser->get().base();
  this->listener->OnResponse(std::move(head));
}

void UpstreamCall::HandleBody() {
  const std::string body = std::exchange(this->parser->get().body(), {});
  const bool used = !this->interim && !this->mismatched;
  if (used && this->listener != nullptr && !body.empty()) {
    this->listener->OnBody(body);
  }
}

bool UpstreamCall::HandleMessageEnd() {
  if (this->interim) {
    if (++this->interim_responses > kMaxInterimResponses) {
      this->Fail(ErrorCode::kProtocol, "too many interim answers");
      return false;
    }
    this->NewParser();
    return true;
  }
  if (!this->mismatched) {
    this->Complete();
    return false;
  }
  if (!this->parser->keep_alive()) {
    this->Fail(ErrorCode::kProtocol, "only an answer to another request came");
    return false;
  }
  this->NewParser();
  return true;
}

void UpstreamCall::Complete() {
  this->discard_timer.Cancel();
  // OnBytes and OnClose hold another reference, so resetting this one does not
  // destroy the call.
  this->discarding.reset();
  CallListener* call_listener = std::exchange(this->listener, nullptr);
  const bool clean = this->parser->keep_alive() && this->input.empty() &&
                     this->channel->unsent() == 0 &&
                     !this->channel->write_failure() &&
                     this->channel->is_open();
  if (clean) {
    this->pool.Release(*this->server, std::exchange(this->channel, nullptr),
                       this->keep_alive);
  } else {
    this->channel->Close();
  }
  if (call_listener != nullptr) {
    call_listener->OnComplete();
  }
}

void UpstreamCall::OnClose(const boost::system::error_code& failure) {
  const auto self = this->shared_from_this();
  // Only an orderly end of the connection can be the end of a response.
  if (!failure && this->parser && this->head_handled && !this->mismatched &&
      this->parser->need_eof()) {
    boost::system::error_code result;
    this->parser->put_eof(result);
    if (!result) {
      this->HandleBody();
      if (this->listener != nullptr || this->discarding != nullptr) {
        this->Complete();
      }
      return;
    }
  }
  this->Fail(ErrorCode::kUnavailable,
             failure ? failure.message() : "closed before the answer's end");
}

void UpstreamCall::Fail(ErrorCode code, std::string detail) {
  const auto self = this->shared_from_this();
  this->connect_timer.Cancel();
  this->discard_timer.Cancel();
  this->discarding.reset();
  if (this->channel != nullptr) {
    this->channel->Close();
  }
  CallListener* call_listener = std::exchange(this->listener, nullptr);
  if (call_listener == nullptr) {
    return;
  }
  CallFailure failure;
  failure.may_have_run = this->HasSentBytes();
  failure.was_reused = this->reused && !this->response_begun;
  failure.error = {
      code, this->written_before ? "upstream.answer" : "upstream.connect",
      this->server->record.address, std::move(detail)};
  call_listener->OnFailure(std::move(failure));
}

bool UpstreamCall::HasSentBytes() const {
  return this->written_before &&
         this->channel->written() > *this->written_before;
}

}  // namespace qp::relay
