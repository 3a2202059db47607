#include "gateway/caller_api.h"

#include <nlohmann/json.hpp>
#include <tuple>

#include "gateway/bearer_token.h"
#include "gateway/chat_answer.h"
#include "gateway/responses.h"

namespace qp {

namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr WallMillis kMillisPerSecond = 1000;
constexpr int kMinFinalStatus = 200;  // HTTP
constexpr int kMaxFinalStatus = 599;  // HTTP

Refusal UnknownPath() {
  return InvalidRequest(http::Status::not_found, "unknown_path",
                        "there is no such path");
}

Refusal WrongMethod() {
  return InvalidRequest(http::Status::method_not_allowed, "wrong_method",
                        "this path takes POST only");
}

Refusal UnknownClass(const std::string& what) {
  return InvalidRequest(http::Status::not_found, "unknown_class",
                        "no request class is configured for " + what);
}

Refusal AccessDenied() {
  return InvalidRequest(http::Status::unauthorized, "access_denied",
                        "the bearer token is missing or not known");
}

/// A draining daemon has announced its stop and serves what still reaches it;
/// refusing would interrupt callers whose load balancer lags behind.
bool TakesWork(const ReadinessView& readiness) {
  return readiness.ready || readiness.draining;
}

bool IsFinalStatus(int status) {
  return status >= kMinFinalStatus && status <= kMaxFinalStatus;
}

std::int64_t SecondsOf(WallMillis millis) { return millis / kMillisPerSecond; }

http::Response ToResponse(const ServiceResponse& answer) {
  if (answer.result.outcome == Outcome::kComplete) {
    return CompleteResponse(static_cast<http::Status>(answer.status),
                            answer.body);
  }
  return ToResponse(FromResult(answer.result));
}

}  // namespace

CallerApi::CallerApi(CallerApiParts needed, std::uint64_t seed)
    : parts(needed), ids(seed) {}

Task<void> CallerApi::Handle(http::Request request,
                             http::Responder& responder) {
  if (http::PathOf(request) == "/healthz") {
    http::Response healthy =
        CompleteResponse(http::Status::ok, R"({"status":"ok"})");
    std::ignore = co_await responder.Send(std::move(healthy));
    co_return;
  }
  End end;
  end.arrived = this->parts.clock.Now();
  Checked<std::string> given_id = ReadRequestId(request);
  if (!given_id) {
    end.request_id = this->ids.Next();
    co_await this->Refuse(std::move(given_id).error(), end, responder);
    co_return;
  }
  end.request_id =
      given_id.value().empty() ? this->ids.Next() : std::move(given_id).value();
  Checked<Context> context =
      this->Identify(request, end.request_id, end.arrived);
  if (!context) {
    co_await this->Refuse(std::move(context).error(), end, responder);
    co_return;
  }
  Context identified = std::move(context).value();
  co_await this->Route(request, std::move(identified), responder);
}

Checked<CallerApi::Context> CallerApi::Identify(const http::Request& request,
                                                const std::string& request_id,
                                                TimePoint arrived) {
  Context context;
  context.snapshot = this->parts.blackboard.configuration.Read();
  if (!context.snapshot->value.configuration) {
    return NotReady("no configuration is in force yet");
  }
  const std::string_view token = BearerToken(request);
  const Workspace* workspace =
      token.empty()
          ? nullptr
          : context.configuration().FindWorkspaceByToken(Sha256Hex(token));
  if (workspace == nullptr) {
    this->parts.events.Record(EventId::kAccessDenied,
                              {{"request", request_id}});
    return AccessDenied();
  }
  const auto readiness = this->parts.blackboard.readiness.Read();
  if (!TakesWork(readiness->value)) {
    return NotReady(readiness->value.reason);
  }
  context.workspace = workspace->name;
  context.request_id = request_id;
  context.call_id = request_id + "." + this->ids.Next();
  context.arrived = arrived;
  BOOST_OUTCOME_TRY(deadline, ReadDeadline(request));
  context.deadline = deadline;
  return context;
}

Task<void> CallerApi::Route(const http::Request& request, Context context,
                            http::Responder& responder) {
  const std::string_view path = http::PathOf(request);
  const auto service = ReadServicePath(path);
  std::optional<Refusal> refusal;
  if (path != kChatPath && !service) {
    refusal = UnknownPath();
  } else if (request.method() != http::Verb::post) {
    refusal = WrongMethod();
  }
  if (refusal) {
    const End end{context.request_id, context.workspace, "none",
                  Outcome::kNotRun, context.arrived};
    co_await this->Refuse(std::move(*refusal), end, responder);
  } else if (service) {
    ServicePath target = *service;
    co_await this->ServePlain(request, std::move(target), std::move(context),
                              responder);
  } else {
    co_await this->ServeChat(request, std::move(context), responder);
  }
}

