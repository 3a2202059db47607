#include "gateway/chat_answer.h"

#include <nlohmann/json.hpp>
#include <tuple>

#include "gateway/responses.h"

namespace qp {

namespace {

void SetRequestId(http::Response& response, const ChatIdentity& identity) {
  response.set(kRequestIdHeader, identity.request_id);
}

std::string_view FinishReason(const ChatIdentity& identity,
                              std::uint32_t tokens) {
  return tokens >= identity.max_tokens ? "length" : "stop";
}

Error Disconnected() {
  return {ErrorCode::kCancelled, "gateway.write", "",
          "the caller closed its connection"};
}

class StreamedAnswer : public ChatAnswer {
 public:
  StreamedAnswer(http::Responder& target, ChatIdentity answer, TokenTimes timer)
      : responder(target),
        identity(std::move(answer)),
        times(std::move(timer)) {}

  Task<Result<void>> Write(std::string_view token) override {
    const std::string text(token);
    Result<void> begun = co_await this->BeginOnce();
    if (!begun) {
      co_return begun;
    }
    nlohmann::json delta = {{"content", text}};
    if (this->tokens == 0) {
      delta["role"] = "assistant";
    }
    const std::string event =
        "data: " + Dump(this->Chunk(std::move(delta), nullptr)) + "\n\n";
    Result<void> written = co_await this->responder.Write(event);
    if (written) {
      ++this->tokens;
      this->times.OnToken();
    }
    co_return written;
  }

  bool disconnected() const override { return this->responder.disconnected(); }

  Task<Outcome> Finish(CallResult result) override {
    if (result.outcome == Outcome::kComplete) {
      co_return co_await this->FinishWhole();
    }
    Refusal refusal = FromResult(result);
    if (!this->begun) {
      http::Response response = ToResponse(refusal);
      SetRequestId(response, this->identity);
      std::ignore = co_await this->responder.Send(std::move(response));
      co_return refusal.outcome;
    }
    // Part of the answer is out, so the request provably started.
    refusal.outcome = Outcome::kUnknown;
    const std::string event =
        "event: error\ndata: " + Dump(ToJson(refusal)) + "\n\n";
    co_await this->WriteLast(event);
    co_return Outcome::kUnknown;
  }

 private:
  Task<Result<void>> BeginOnce() {
    if (this->begun) {
      co_return Ok();
    }
    this->begun = true;
    http::Response head = http::MakeResponse(http::Status::ok, "");
    head.set(boost::beast::http::field::content_type, "text/event-stream");
    head.set(boost::beast::http::field::cache_control, "no-cache");
    SetRequestId(head, this->identity);
    co_return co_await this->responder.BeginStream(std::move(head));
  }

  Task<Outcome> FinishWhole() {
    const Result<void> ready = co_await this->BeginOnce();
    if (!ready) {
      this->responder.Abort();
      co_return Outcome::kUnknown;
    }
    nlohmann::json last = this->Chunk(
        nlohmann::json::object(), FinishReason(this->identity, this->tokens));
    // The head of the stream was sent before the outcome was known.
    last["outcome"] = ToString(Outcome::kComplete);
    const std::string events = "data: " + Dump(last) + "\n\ndata: [DONE]\n\n";
    const bool delivered = co_await this->WriteLast(events);
    co_return delivered ? Outcome::kComplete : Outcome::kUnknown;
  }

  /// False if the caller is gone.
  Task<bool> WriteLast(const std::string& events) {
    Result<void> written = co_await this->responder.Write(events);
    if (written) {
      written = co_await this->responder.End();
    }
    if (!written) {
      this->responder.Abort();
    }
    co_return written.has_value();
  }

  nlohmann::json Chunk(nlohmann::json delta,
                       nlohmann::json finish_reason) const {
    const nlohmann::json choice = {{"index", 0},
                                   {"delta", std::move(delta)},
                                   {"finish_reason", std::move(finish_reason)}};
    return {{"id", "chatcmpl-" + this->identity.call_id},
            {"object", "chat.completion.chunk"},
            {"created", this->identity.created},
            {"model", this->identity.class_name},
            {"choices", nlohmann::json::array({choice})}};
  }

  http::Responder& responder;
  ChatIdentity identity;
  TokenTimes times;
  std::uint32_t tokens = 0;
  bool begun = false;
};

class WholeAnswer : public ChatAnswer {
 public:
  WholeAnswer(http::Responder& target, ChatIdentity answer, TokenTimes timer)
      : responder(target),
        identity(std::move(answer)),
        times(std::move(timer)) {}

  Task<Result<void>> Write(std::string_view token) override {
    if (this->responder.disconnected()) {
      co_return Disconnected();
    }
    this->text += token;
    ++this->tokens;
    this->times.OnToken();
    co_return Ok();
  }

  bool disconnected() const override { return this->responder.disconnected(); }

  Task<Outcome> Finish(CallResult result) override {
    const bool complete = result.outcome == Outcome::kComplete;
    http::Response response =
        complete ? this->Completion() : ToResponse(FromResult(result));
    SetRequestId(response, this->identity);
    const Result<void> sent =
        co_await this->responder.Send(std::move(response));
    co_return complete && !sent ? Outcome::kUnknown : result.outcome;
  }

 private:
  http::Response Completion() const {
    const nlohmann::json message = {{"role", "assistant"},
                                    {"content", this->text}};
    const nlohmann::json choice = {
        {"index", 0},
        {"message", message},
        {"finish_reason", FinishReason(this->identity, this->tokens)}};
    // The router does not tokenize prompts, so it reports no prompt tokens.
    const nlohmann::json document = {
        {"id", "chatcmpl-" + this->identity.call_id},
        {"object", "chat.completion"},
        {"created", this->identity.created},
        {"model", this->identity.class_name},
        {"choices", nlohmann::json::array({choice})},
        {"usage", {{"completion_tokens", this->tokens}}}};
    return CompleteResponse(http::Status::ok, Dump(document));
  }

  http::Responder& responder;
  ChatIdentity identity;
  TokenTimes times;
  std::string text;
  std::uint32_t tokens = 0;
};

}  // namespace

TokenTimes::TokenTimes(const Clock& time, Metrics& target, std::string name,
                       TimePoint arrived)
    : clock(time),
      metrics(target),
      class_name(std::move(name)),
      previous(arrived) {}

void TokenTimes::OnToken() {
  const TimePoint now = this->clock.Now();
  const Duration elapsed = now - this->previous;
  if (this->first) {
    this->metrics.OnFirstToken(this->class_name, elapsed);
  } else {
    this->metrics.OnNextToken(this->class_name, elapsed);
  }
  this->first = false;
  this->previous = now;
}

std::unique_ptr<ChatAnswer> MakeStreamedAnswer(http::Responder& responder,
                                               ChatIdentity identity,
                                               TokenTimes times) {
  return std::make_unique<StreamedAnswer>(responder, std::move(identity),
                                          std::move(times));
}

std::unique_ptr<ChatAnswer> MakeWholeAnswer(http::Responder& responder,
                                            ChatIdentity identity,
                                            TokenTimes times) {
  return std::make_unique<WholeAnswer>(responder, std::move(identity),
                                       std::move(times));
}

}  // namespace qp
