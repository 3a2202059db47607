#include "relay/exchange.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

#include "relay/callers/request_access.h"
#include "relay/callers/request_cost.h"
#include "relay/hedging/exchange_hedge.h"
#include "relay/log_text.h"
#include "relay/request_fingerprint.h"
#include "relay/silent_try.h"

namespace qp::relay {

namespace {

using std::chrono::milliseconds;

/// Minimum time left until the deadline for a request to be sent to a server.
/// With less time, no server can respond before the deadline.
constexpr Duration kMinRemainingTime = milliseconds(20);
/// Time by which the deadline sent to a server precedes the caller's deadline,
/// so that the server's response or refusal can still be forwarded.
constexpr Duration kDeadlineMargin = milliseconds(10);
/// Retry-After of a refused request before jitter. The model is covered again
/// about 2 s after an engine is lost; plain servers recover sooner.
constexpr Duration kStreamRetryAfter = milliseconds(1500);
constexpr Duration kPlainRetryAfter = milliseconds(250);
/// Retry-After of a request that another process can take at once.
constexpr Duration kStopRetryAfter = milliseconds(50);
/// Maximum Retry-After as a share of the time left until the caller's deadline.
/// Callers do not wait for longer than a third of that time.
constexpr double kMaxRetryAfterShare = 0.3;
/// Maximum time since the last forwarded event of a stream during which the
/// relay still waits for a server that resumes the stream. Callers disconnect
/// after a gap of 2 s, which also includes the wait for the first event of that
/// server.
constexpr Duration kMaxStreamInterruption = milliseconds(1500);
/// Interval between attempts to find a server that resumes a stream.
constexpr Duration kResumeRetryInterval = milliseconds(100);

}  // namespace

Exchange::Exchange(RelayContext& shared, http::Request received, TimePoint at,
                   ResponseSink& response_sink)
    : relay(shared),
      request(std::move(received)),
      sink(response_sink),
      arrived(at),
      deadline_timer(shared.timers),
      progress_timer(shared.timers),
      body_part(shared.buffered_responses),
      memory_share(shared.workspace_memory) {}

Exchange::~Exchange() { this->AbandonTry(); }

void Exchange::Start() {
  this->metadata = this->relay.protocol.ParseRequest(this->request);
  if (this->Admit()) {
    this->deadline_timer.Start(this->deadline,
                               [this] { this->HandleDeadline(); });
    this->TryServers();
  }
}

void Exchange::Cancel(std::string_view why) {
  this->AbandonTry();
  this->DropSilentTry();
  this->LogFinished("caller_left", why);
}

void Exchange::CancelForStop() {
  this->AbandonTry();
  this->DropSilentTry();
  this->LogFinished("aborted", "the process stopped");
}

bool Exchange::Admit() {
  this->active_configuration = this->relay.active_configuration;
  if (this->active_configuration == nullptr ||
      this->relay.configuration_unconfirmed) {
    this->SendLocalReply(
        {503, "no current configuration is known yet", milliseconds(500)});
    return false;
  }
  RequestAccess access =
      CheckAccess(this->metadata, *this->active_configuration);
  if (access.refusal) {
    this->SendLocalReply(*access.refusal);
    return false;
  }
  this->route = std::move(access.route);
  this->priority = this->route->priority;
  if (access.workspace != nullptr) {
    this->workspace = access.workspace->name;
    this->priority = access.workspace->priority.value_or(this->priority);
  }
  if (!this->AcquireMemory()) {
    return false;
  }
  this->fingerprint = MakeRequestFingerprint(this->workspace, this->request);
  this->crash_keys = {this->fingerprint};
  this->crash_keys.insert(this->crash_keys.end(),
                          this->metadata.shared_parts.begin(),
                          this->metadata.shared_parts.end());
  this->ChooseService();
  if (this->service == nullptr) {
    this->SendLocalReply({503, "the route has no service", milliseconds(500)});
    return false;
  }
  this->deadline =
      this->arrived +
      std::min(this->metadata.deadline.value_or(this->route->timeout),
               this->route->timeout);
  this->last_event_id = this->metadata.last_event_id;
  if (this->Remaining() < kMinRemainingTime) {
    this->SendLocalReply({503, "no time is left", std::nullopt});
    return false;
  }
  if (!this->relay.drain_window.Admits(this->relay.Now(),
                                       this->ExpectedEnd())) {
    this->SendLocalReply(
        {503, "the process is about to stop", kStopRetryAfter});
    return false;
  }
  this->relay.retry_budget.RecordRequest(this->service->name,
                                         this->relay.Now());
  return true;
}

bool Exchange::AcquireMemory() {
  const std::string& body = this->request.body();
  const std::size_t bytes =
      SendingBytes(HeaderBytes(this->request), body.capacity(), body.size());
  if (this->memory_share.Acquire(this->workspace, bytes,
                                 this->relay.input_budget.limit())) {
    return true;
  }
  this->relay.refusals.Count("workspace_share");
  this->relay.metrics.Count("quetzalpost_clients_refused_total",
                            "workspace_share");
  this->SendLocalReply(
      {503, "the workspace uses its share of the memory", kMemoryRetryAfter});
  return false;
}

RequestEnd Exchange::ExpectedEnd() const {
  RequestEnd end;
  end.deadline = this->deadline;
  if (this->route->streaming) {
    end.can_resume = this->MayRetry();
    if (const auto duration = this->relay.stream_durations.Estimate(
            this->service->name, this->metadata.output_tokens)) {
      end.expected = this->relay.Now() + *duration;
    }
  }
  return end;
}

void Exchange::ChooseService() {
  double total = 0;
  for (const auto& choice : this->route->services) {
    total += choice.weight;
  }
  double draw =
      std::uniform_real_distribution<double>(0, total)(this->relay.random);
  const auto& services = this->active_configuration->configuration.services;
  for (const auto& choice : this->route->services) {
    const auto found = services.find(choice.service);
    if (choice.weight <= 0 || found == services.end()) {
      continue;
    }
    this->service = &found->second;
    draw -= choice.weight;
    if (draw <= 0) {
      return;
    }
  }
}

void Exchange::TryServers() {
  if (this->Remaining() < kMinRemainingTime) {
    this->HandleDeadline();
    return;
  }
  if (this->runs.count() >= this->route->max_attempts ||
      this->tries >= kMaxTries) {
    this->GiveUp("no tries are left");
    return;
  }
  if (!this->AdmitPrompt()) {
    return;
  }
  this->relay.servers.Expire(this->relay.Now());
  if (!this->AdmitToEngines()) {
    return;
  }
  Target target = this->is_trial ? this->ChooseTrialTarget()
                                 : this->ChooseTarget(this->excluded);
  if (target.server == nullptr) {
    this->WaitOrGiveUp("no server can take it");
    return;
  }
  if (this->tries > 0 && !this->relay.retry_budget.TryAcquire(
                             this->service->name, this->relay.Now())) {
    this->WaitOrGiveUp("the retry budget is used up");
    return;
  }
  this->SendTo(std::move(target));
}

ChoiceQuery Exchange::MakeQuery() const {
  ChoiceQuery query;
  query.availability_zone = this->relay.availability_zone;
  query.excluded = this->excluded;
  query.prompt_tokens = this->metadata.prompt_tokens;
  query.output_tokens = this->metadata.output_tokens;
  query.peer_count = this->relay.processes_in_zone - 1;
  query.other_zones_known = this->relay.other_zones_known;
  query.open_zones = this->open_zones;
  return query;
}

Target Exchange::ChooseTarget(std::span<const std::string> avoided) {
  ChoiceQuery query = this->MakeQuery();
  query.excluded = avoided;
  const auto servers = this->relay.servers.FindByService(this->service->name);
  Target target;
  if (!this->service->engine) {
    target.server =
        ChooseServer(servers, query, this->relay.Now(), this->relay.random);
    return target;
  }
  target.chain = ChooseChain(*this->service->engine, servers, query,
                             this->relay.Now(), this->relay.random);
  if (target.chain) {
    target.server = target.chain->stages.front().server;
  }
  return target;
}

void Exchange::SendTo(Target target) {
  this->server = std::move(target.server);
  this->chain = std::move(target.chain);
  this->try_number = ++this->tries;
  this->runs.Add(this->try_number);
  this->open_zones.clear();
  this->try_started_at = this->relay.Now();
  this->last_progress_at = this->try_started_at;
  this->try_has_events = false;
  this->data_events = 0;
  this->waiting_since.reset();
  this->moved_at.reset();
  this->lost_engines.clear();
  this->head.reset();
  this->body.clear();
  this->body_part.Release();
  this->splitter.Reset();
  this->reading_paused = false;

  // The choice has only considered servers with room for a request.
  std::ignore = this->server->request_limit.TryAcquire(this->try_started_at);
  this->AddLoad();
  this->TrackPrompt();
  ForwardMetadata forward;
  forward.server_id = this->server->record.id;
  forward.workspace = this->workspace;
  forward.deadline = this->Remaining() - kDeadlineMargin;
  forward.last_event_id = this->last_event_id;
  forward.chain = this->chain ? &*this->chain : nullptr;
  forward.urgency = this->ServerUrgency();
  this->call = std::make_shared<UpstreamCall>(
      this->relay.io, this->relay.timers, this->relay.pool,
      this->relay.protocol, this->relay.response_limits, this->server, *this);
  // A pooled connection can already be closing, and it is then unknown whether
  // the server has run the request. A request that must not run twice would
  // fail for that reason alone, so it gets a new connection. So does a further
  // try: on a connection that has carried an earlier one, a response that the
  // server repeats would carry the same id.
  const bool fresh = !this->MayRetry() || this->tries > 1;
  const auto started = this->call;
  if (this->route->streaming || this->MayRetry()) {
    this->StartProgressTimeout();
  }
  this->StartHedgeDelay();
  started->Start(this->metadata.attempt_id,
                 this->relay.protocol.SerializeRequest(this->request, forward),
                 fresh, this->request.method() == http::Verb::head);
}

void Exchange::AbandonTry() {
  if (this->call == nullptr) {
    return;
  }
  this->call->Cancel();
  const bool overdue = !this->head && this->relay.Now() - this->try_started_at >
                                          this->route->latency_objective;
  if (overdue) {
    this->EndTry(false);
  } else {
    this->ReleaseTry();
  }
}

void Exchange::EndTry(bool succeeded) {
  if (!this->chain && this->server != nullptr) {
    const TimePoint now = this->relay.Now();
    this->server->RecordResponse(now, now - this->try_started_at, succeeded);
  }
  this->ReleaseTry();
}

void Exchange::ReleaseTry() {
  this->RemoveLoad();
  this->pending_prompt.reset();
  this->call = nullptr;
  this->progress_timer.Cancel();
}

double Exchange::KvTokens() const {
  return MemoryTokens(this->metadata.prompt_tokens,
                      this->metadata.output_tokens);
}

void Exchange::AddLoad() {
  if (this->chain) {
    this->load = std::make_unique<ChainLoad>(*this->chain, this->KvTokens());
  } else {
    ++this->server->in_flight;
  }
}

void Exchange::RemoveLoad() {
  if (this->chain) {
    this->load.reset();
  } else if (this->server != nullptr) {
    this->server->in_flight -= this->server->in_flight > 0 ? 1 : 0;
  }
}

void Exchange::HandleFailedTry(bool may_have_run, std::string_view why) {
  this->last_failure = why;
  if (!may_have_run) {
    this->runs.Remove(this->try_number);
  }
  if (this->IsHedgeBesideFirst() && this->ContinueSilentTry(why)) {
    return;
  }
  if (may_have_run) {
    // Only a stream can continue a response that another server has begun.
    const bool truncated = this->response_begun && !this->route->streaming;
    if (!this->MayRetry() || truncated) {
      this->GiveUp(why);
      return;
    }
  }
  this->TryServers();
}

void Exchange::HandleDeadline() {
  this->last_failure = "the deadline has passed";
  this->DropSilentTry();
  if (this->call != nullptr) {
    this->call->Cancel();
    this->EndTry(false);
  }
  if (this->response_begun) {
    this->LogFinished("aborted", this->last_failure);
    this->sink.Abort();
    return;
  }
  if (!this->runs.empty()) {
    this->SendLocalReply({504, this->last_failure, std::nullopt});
  } else {
    this->SendLocalReply({503, this->last_failure, milliseconds(100)});
  }
}

void Exchange::WaitOrGiveUp(std::string_view why) {
  const TimePoint now = this->relay.Now();
  const bool may_wait =
      this->last_forwarded_event_at && this->response_begun &&
      now - *this->last_forwarded_event_at < kMaxStreamInterruption;
  if (!may_wait) {
    this->GiveUp(why);
    return;
  }
  this->progress_timer.Start(now + kResumeRetryInterval,
                             [this] { this->TryServers(); });
}

void Exchange::GiveUp(std::string_view why) {
  if (this->ContinueSilentTry(why)) {
    return;
  }
  if (this->response_begun) {
    this->LogFinished("aborted", why);
    this->sink.Abort();
    return;
  }
  if (!this->runs.empty()) {
    this->SendLocalReply({502, why, std::nullopt});
    return;
  }
  this->SendLocalReply({503, why, this->ComputeRetryAfter()});
}

Duration Exchange::ComputeRetryAfter() {
  const TimePoint now = this->relay.Now();
  const auto pause = EarliestPauseEnd(
      this->relay.servers.FindByService(this->service->name), now);
  if (pause) {
    return *pause - now;
  }
  if (auto* const admission = this->relay.admission.Find(this->service->name)) {
    return admission->ScheduleRetry(this->MakeAdmissionRequest(), now).after;
  }
  const Duration preferred =
      this->route->streaming ? kStreamRetryAfter : kPlainRetryAfter;
  const auto max_retry_after = std::chrono::duration_cast<Duration>(
      std::max(this->Remaining(), Duration{0}) * kMaxRetryAfterShare);
  // The jitter keeps callers from returning at the same time.
  const double jitter =
      std::uniform_real_distribution<double>(0.7, 1.3)(this->relay.random);
  return std::min(std::chrono::duration_cast<Duration>(preferred * jitter),
                  max_retry_after);
}

void Exchange::SendLocalReply(const LocalReply& reply) {
  const std::string why =
      std::string(reply.reason) +
      (this->last_failure.empty() ? "" : " (" + this->last_failure + ")");
  this->sink.Write(SerializeLocalReply(reply, this->sink.keeps_open()));
  this->LogFinished(std::to_string(reply.status), why);
  this->sink.Finish();
}

void Exchange::LogFinished(std::string_view outcome, std::string_view why) {
  const TimePoint now = this->relay.Now();
  this->relay.metrics.Count("quetzalpost_requests_total", outcome);
  this->relay.metrics.Observe("quetzalpost_request_seconds",
                              now - this->arrived);
  std::vector<EventField> fields = {
      {"request", this->metadata.attempt_id},
      {"route", this->route == nullptr ? "" : this->route->name},
      {"workspace", this->workspace},
      {"fingerprint", this->fingerprint},
      {"configuration",
       this->active_configuration == nullptr
           ? ""
           : std::to_string(this->active_configuration->configuration.version)},
      {"configuration_age_ms",
       FormatMillis(now - this->relay.configuration_freshness.verified_at())},
      {"outcome", std::string(outcome)},
      {"why", std::string(why)},
      {"server", this->server == nullptr ? "" : this->server->record.id},
      {"chain", FormatChain(this->chain)},
      {"tries", std::to_string(this->tries)},
      {"first_event_ms", FormatMillis(this->time_to_first_event)},
      {"longest_gap_ms", FormatMillis(this->max_event_gap)},
      {"ms", FormatMillis(now - this->arrived)}};
  if (const auto& began = this->relay.drain_window.began_at()) {
    fields.push_back({"stop_ms", FormatMillis(now - *began)});
  }
  this->relay.events.Record(EventId::kRelayRequestFinished, std::move(fields));
  this->LogHedge();
}

}  // namespace qp::relay