Task<void> CallerApi::ServeChat(const http::Request& request, Context context,
                                http::Responder& responder) {
  End end{context.request_id, context.workspace, "none", Outcome::kNotRun,
          context.arrived};
  Checked<ChatBody> body = ReadChatBody(request.body());
  if (!body) {
    co_await this->Refuse(std::move(body).error(), end, responder);
    co_return;
  }
  ChatBody chat = std::move(body).value();
  const RequestClass* request_class =
      context.configuration().FindClass(chat.class_name);
  if (request_class == nullptr || request_class->model.empty()) {
    Refusal unknown = UnknownClass("model " + chat.class_name);
    co_await this->Refuse(std::move(unknown), end, responder);
    co_return;
  }
  end.class_name = chat.class_name;

  ChatIdentity identity;
  identity.request_id = context.request_id;
  identity.call_id = context.call_id;
  identity.class_name = chat.class_name;
  identity.max_tokens = chat.max_tokens;
  identity.created = SecondsOf(this->parts.clock.WallNow());
  TokenTimes times(this->parts.clock, this->parts.metrics, chat.class_name,
                   context.arrived);
  const std::unique_ptr<ChatAnswer> answer =
      chat.stream
          ? MakeStreamedAnswer(responder, std::move(identity), std::move(times))
          : MakeWholeAnswer(responder, std::move(identity), std::move(times));
  ChatRequest call;
  call.request_id = context.call_id;
  call.workspace = context.workspace;
  call.class_name = chat.class_name;
  call.prompt = std::move(chat.prompt);
  call.max_tokens = chat.max_tokens;
  call.deadline = context.deadline;
  CallResult result = co_await this->parts.chat.Run(std::move(call), *answer);
  end.outcome = co_await answer->Finish(std::move(result));
  this->OnFinished(end);
}

Task<void> CallerApi::ServePlain(const http::Request& request, ServicePath path,
                                 Context context, http::Responder& responder) {
  End end{context.request_id, context.workspace, "none", Outcome::kNotRun,
          context.arrived};
  const RequestClass* request_class =
      context.configuration().FindOperation(path.service, path.operation);
  if (request_class == nullptr) {
    Refusal unknown =
        UnknownClass("service " + path.service + "/" + path.operation);
    co_await this->Refuse(std::move(unknown), end, responder);
    co_return;
  }
  end.class_name = request_class->name;
  Checked<std::string> key = ReadIdempotencyKey(request);
  if (key && key.value().empty() && !request_class->idempotent) {
    key = InvalidRequest(http::Status::bad_request, "missing_idempotency_key",
                         "this operation is not idempotent and needs the "
                         "header Idempotency-Key");
  }
  const bool valid_body =
      request.body().empty() || nlohmann::json::accept(request.body());
  if (key && !valid_body) {
    key = InvalidRequest(http::Status::bad_request, "invalid_json",
                         "the body must be empty or a JSON document");
  }
  if (!key) {
    co_await this->Refuse(std::move(key).error(), end, responder);
    co_return;
  }
  ServiceRequest call;
  call.request_id = context.call_id;
  call.workspace = context.workspace;
  call.service = path.service;
  call.operation = path.operation;
  if (!request_class->idempotent) {
    call.idempotency_key = std::move(key).value();
  }
  call.body = request.body();
  call.deadline = context.deadline;
  ServiceResponse answer = co_await this->parts.plain.Run(std::move(call));
  if (answer.result.outcome == Outcome::kComplete &&
      !IsFinalStatus(answer.status)) {
    answer.result = {Outcome::kUnknown,
                     Error{ErrorCode::kProtocol, "service.call", path.service,
                           "the answer has no valid HTTP status"},
                     std::nullopt};
  }
  http::Response response = ToResponse(answer);
  response.set(kRequestIdHeader, context.request_id);
  end.outcome = answer.result.outcome;
  std::ignore = co_await responder.Send(std::move(response));
  this->OnFinished(end);
}

Task<void> CallerApi::Refuse(Refusal refusal, End end,
                             http::Responder& responder) {
  http::Response response = qp::ToResponse(refusal);
  response.set(kRequestIdHeader, end.request_id);
  if (refusal.status == http::Status::unauthorized) {
    response.set(boost::beast::http::field::www_authenticate, "Bearer");
  }
  if (refusal.status == http::Status::method_not_allowed) {
    response.set(boost::beast::http::field::allow, "POST");
  }
  this->parts.events.Record(EventId::kRequestRefused,
                            {{"request", end.request_id},
                             {"workspace", end.workspace},
                             {"class", end.class_name},
                             {"reason", refusal.code}});
  end.outcome = refusal.outcome;
  this->parts.metrics.OnRequestFinished(end.class_name, end.outcome,
                                        this->parts.clock.Now() - end.arrived);
  std::ignore = co_await responder.Send(std::move(response));
}

void CallerApi::OnFinished(const End& end) {
  this->parts.events.Record(EventId::kRequestFinished,
                            {{"request", end.request_id},
                             {"workspace", end.workspace},
                             {"class", end.class_name},
                             {"outcome", std::string(ToString(end.outcome))}});
  this->parts.metrics.OnRequestFinished(end.class_name, end.outcome,
                                        this->parts.clock.Now() - end.arrived);
}

}  // namespace qp
