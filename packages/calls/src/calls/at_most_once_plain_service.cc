#include "calls/at_most_once_plain_service.h"

#include <algorithm>
#include <utility>

#include "calls/retry_after.h"

namespace qp {

namespace {

/// Whether `code` reports that the service did not start the call.
bool NeverStarted(ErrorCode code) {
  return code == ErrorCode::kUnavailable || code == ErrorCode::kRefused;
}

ServiceResponse MakeComplete(int status, std::string body) {
  ServiceResponse response;
  response.result.outcome = Outcome::kComplete;
  response.status = status;
  response.body = std::move(body);
  return response;
}

Error NoServerError() {
  return {ErrorCode::kUnavailable, "service.route", "",
          "no server of the service is routable"};
}

}  // namespace

AtMostOncePlainService::AtMostOncePlainService(
    Clock& time_source, const Blackboard& shared_blackboard, Table& claim_table,
    ServiceClient& service_client, policy::Admission& admission_control,
    policy::ServiceRouter& server_router, policy::RetryBudget& retry_budget,
    EventSink& event_sink, std::uint64_t seed)
    : clock(time_source),
      blackboard(shared_blackboard),
      services(service_client),
      admission(admission_control),
      router(server_router),
      retries(retry_budget),
      events(event_sink),
      random(seed),
      claims(time_source, claim_table, event_sink, this->random()) {}

Task<ServiceResponse> AtMostOncePlainService::Run(ServiceRequest request) {
  bool idempotent = false;
  if (auto refused = this->Admit(request, idempotent)) {
    if (idempotent || !refused->result.retry_after) {
      co_return std::move(*refused);
    }
    co_return co_await this->RefuseNonIdempotent(std::move(request),
                                                 std::move(*refused));
  }
  Progress progress;
  progress.deadline = this->clock.Now() + request.deadline;
  progress.request = std::move(request);
  if (idempotent) {
    co_return co_await this->RunIdempotent(progress);
  }
  co_return co_await this->RunNonIdempotent(progress);
}

std::optional<ServiceResponse> AtMostOncePlainService::Admit(
    const ServiceRequest& request, bool& idempotent) {
  const auto view = this->blackboard.configuration.Read();
  const auto& configuration = view->value.configuration;
  if (!configuration) {
    return this->MakeNotRun({ErrorCode::kUnavailable, "service.admit", "",
                             "no configuration is in force yet"},
                            true);
  }
  const auto* operation =
      configuration->FindOperation(request.service, request.operation);
  if (operation == nullptr) {
    return this->MakeNotRun({ErrorCode::kNotFound, "service.admit", "",
                             "no class has this service and operation"},
                            false);
  }
  idempotent = operation->idempotent;
  const auto& key = request.idempotency_key;
  if (!idempotent && (key.empty() || key.size() > kMaxKeyLength)) {
    return this->MakeNotRun(
        {ErrorCode::kInvalidArgument, "service.admit", "",
         "the operation needs an Idempotency-Key of 1 to 256 "
         "characters"},
        false);
  }
  policy::AdmissionRequest admission_request;
  admission_request.class_name = operation->name;
  admission_request.workspace = request.workspace;
  admission_request.deadline = request.deadline;
  const auto decision =
      this->admission.Decide(admission_request, this->clock.Now());
  if (!decision.admitted()) {
    auto refused =
        this->MakeNotRun({ErrorCode::kUnavailable, "service.admit", "",
                          std::string(policy::ToString(decision.reason))},
                         true);
    refused.result.retry_after = decision.retry_after;
    return refused;
  }
  this->retries.RecordRequest();
  return std::nullopt;
}

Task<ServiceResponse> AtMostOncePlainService::RunIdempotent(
    Progress& progress) {
  Error failure = NoServerError();
  for (;;) {
    auto server = this->ChooseServer(progress);
    if (!server || this->Remaining(progress) <= Duration(0)) {
      co_return this->GiveUp(progress, std::move(failure));
    }
    if (!progress.excluded.empty() && !this->retries.TryAcquire()) {
      co_return this->GiveUp(progress, std::move(failure));
    }
    progress.excluded.push_back(server->name);
    const Duration timeout = this->TryTimeout(progress);
    auto reply =
        co_await this->CallServer(progress, std::move(*server), timeout);
    if (reply.has_value()) {
      co_return MakeComplete(reply.value().status,
                             std::move(reply.value().body));
    }
    failure = std::move(reply.error());
    progress.may_have_run =
        progress.may_have_run || !NeverStarted(failure.code);
  }
}

Task<ServiceResponse> AtMostOncePlainService::RunNonIdempotent(
    Progress& progress) {
  if (!this->ChooseServer(progress)) {
    ServiceResponse refusal = this->MakeNotRun(NoServerError(), true);
    co_return co_await this->RefuseNonIdempotent(std::move(progress.request),
                                                 std::move(refusal));
  }
  const auto& request = progress.request;
  std::string key =
      ClaimItemKey(request.workspace, request.service, request.idempotency_key);
  std::string digest = ClaimDigest(request.operation, request.body);
  const ClaimDecision decision = co_await this->claims.Acquire(
      std::move(key), std::move(digest), progress.deadline);
  if (decision.verdict != ClaimVerdict::kHeld) {
    co_return this->MakeClaimResponse(decision);
  }
  co_return co_await this->SendClaimed(progress, decision.claim);
}

Task<ServiceResponse> AtMostOncePlainService::RefuseNonIdempotent(
    ServiceRequest request, ServiceResponse refusal) {
  std::string key =
      ClaimItemKey(request.workspace, request.service, request.idempotency_key);
  std::string digest = ClaimDigest(request.operation, request.body);
  const auto earlier =
      co_await this->claims.Inspect(std::move(key), std::move(digest));
  if (earlier) {
    co_return this->MakeClaimResponse(*earlier);
  }
  co_return refusal;
}

Task<ServiceResponse> AtMostOncePlainService::SendClaimed(
    Progress& progress, std::shared_ptr<Claim> claim) {
  const auto executor = co_await asio::this_coro::executor;
  Error failure = NoServerError();
  for (;;) {
    auto server = this->ChooseServer(progress);
    // If the daemon was paused while it waited for the claim, the deadline may
    // have passed by now.
    const Duration time_left = this->Remaining(progress);
    const bool retry = !progress.excluded.empty();
    if (!server || time_left <= Duration(0) ||
        (retry && !this->retries.TryAcquire()) || !claim->TrySend()) {
      this->claims.Release(claim, executor);
      co_return this->MakeNotRun(std::move(failure), true);
    }
    this->events.Record(EventId::kOnceCallSent,
                        {{"request", progress.request.request_id},
                         {"key", claim->key()},
                         {"server", server->name}});
    progress.excluded.push_back(server->name);
    auto reply =
        co_await this->CallServer(progress, std::move(*server), time_left);
    if (reply.has_value()) {
      StoredResponse stored{reply.value().status, reply.value().body};
      this->claims.Complete(claim, std::move(stored), executor);
      co_return MakeComplete(reply.value().status,
                             std::move(reply.value().body));
    }
    failure = std::move(reply.error());
    if (!NeverStarted(failure.code)) {
      co_return this->MakeUnknown(std::move(failure));
    }
    claim->RevertSend();
  }
}

Task<Result<ServiceReply>> AtMostOncePlainService::CallServer(
    const Progress& progress, Backend server, Duration timeout) {
  ServiceCall call;
  call.operation = progress.request.operation;
  call.request_id = progress.request.request_id;
  call.idempotency_key = progress.request.idempotency_key;
  call.body = progress.request.body;
  this->router.OnStarted(server.name);
  auto reply = co_await this->services.Call(std::move(server.address),
                                            std::move(call), timeout);
  this->router.OnFinished(server.name);
  co_return reply;
}

std::optional<Backend> AtMostOncePlainService::ChooseServer(
    const Progress& progress) {
  const auto backends = this->blackboard.backends.Read();
  return this->router.Choose(backends->value, progress.request.service,
                             progress.excluded);
}

Duration AtMostOncePlainService::TryTimeout(const Progress& progress) {
  const Duration time_left = this->Remaining(progress);
  // Keeps half of the time left for another server if there is one.
  return this->ChooseServer(progress)
             ? std::min(time_left, std::max(kMinTryTimeout, time_left / 2))
             : time_left;
}

Duration AtMostOncePlainService::Remaining(const Progress& progress) const {
  return std::max(Duration(0), progress.deadline - this->clock.Now());
}

ServiceResponse AtMostOncePlainService::MakeClaimResponse(
    const ClaimDecision& decision) {
  switch (decision.verdict) {
    case ClaimVerdict::kAnswered:
      return MakeComplete(decision.response->status, decision.response->body);
    case ClaimVerdict::kDigestMismatch:
      return this->MakeNotRun(
          {ErrorCode::kInvalidArgument, "service.claim", "",
           "the Idempotency-Key was used with another request"},
          false);
    case ClaimVerdict::kTableUnavailable:
      return this->MakeNotRun({ErrorCode::kUnavailable, "service.claim", "",
                               "the table service does not answer"},
                              true);
    case ClaimVerdict::kUndetermined:
      return this->MakeNotRun({ErrorCode::kTimeout, "service.claim", "",
                               "the claim could not be determined in time"},
                              true);
    case ClaimVerdict::kInProgress:
    case ClaimVerdict::kHeld:
      break;
  }
  return this->MakeUnknown({ErrorCode::kConflict, "service.claim", "",
                            "a call with this Idempotency-Key may have run"});
}

ServiceResponse AtMostOncePlainService::MakeNotRun(Error error,
                                                   bool with_retry_after) {
  ServiceResponse response;
  response.result.outcome = Outcome::kNotRun;
  response.result.error = std::move(error);
  if (with_retry_after) {
    response.result.retry_after = JitteredRetryAfter(this->random);
  }
  return response;
}

ServiceResponse AtMostOncePlainService::MakeUnknown(Error error) {
  ServiceResponse response;
  response.result.outcome = Outcome::kUnknown;
  response.result.error = std::move(error);
  return response;
}

ServiceResponse AtMostOncePlainService::GiveUp(const Progress& progress,
                                               Error error) {
  if (!progress.may_have_run) {
    return this->MakeNotRun(std::move(error), true);
  }
  auto response = this->MakeUnknown(std::move(error));
  response.result.retry_after = JitteredRetryAfter(this->random);
  return response;
}

}  // namespace qp
