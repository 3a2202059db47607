#include "calls/pipeline_call.h"

#include <algorithm>
#include <utility>

#include "calls/disconnect_watch.h"
#include "calls/retry_after.h"
#include "foundation/hash.h"

namespace qp {

namespace {

/// Whether `code` reports that the engine never started the stream.
bool NeverStarted(ErrorCode code) {
  return code == ErrorCode::kUnavailable || code == ErrorCode::kRefused;
}

/// Whether an engine that failed with `code` still responds to other requests.
bool EngineIsReachable(ErrorCode code) {
  return code == ErrorCode::kRefused || code == ErrorCode::kProtocol;
}

RouteStage ToRouteStage(const policy::ChainStage& stage) {
  return {stage.engine, stage.address, stage.first_layer, stage.last_layer};
}

/// Shortest target for the inter-token latency among the classes of `model`; 0
/// if no class has such a target.
Duration TightestTarget(const Configuration& configuration,
                        std::string_view model) {
  Duration tightest{0};
  for (const auto& item : configuration.classes) {
    const Duration target = item.target.between_tokens;
    if (item.model == model && target > Duration(0) &&
        (tightest == Duration(0) || target < tightest)) {
      tightest = target;
    }
  }
  return tightest;
}

/// `engine` is the name or the address of an engine.
const policy::ChainStage* FindStageByEngine(const policy::Chain& chain,
                                            std::string_view engine) {
  for (const auto& stage : chain.stages) {
    if (stage.engine == engine || stage.address == engine) {
      return &stage;
    }
  }
  return nullptr;
}

const policy::ChainStage* FindStageByLayers(const policy::Chain& chain,
                                            const policy::ChainStage& wanted) {
  for (const auto& stage : chain.stages) {
    if (stage.first_layer == wanted.first_layer &&
        stage.last_layer == wanted.last_layer) {
      return &stage;
    }
  }
  return nullptr;
}

}  // namespace

PipelineCall::PipelineCall(const Context& shared_context,
                           ChatRequest chat_request, TokenSink& token_sink)
    : context(shared_context),
      request(std::move(chat_request)),
      sink(token_sink),
      deadline(shared_context.clock.Now() + this->request.deadline),
      sequence(this->request.request_id, 0) {}

Task<CallResult> PipelineCall::Run() {
  if (auto refused = this->Admit()) {
    co_return std::move(*refused);
  }
  CallResult result = co_await this->RunAttempts();
  this->CloseStream();
  this->context.admission.RecordActualTokens(
      this->request.class_name, this->request.workspace,
      this->request.max_tokens,
      static_cast<double>(this->sequence.tokens().size()));
  co_return result;
}

std::optional<CallResult> PipelineCall::Admit() {
  const auto view = this->context.blackboard.configuration.Read();
  const auto& configuration = view->value.configuration;
  if (!configuration) {
    return this->Refuse({ErrorCode::kUnavailable, "chat.admit", "",
                         "no configuration is in force yet"},
                        JitteredRetryAfter(this->context.random));
  }
  const auto* request_class =
      configuration->FindClass(this->request.class_name);
  const auto* spec = request_class == nullptr
                         ? nullptr
                         : configuration->FindModel(request_class->model);
  if (spec == nullptr) {
    return this->Refuse({ErrorCode::kNotFound, "chat.admit", "",
                         "no class of a model has this name"},
                        std::nullopt);
  }
  if (this->request.max_tokens == 0) {
    return this->Refuse({ErrorCode::kInvalidArgument, "chat.admit", "",
                         "max_tokens must be at least 1"},
                        std::nullopt);
  }
  this->model = *spec;
  this->sequence = TokenSequence(this->request.request_id, spec->layers);
  auto chosen = this->Choose(*configuration);
  if (!chosen) {
    return this->Refuse({ErrorCode::kUnavailable, "chat.route", "",
                         "the routable engines do not cover all layers"},
                        JitteredRetryAfter(this->context.random));
  }
  this->chain = std::move(*chosen);
  const policy::AdmissionRequest admission_request{
      this->request.class_name,
      this->request.workspace,
      static_cast<double>(this->request.max_tokens),
      this->request.deadline,
      this->chain.predicted_time_to_first_token,
      this->chain.predicted_inter_token_latency};
  const auto decision = this->context.admission.Decide(
      admission_request, this->context.clock.Now());
  if (!decision.admitted()) {
    return this->Refuse({ErrorCode::kUnavailable, "chat.admit", "",
                         std::string(policy::ToString(decision.reason))},
                        decision.retry_after);
  }
  this->context.retries.RecordRequest();
  return std::nullopt;
}

Task<CallResult> PipelineCall::RunAttempts() {
  for (;;) {
    this->context.router.OnStarted(this->chain, this->context.clock.Now());
    const AttemptEnd end = co_await this->RunAttempt();
    this->context.router.OnFinished(this->chain, this->context.clock.Now());
    this->ReportObservations();
    if (end == AttemptEnd::kComplete) {
      co_return CallResult{Outcome::kComplete, std::nullopt, std::nullopt};
    }
    if (end == AttemptEnd::kCallerGone) {
      co_return this->MakeCallerGoneResult();
    }
    auto next = this->ChooseNext();
    if (!next) {
      co_return this->GiveUp();
    }
    co_await this->ImportCache(*next);
    this->CloseStream();
    this->chain = std::move(*next);
  }
}

Task<PipelineCall::AttemptEnd> PipelineCall::RunAttempt() {
  const auto attempt = this->sequence.StartAttempt();
  this->token_count_at_start = this->sequence.tokens().size();
  const auto& first = this->chain.stages.front();
  this->context.events.Record(EventId::kAttemptStarted,
                              {{"request", this->request.request_id},
                               {"attempt", std::to_string(attempt)},
                               {"first_engine", first.engine}});
  if (this->sink.disconnected()) {
    co_return AttemptEnd::kCallerGone;
  }
  StreamRequest stream_request = this->MakeStreamRequest();
  const Duration timeout = this->ProgressTimeout();
  auto opened =
      co_await this->context.engines.Open(std::move(stream_request), timeout);
  if (opened.has_error()) {
    this->may_have_run =
        this->may_have_run || !NeverStarted(opened.error().code);
    co_return this->Fail(std::move(opened.error()));
  }
  this->may_have_run = true;
  this->stream = std::move(opened.value());
  if (attempt > 1 && this->token_count_at_start > 0) {
    this->context.events.Record(
        EventId::kStreamResumed,
        {{"request", this->request.request_id},
         {"attempt", std::to_string(attempt)},
         {"position", std::to_string(this->token_count_at_start)}});
  }
  const auto executor = co_await asio::this_coro::executor;
  DisconnectWatch watch(this->context.clock, executor, this->sink,
                        [this] { this->stream->Cancel(); });
  co_return co_await this->ReadStream();
}

Task<PipelineCall::AttemptEnd> PipelineCall::ReadStream() {
  for (;;) {
    const Duration timeout = this->ProgressTimeout();
    auto item = co_await this->stream->Next(timeout);
    if (this->sink.disconnected()) {
      co_return AttemptEnd::kCallerGone;
    }
    if (this->ResponseIsComplete()) {
      // All requested tokens were delivered; it no longer matters how the
      // attempt ends.
      co_return AttemptEnd::kComplete;
    }
    if (item.has_error()) {
      co_return this->Fail(std::move(item.error()));
    }
    if (auto* record = std::get_if<TokenRecord>(&item.value())) {
      const AttemptEnd end =
          co_await this->HandleTokenRecord(std::move(*record));
      if (end != AttemptEnd::kComplete) {
        co_return end;
      }
    } else if (auto end = this->HandleStreamEnd(item.value())) {
      co_return *end;
    }
  }
}

Task<PipelineCall::AttemptEnd> PipelineCall::HandleTokenRecord(
    TokenRecord record) {
  const auto verdict = this->sequence.Accept(record);
  if (verdict == RecordVerdict::kGap ||
      verdict == RecordVerdict::kWrongLayers) {
    this->LogDroppedRecord(verdict);
    co_return this->Fail({ErrorCode::kProtocol, "stream.record",
                          this->chain.stages.front().engine,
                          std::string(ToString(verdict))});
  }
  if (verdict != RecordVerdict::kNext) {
    this->LogDroppedRecord(verdict);
    co_return AttemptEnd::kComplete;
  }
  const auto arrived_at = this->context.clock.Now();
  this->RecordTokenArrival(arrived_at);
  auto written = co_await this->sink.Write(record.token);
  if (this->context.clock.Now() - arrived_at > kSlowWriteThreshold) {
    this->last_token_at.reset();
  }
  co_return written.has_error() ? AttemptEnd::kCallerGone
                                : AttemptEnd::kComplete;
}

std::optional<PipelineCall::AttemptEnd> PipelineCall::HandleStreamEnd(
    const StreamItem& item) {
  if (const auto* failed = std::get_if<StreamFailure>(&item)) {
    if (!this->sequence.AcceptEnd(failed->request, failed->attempt)) {
      this->LogDroppedRecord(RecordVerdict::kOtherAttempt);
      return std::nullopt;
    }
    return this->Fail(failed->error);
  }
  const auto& finish = std::get<StreamFinish>(item);
  if (!this->sequence.AcceptEnd(finish.request, finish.attempt)) {
    this->LogDroppedRecord(RecordVerdict::kOtherAttempt);
    return std::nullopt;
  }
  if (finish.reason == "length" && !this->ResponseIsComplete()) {
    return this->Fail({ErrorCode::kProtocol, "stream.finish",
                       this->chain.stages.front().engine,
                       "finished for length before max_tokens"});
  }
  return AttemptEnd::kComplete;
}

std::optional<policy::Chain> PipelineCall::ChooseNext() {
  const auto view = this->context.blackboard.configuration.Read();
  if (!view->value.configuration) {
    return std::nullopt;
  }
  auto next = this->ChooseAvoidingFailures(*view->value.configuration);
  if (!next || this->Remaining() <= next->predicted_time_to_first_token) {
    return std::nullopt;
  }
  if (!this->context.retries.TryAcquire()) {
    return std::nullopt;
  }
  return next;
}

/// Never chooses a failed engine. If there are suspects, prefers a chain
/// without any of them; if none exists, a chain without the first engine of the
/// current chain; if none exists either, any chain.
std::optional<policy::Chain> PipelineCall::ChooseAvoidingFailures(
    const Configuration& configuration) {
  const std::vector<std::string> failed = this->excluded;
  auto next = std::optional<policy::Chain>();
  if (!this->suspects.empty()) {
    this->excluded.insert(this->excluded.end(), this->suspects.begin(),
                          this->suspects.end());
    next = this->Choose(configuration);
    if (!next) {
      this->excluded = failed;
      this->excluded.push_back(this->chain.stages.front().engine);
      next = this->Choose(configuration);
    }
    this->excluded = failed;
  }
  return next ? next : this->Choose(configuration);
}

void PipelineCall::RecordEngineFailure(const Error& error) {
  // An engine that lost the KV cache of the stream can rebuild it, so it is not
  // excluded.
  if (error.code == ErrorCode::kNotFound) {
    return;
  }
  const std::string engine = this->FailedEngine(error);
  const bool is_first = engine == this->chain.stages.front().engine;
  if (error.code != ErrorCode::kTimeout || !is_first) {
    this->excluded.push_back(engine);
    return;
  }
  // The first stage also sends nothing while it waits for a later stage, so any
  // stage can be the cause of the timeout.
  for (const auto& stage : this->chain.stages) {
    this->suspects.push_back(stage.engine);
  }
}

Task<void> PipelineCall::ImportCache(const policy::Chain& next) {
  if (this->sequence.tokens().empty()) {
    co_return;
  }
  const auto transfer_deadline =
      this->context.clock.Now() + std::min(kTransferTimeout, this->Remaining());
  for (const auto& stage : next.stages) {
    const auto* source = FindStageByLayers(this->chain, stage);
    if (source == nullptr || source->engine == stage.engine) {
      continue;
    }
    const bool failed = source->engine == this->FailedEngine(this->failure);
    const auto time_left = transfer_deadline - this->context.clock.Now();
    if ((failed && !EngineIsReachable(this->failure.code)) ||
        time_left <= Duration(0)) {
      continue;
    }
    RouteStage from = ToRouteStage(*source);
    RouteStage to = ToRouteStage(stage);
    // If the transfer fails, the replacement rebuilds its cache from the
    // tokens.
    std::ignore = co_await this->context.engines.TransferKv(
        this->request.request_id, std::move(from), std::move(to), time_left);
  }
}

std::optional<policy::Chain> PipelineCall::Choose(
    const Configuration& configuration) {
  const auto backends = this->context.blackboard.backends.Read();
  const auto* spec = configuration.FindModel(this->model.name);
  // If the layer count changed, the name now refers to another model, which
  // cannot continue after the tokens accepted so far.
  if (spec == nullptr || spec->layers != this->model.layers) {
    return std::nullopt;
  }
  const auto tokens_left =
      this->request.max_tokens - this->sequence.tokens().size();
  const std::string_view prompt = this->request.prompt;
  policy::ChainQuery query;
  query.model = spec;
  query.prefix_hash =
      prompt.empty() ? 0 : Hash64(prompt.substr(0, kMaxPrefixLength));
  query.expected_tokens = static_cast<double>(tokens_left);
  query.excluded = this->excluded;
  query.prompt_tokens =
      static_cast<double>(prompt.size()) / kCharactersPerToken;
  query.kinds = configuration.kinds;
  query.inter_token_latency = TightestTarget(configuration, this->model.name);
  auto chosen = this->context.router.Choose(backends->value, query,
                                            this->context.clock.Now());
  if (chosen && chosen->stages.empty()) {
    return std::nullopt;
  }
  return chosen;
}

StreamRequest PipelineCall::MakeStreamRequest() const {
  StreamRequest stream_request;
  stream_request.request = this->request.request_id;
  stream_request.attempt = this->sequence.current_attempt();
  stream_request.model = this->model.name;
  stream_request.prompt = this->request.prompt;
  stream_request.tokens = this->sequence.tokens();
  stream_request.max_tokens = this->request.max_tokens;
  // Resumed responses have priority over new ones, so that they resume within
  // 1 s.
  stream_request.priority = stream_request.attempt > 1 ? 1 : 0;
  stream_request.deadline = this->Remaining();
  for (const auto& stage : this->chain.stages) {
    stream_request.route.push_back(ToRouteStage(stage));
  }
  return stream_request;
}

Duration PipelineCall::ProgressTimeout() const {
  const bool started =
      this->sequence.tokens().size() > this->token_count_at_start;
  const Duration timeout =
      started
          ? std::max(kMinNextTokenTimeout,
                     kTimeoutFactor * this->chain.predicted_inter_token_latency)
          : std::max(
                kMinFirstTokenTimeout,
                kTimeoutFactor * this->chain.predicted_time_to_first_token);
  return std::min(timeout, this->Remaining());
}

Duration PipelineCall::Remaining() const {
  return std::max(Duration(0), this->deadline - this->context.clock.Now());
}

bool PipelineCall::ResponseIsComplete() const {
  return this->sequence.tokens().size() >= this->request.max_tokens;
}

PipelineCall::AttemptEnd PipelineCall::Fail(Error error) {
  this->failure = std::move(error);
  this->RecordEngineFailure(this->failure);
  this->context.events.Record(
      EventId::kAttemptFailed,
      {{"request", this->request.request_id},
       {"attempt", std::to_string(this->sequence.current_attempt())},
       {"engine", this->FailedEngine(this->failure)},
       {"error", ToString(this->failure)}});
  return AttemptEnd::kFailed;
}

std::string PipelineCall::FailedEngine(const Error& error) const {
  const auto* named = FindStageByEngine(this->chain, error.peer);
  return named == nullptr ? this->chain.stages.front().engine : named->engine;
}

CallResult PipelineCall::Refuse(Error error,
                                std::optional<Duration> retry_after) {
  return {Outcome::kNotRun, std::move(error), retry_after};
}

CallResult PipelineCall::GiveUp() {
  const auto outcome =
      this->may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
  return {outcome, this->failure, JitteredRetryAfter(this->context.random)};
}

CallResult PipelineCall::MakeCallerGoneResult() {
  const auto outcome =
      this->may_have_run ? Outcome::kUnknown : Outcome::kNotRun;
  return {outcome,
          Error{ErrorCode::kCancelled, "chat.deliver", "",
                "the caller closed its connection"},
          std::nullopt};
}

void PipelineCall::LogDroppedRecord(RecordVerdict verdict) {
  this->context.events.Record(
      EventId::kLateRecordDropped,
      {{"request", this->request.request_id},
       {"attempt", std::to_string(this->sequence.current_attempt())},
       {"reason", std::string(ToString(verdict))}});
}

void PipelineCall::RecordTokenArrival(TimePoint arrived_at) {
  if (this->last_token_at) {
    this->observed_interval_sum += arrived_at - *this->last_token_at;
    ++this->observed_interval_count;
  }
  this->last_token_at = arrived_at;
}

void PipelineCall::ReportObservations() {
  if (this->observed_interval_count > 0) {
    this->context.router.OnObserved(
        this->chain,
        this->observed_interval_sum / this->observed_interval_count);
  }
  this->last_token_at.reset();
  this->observed_interval_sum = Duration(0);
  this->observed_interval_count = 0;
}

void PipelineCall::CloseStream() {
  if (this->stream) {
    this->stream->Cancel();
    this->stream.reset();
  }
}

}  // namespace qp
