#include "relay/exchange.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

#include "relay/log_text.h"

namespace qp::relay {

namespace {

using std::chrono::milliseconds;

/// With less time left, no answer of a server could arrive.
constexpr Duration kLeastRemaining = milliseconds(20);
/// A server is told to stop this much before the caller's deadline, so that
/// its answer or refusal can still be passed on.
constexpr Duration kDeadlineMargin = milliseconds(10);
/// Time after which a caller who was refused should come back: the model is
/// covered again some 2 s after an engine is lost, plain servers sooner.
constexpr Duration kRetryStream = milliseconds(1500);
constexpr Duration kRetryPlain = milliseconds(250);
/// Longest Retry-After as a part of the caller's remaining time; callers do
/// not wait for longer than a third.
constexpr double kRetryShare = 0.3;
/// Longest break of a stream that has begun, until another server takes it.
/// Callers leave after a gap of 2 s, and the first event there takes its time.
constexpr Duration kLongestBreak = milliseconds(1500);
/// Time between two looks for such a server.
constexpr Duration kBreakCheck = milliseconds(100);
/// Neutral urgency of a request at an engine.
constexpr int kDefaultUrgency = 5;

}  // namespace

Exchange::Exchange(RelayContext& shared, http::Request received, TimePoint at,
                   ResponseSink& answers)
    : relay(shared),
      request(std::move(received)),
      sink(answers),
      arrived(at),
      deadline_timer(shared.timers),
      progress_timer(shared.timers) {}

Exchange::~Exchange() { this->AbandonTry(); }

void Exchange::Start() {
  this->metadata = this->relay.protocol.ParseRequest(this->request);
  if (this->Admit()) {
    this->deadline_timer.Start(this->deadline, [this] { this->TimeOut(); });
    this->TryServers();
  }
}

void Exchange::Cancel() {
  this->AbandonTry();
  this->LogFinished("caller_left", "");
}

bool Exchange::Admit() {
  this->active_configuration = this->relay.active_configuration;
  if (this->active_configuration == nullptr) {
    this->SendLocalReply(
        {503, "no configuration is known yet", milliseconds(500)});
    return false;
  }
  const auto& configuration = this->active_configuration->configuration;
  this->route = this->active_configuration->routes.Find(this->metadata.host,
                                                        this->metadata.path);
  if (this->route == nullptr) {
    this->SendLocalReply({404, "no route matches", std::nullopt});
    return false;
  }
  if (!this->CheckKey(configuration)) {
    this->SendLocalReply({401, "the key is not known", std::nullopt});
    return false;
  }
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
  if (this->Remaining() < kLeastRemaining) {
    this->SendLocalReply({503, "no time is left", std::nullopt});
    return false;
  }
  this->relay.retry_budget.RecordRequest(this->service->name,
                                         this->relay.Now());
  return true;
}

bool Exchange::CheckKey(const DeploymentConfiguration& configuration) {
  this->priority = this->route->priority;
  if (!configuration.has_workspaces) {
    return true;
  }
  const auto found = configuration.workspaces_by_key.find(this->metadata.key);
  if (found == configuration.workspaces_by_key.end()) {
    return this->route->anonymous;
  }
  this->workspace = found->second.name;
  this->priority = found->second.priority.value_or(this->priority);
  return true;
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
  if (this->Remaining() < kLeastRemaining) {
    this->TimeOut();
    return;
  }
  if (this->tries_run >= this->route->max_attempts ||
      this->tries >= kMaxTries) {
    this->GiveUp("no tries are left");
    return;
  }
  this->relay.servers.Expire(this->relay.Now());
  Target target = this->ChooseTarget(this->excluded);
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
  query.peers = this->relay.processes_in_zone - 1;
  query.other_zones_known = this->relay.other_zones_known;
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
  ++this->tries;
  this->try_began = this->relay.Now();
  this->last_event_at = this->try_began;
  this->try_has_events = false;
  this->moved_at.reset();
  this->move_lost.clear();
  this->head.reset();
  this->body.clear();
  this->splitter.Reset();
  this->slowed_down = false;

  this->AddLoad();
  ForwardMetadata forward;
  forward.server_id = this->server->record.id;
  forward.workspace = this->workspace;
  forward.deadline = this->Remaining() - kDeadlineMargin;
  forward.last_event_id = this->last_event_id;
  forward.chain = this->chain ? &*this->chain : nullptr;
  forward.urgency = std::clamp(this->priority + kDefaultUrgency - 1, 0, 9);
  this->call = std::make_shared<UpstreamCall>(
      this->relay.io, this->relay.timers, this->relay.pool,
      this->relay.protocol, this->relay.response_limits, this->server, *this);
  // A kept connection may be closing already, and the caller of a request
  // that must not run twice could then only be told that it may have run.
  const bool fresh = !this->MayRetry();
  const auto started = this->call;
  if (this->route->streaming || this->MayRetry()) {
    this->WatchProgress();
  }
  started->Start(this->metadata.attempt_id,
                 this->relay.protocol.SerializeRequest(this->request, forward),
                 fresh, this->request.method() == http::Verb::head);
}

void Exchange::AbandonTry() {
  if (this->call == nullptr) {
    return;
  }
  this->call->Cancel();
  const bool overdue = !this->head && this->relay.Now() - this->try_began >
                                          this->route->latency_objective;
  if (overdue) {
    this->EndTry(false);
  } else {
    this->ReleaseTry();
  }
}

void Exchange::EndTry(bool good) {
  if (!this->chain && this->server != nullptr) {
    const TimePoint now = this->relay.Now();
    this->server->RecordResponse(now, now - this->try_began, good);
  }
  this->ReleaseTry();
}

void Exchange::ReleaseTry() {
  this->RemoveLoad();
  this->call = nullptr;
  this->progress_timer.Cancel();
}

double Exchange::Tokens() const {
  return MemoryTokens(this->metadata.prompt_tokens,
                      this->metadata.output_tokens);
}

void Exchange::AddLoad() {
  if (this->chain) {
    this->load = std::make_unique<ChainLoad>(*this->chain, this->Tokens());
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

void Exchange::FailTry(bool may_have_run, std::string_view why) {
  this->last_failure = why;
  if (may_have_run) {
    this->may_have_run = true;
    ++this->tries_run;
    // Only a stream can go on where another server's answer broke off.
    const bool cut = this->response_begun && !this->route->streaming;
    if (!this->MayRetry() || cut) {
      this->GiveUp(why);
      return;
    }
  }
  this->TryServers();
}

void Exchange::TimeOut() {
  this->last_failure = "the deadline has passed";
  if (this->call != nullptr) {
    this->call->Cancel();
    this->EndTry(false);
    this->may_have_run = true;
  }
  if (this->response_begun) {
    this->LogFinished("aborted", this->last_failure);
    this->sink.Abort();
    return;
  }
  if (this->may_have_run) {
    this->SendLocalReply({504, this->last_failure, std::nullopt});
  } else {
    this->SendLocalReply({503, this->last_failure, milliseconds(100)});
  }
}

void Exchange::WaitOrGiveUp(std::string_view why) {
  const TimePoint now = this->relay.Now();
  const bool may_wait = this->passed_event_at && this->response_begun &&
                        now - *this->passed_event_at < kLongestBreak;
  if (!may_wait) {
    this->GiveUp(why);
    return;
  }
  this->progress_timer.Start(now + kBreakCheck, [this] { this->TryServers(); });
}

void Exchange::GiveUp(std::string_view why) {
  if (this->response_begun) {
    this->LogFinished("aborted", why);
    this->sink.Abort();
    return;
  }
  if (this->may_have_run) {
    this->SendLocalReply({502, why, std::nullopt});
    return;
  }
  this->SendLocalReply({503, why, this->ReturnTime()});
}

Duration Exchange::ReturnTime() {
  const TimePoint now = this->relay.Now();
  const auto pause = EarliestPauseEnd(
      this->relay.servers.FindByService(this->service->name), now);
  if (pause) {
    return *pause - now;
  }
  const Duration wished = this->route->streaming ? kRetryStream : kRetryPlain;
  const auto longest = std::chrono::duration_cast<Duration>(
      std::max(this->Remaining(), Duration{0}) * kRetryShare);
  // Spread, so that callers don't come back together.
  const double spread =
      std::uniform_real_distribution<double>(0.7, 1.3)(this->relay.random);
  return std::min(std::chrono::duration_cast<Duration>(wished * spread),
                  longest);
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
  this->relay.events.Record(
      EventId::kRelayRequestFinished,
      {{"request", this->metadata.attempt_id},
       {"route", this->route == nullptr ? "" : this->route->name},
       {"workspace", this->workspace},
       {"configuration",
        this->active_configuration == nullptr
            ? ""
            : std::to_string(
                  this->active_configuration->configuration.version)},
       {"outcome", std::string(outcome)},
       {"why", std::string(why)},
       {"server", this->server == nullptr ? "" : this->server->record.id},
       {"chain", FormatChain(this->chain)},
       {"tries", std::to_string(this->tries)},
       {"first_event_ms", FormatMillis(this->first_event_after)},
       {"longest_gap_ms", FormatMillis(this->max_gap)},
       {"ms", FormatMillis(now - this->arrived)}});
}

}  // namespace qp::relay
