#include "relay/exchange.h"

#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

namespace qp::relay {

namespace {

using std::chrono::milliseconds;

/// Requests sent for one request of a caller, refused ones included. Bounds
/// the time that a request spends on servers that turn it away.
constexpr int kMaxTries = 5;
/// With less time left, no answer of a server could arrive.
constexpr Duration kLeastRemaining = milliseconds(20);
/// A server is told to stop this much before the caller's deadline, so that
/// its answer or refusal can still be passed on.
constexpr Duration kDeadlineMargin = milliseconds(10);
/// Longest wait for the first event of a stream: half as long again as the
/// latency objective, at least this. Callers leave after four objectives.
constexpr Duration kLeastFirstEvent = milliseconds(700);
constexpr double kFirstEventObjectives = 1.6;
/// Longest silence in a stream. Callers leave after a gap of 2 s; a gap of
/// 200 ms makes the answer late.
constexpr Duration kLongestGap = milliseconds(600);
/// Time after which a caller who was refused should come back: the model is
/// covered again some 2 s after an engine is lost, plain servers sooner.
constexpr Duration kRetryStream = milliseconds(1500);
constexpr Duration kRetryPlain = milliseconds(250);
/// Longest Retry-After as a part of the caller's remaining time; callers do
/// not wait for longer than a third.
constexpr double kRetryShare = 0.3;
/// Neutral urgency of a request at an engine.
constexpr int kDefaultUrgency = 5;

std::string ChainText(const std::optional<Chain>& chain) {
  std::string text;
  if (chain) {
    for (const auto& stage : chain->stages) {
      text += (text.empty() ? "" : " ") + stage.server->record.id + "=" +
              std::to_string(stage.layers.first) + "-" +
              std::to_string(stage.layers.end);
    }
  }
  return text;
}

std::string Millis(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<milliseconds>(duration).count());
}

bool IsRefusal(unsigned status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

bool IsSuccess(unsigned status) { return status >= 200 && status < 300; }

}  // namespace

Exchange::Exchange(Relay& shared, http::Request received, TimePoint at,
                   AnswerSink& answers)
    : relay(shared),
      request(std::move(received)),
      sink(answers),
      arrived(at),
      deadline_timer(shared.timers),
      stream_timer(shared.timers) {}

Exchange::~Exchange() {
  if (this->call != nullptr) {
    this->call->Cancel();
    this->EndTry(false);
  }
}

void Exchange::Start() {
  this->facts = this->relay.protocol.ReadRequest(this->request);
  if (this->Admit()) {
    this->deadline_timer.Start(this->deadline, [this] { this->TimeOut(); });
    this->TryServers();
  }
}

void Exchange::Cancel() {
  if (this->call != nullptr) {
    this->call->Cancel();
    this->EndTry(true);
  }
  this->NoteFinished("caller_left", "");
}

bool Exchange::Admit() {
  this->in_force = this->relay.in_force;
  if (this->in_force == nullptr) {
    this->Refuse({503, "no configuration is known yet", milliseconds(500)});
    return false;
  }
  const auto& configuration = this->in_force->configuration;
  this->route = this->in_force->routes.Find(this->facts.host, this->facts.path);
  if (this->route == nullptr) {
    this->Refuse({404, "no route matches", std::nullopt});
    return false;
  }
  if (!this->CheckKey(configuration)) {
    this->Refuse({401, "the key is not known", std::nullopt});
    return false;
  }
  this->PickService();
  if (this->service == nullptr) {
    this->Refuse({503, "the route has no service", milliseconds(500)});
    return false;
  }
  this->deadline = this->arrived +
                   std::min(this->facts.deadline.value_or(this->route->timeout),
                            this->route->timeout);
  this->last_event_id = this->facts.last_event_id;
  if (this->Remaining() < kLeastRemaining) {
    this->Refuse({503, "no time is left", std::nullopt});
    return false;
  }
  this->relay.allowance.NoteRequest(this->service->name, this->relay.Now());
  return true;
}

bool Exchange::CheckKey(const DeploymentConfiguration& configuration) {
  this->priority = this->route->priority;
  if (!configuration.has_workspaces) {
    return true;
  }
  const auto found = configuration.workspaces_by_key.find(this->facts.key);
  if (found == configuration.workspaces_by_key.end()) {
    return this->route->anonymous;
  }
  this->workspace = found->second.name;
  this->priority = found->second.priority.value_or(this->priority);
  return true;
}

void Exchange::PickService() {
  double total = 0;
  for (const auto& choice : this->route->services) {
    total += choice.weight;
  }
  double draw =
      std::uniform_real_distribution<double>(0, total)(this->relay.random);
  const auto& services = this->in_force->configuration.services;
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
  if (!this->ChooseTarget()) {
    this->GiveUp("no server can take it");
    return;
  }
  if (this->tries > 0 &&
      !this->relay.allowance.TryTake(this->service->name, this->relay.Now())) {
    this->GiveUp("the retry budget is used up");
    return;
  }
  this->SendTo(this->server);
}

bool Exchange::ChooseTarget() {
  ChoiceQuery query;
  query.availability_zone = this->relay.availability_zone;
  query.excluded = this->excluded;
  query.prompt_tokens = this->facts.prompt_tokens;
  query.output_tokens = this->facts.output_tokens;
  query.peers = this->relay.processes_in_zone - 1;
  query.other_zones_known = this->relay.other_zones_known;
  const auto servers = this->relay.servers.Of(this->service->name);
  this->chain.reset();
  this->server = nullptr;
  if (this->service->engine) {
    this->chain = ChooseChain(*this->service->engine, servers, query,
                              this->relay.Now(), this->relay.random);
    if (this->chain) {
      this->server = this->chain->stages.front().server;
    }
  } else {
    this->server =
        ChooseServer(servers, query, this->relay.Now(), this->relay.random);
  }
  return this->server != nullptr;
}

void Exchange::SendTo(const ServerPtr& target) {
  ++this->tries;
  this->try_began = this->relay.Now();
  this->last_event_at = this->try_began;
  this->try_has_events = false;
  this->head.reset();
  this->body.clear();
  this->splitter.Reset();

  const double tokens = this->facts.prompt_tokens + this->facts.output_tokens;
  if (this->chain) {
    for (const auto& stage : this->chain->stages) {
      ++stage.server->in_flight;
      const double token_layers = tokens * stage.layers.size();
      stage.server->kv_token_layers += token_layers;
      ++stage.server->unreported_streams;
      stage.server->unreported_kv_token_layers += token_layers;
    }
  } else {
    ++target->in_flight;
  }

  ForwardFacts forward;
  forward.server_id = target->record.id;
  forward.workspace = this->workspace;
  forward.deadline = this->Remaining() - kDeadlineMargin;
  forward.last_event_id = this->last_event_id;
  forward.chain = this->chain ? &*this->chain : nullptr;
  forward.urgency = std::clamp(this->priority + kDefaultUrgency - 1, 0, 9);
  this->call = std::make_shared<UpstreamCall>(
      this->relay.io, this->relay.timers, this->relay.pool,
      this->relay.protocol, target, *this);
  // A kept connection may be closing already, and the caller of a request
  // that must not run twice could then only be told that it may have run.
  const bool fresh = !this->MayRepeat();
  const auto started = this->call;
  if (this->route->streaming) {
    this->WatchStream();
  }
  started->Start(this->facts.attempt_id,
                 this->relay.protocol.WriteRequest(this->request, forward),
                 fresh, this->request.method() == http::Verb::head);
}

void Exchange::OnResponse(ResponseHead received) {
  const ResponseFacts& answer = received.facts;
  if (answer.running) {
    this->server->reported_busy = *answer.running + answer.waiting.value_or(0);
    this->server->reported_at = this->relay.Now();
  }
  this->head = std::move(received);
}

void Exchange::OnBody(std::string_view bytes) {
  const bool is_stream = this->route->streaming &&
                         this->head->facts.is_signed &&
                         IsSuccess(this->head->status);
  if (!is_stream) {
    this->body.append(bytes);
    return;
  }
  this->splitter.Append(bytes);
  this->HandleEvents();
}

void Exchange::HandleEvents() {
  std::string chunk;
  while (auto event = this->splitter.Next()) {
    if (event->id && this->last_event_id &&
        *event->id <= *this->last_event_id) {
      continue;
    }
    if (event->id) {
      this->last_event_id = event->id;
    }
    chunk.append(event->bytes);
  }
  if (chunk.empty()) {
    return;
  }
  const TimePoint now = this->relay.Now();
  this->last_event_at = now;
  if (!std::exchange(this->try_has_events, true)) {
    this->WatchStream();
  }
  for (const auto& stage :
       this->chain ? this->chain->stages : std::vector<ChainStage>{}) {
    stage.server->NoteProgress(now);
  }
  this->BeginStream();
  this->sink.Write(WriteChunk(chunk));
}

void Exchange::BeginStream() {
  if (std::exchange(this->stream_begun, true)) {
    return;
  }
  this->relay.metrics.Observe("quetzalpost_first_event_seconds",
                              this->relay.Now() - this->arrived);
  this->sink.Write(WriteChunkedHead(this->head->status, this->head->headers,
                                    this->sink.keeps_open()));
}

void Exchange::OnComplete() {
  const bool is_stream = this->route->streaming &&
                         this->head->facts.is_signed &&
                         IsSuccess(this->head->status);
  if (is_stream) {
    this->CompleteStream();
  } else {
    this->CompletePlain();
  }
}

void Exchange::CompleteStream() {
  if (this->splitter.has_partial_event()) {
    this->EndTry(false);
    this->FailTry(true, "the stream ended inside of an event");
    return;
  }
  this->EndTry(true);
  this->BeginStream();
  this->sink.Write(kLastChunk);
  this->NoteFinished("served", "");
  this->sink.Finish();
}

void Exchange::CompletePlain() {
  const unsigned status = this->head->status;
  const bool not_executed =
      status == 421 || (IsRefusal(status) && this->head->facts.not_executed) ||
      (status == 400 && this->head->facts.not_executed);
  if (not_executed) {
    const auto& failed = this->head->facts.failed_address;
    const ServerPtr culprit =
        failed.empty() ? nullptr : this->relay.servers.FindByAddress(failed);
    const ServerPtr refuser = culprit != nullptr ? culprit : this->server;
    this->EndTry(true);
    this->NoteRefusal(*refuser, status);
    this->excluded.push_back(refuser->record.id);
    this->FailTry(false, "refused with " + std::to_string(status));
    return;
  }
  const bool success = IsSuccess(status);
  if (success && !this->head->facts.is_signed) {
    this->EndTry(false);
    this->excluded.push_back(this->server->record.id);
    this->FailTry(true, "the answer is not signed");
    return;
  }
  this->EndTry(status < 500);
  const bool retry = status >= 500 && this->MayRepeat();
  if (retry && this->tries_run + 1 < this->route->max_attempts) {
    this->excluded.push_back(this->server->record.id);
    this->FailTry(true, "failed with " + std::to_string(status));
    return;
  }
  this->ForwardAnswer();
}

void Exchange::NoteRefusal(Server& refuser, unsigned status) {
  if (this->chain) {
    // It is full or gone; either takes a while to change.
    refuser.NoteFailure(this->relay.Now());
  }
  this->relay.events.Record(
      EventId::kRelayAttemptFailed,
      {{"request", this->facts.attempt_id},
       {"peer", refuser.record.id},
       {"step", "upstream.refused"},
       {"status", std::to_string(status)},
       {"streams", std::to_string(refuser.in_flight)},
       {"peer_streams", std::to_string(refuser.peer_streams)},
       {"kv_token_layers",
        std::to_string(static_cast<std::int64_t>(
            refuser.kv_token_layers + refuser.peer_kv_token_layers))},
       {"layers", std::to_string(refuser.record.layers.size())},
       {"accelerator", refuser.record.accelerator}});
}

void Exchange::ForwardAnswer() {
  if (this->stream_begun) {
    this->NoteFinished("aborted", "the stream could not be resumed");
    this->sink.Abort();
    return;
  }
  const unsigned status = this->head->status;
  if (IsRefusal(status)) {
    // Only a server that says so has not run the request.
    this->Refuse({502, "the server failed", std::nullopt});
    return;
  }
  this->sink.Write(WriteResponse(status, this->head->headers, this->body,
                                 this->sink.keeps_open()));
  this->NoteFinished(IsSuccess(status) ? "served" : "server_failed",
                     std::to_string(status));
  this->sink.Finish();
}

void Exchange::OnFailure(CallFailure failure) {
  this->EndTry(false);
  const ServerPtr target = this->server;
  this->relay.events.Record(EventId::kRelayAttemptFailed,
                            {{"request", this->facts.attempt_id},
                             {"peer", target->record.id},
                             {"step", failure.error.step},
                             {"detail", failure.error.detail},
                             {"tries", std::to_string(this->tries)}});
  if (!failure.was_reused) {
    if (this->chain && failure.may_have_run) {
      this->SuspectChain(this->last_event_at);
    } else {
      target->NoteFailure(this->relay.Now());
    }
    this->excluded.push_back(target->record.id);
  }
  if (failure.was_reused) {
    // The server had closed the connection; the next try takes another one.
    this->may_have_run = true;
    this->last_failure = failure.error.detail;
    this->TryServers();
    return;
  }
  this->FailTry(failure.may_have_run, failure.error.detail);
}

void Exchange::EndTry(bool good) {
  const TimePoint now = this->relay.Now();
  const double tokens = this->facts.prompt_tokens + this->facts.output_tokens;
  if (this->chain) {
    for (const auto& stage : this->chain->stages) {
      stage.server->in_flight -= stage.server->in_flight > 0 ? 1 : 0;
      stage.server->kv_token_layers = std::max(
          0.0, stage.server->kv_token_layers - tokens * stage.layers.size());
    }
  } else if (this->server != nullptr) {
    this->server->in_flight -= this->server->in_flight > 0 ? 1 : 0;
    this->server->NoteAnswer(now, now - this->try_began, good);
  }
  this->call = nullptr;
  this->stream_timer.Cancel();
}

void Exchange::FailTry(bool may_have_run, std::string_view why) {
  this->last_failure = why;
  if (may_have_run) {
    this->may_have_run = true;
    ++this->tries_run;
    if (!this->MayRepeat()) {
      this->GiveUp(why);
      return;
    }
  }
  this->TryServers();
}

void Exchange::SuspectChain(TimePoint since) {
  const TimePoint now = this->relay.Now();
  std::vector<ServerPtr> silent;
  for (const auto& stage : this->chain->stages) {
    // An engine that others' streams have come through since is sound.
    if (stage.server->last_progress <= since) {
      silent.push_back(stage.server);
    }
  }
  for (const auto& server : silent) {
    if (silent.size() == 1) {
      server->NoteFailure(now);
    } else {
      server->NoteDoubt(now);
    }
    this->relay.events.Record(
        EventId::kServerSuspected,
        {{"server", server->record.id},
         {"request", this->facts.attempt_id},
         {"others", std::to_string(silent.size() - 1)},
         {"silent_ms", Millis(now - server->last_progress)}});
  }
}

void Exchange::WatchStream() {
  const bool begun = this->try_has_events;
  const Duration first_bound =
      std::max(kLeastFirstEvent,
               std::chrono::duration_cast<Duration>(
                   this->route->latency_objective * kFirstEventObjectives));
  this->stream_timer.Start(
      this->last_event_at + (begun ? kLongestGap : first_bound),
      [this] { this->CheckStream(); });
}

void Exchange::CheckStream() {
  const bool begun = this->try_has_events;
  if (begun && this->relay.Now() - this->last_event_at < kLongestGap) {
    this->WatchStream();
    return;
  }
  if (!this->MayRepeat() || this->tries_run + 1 >= this->route->max_attempts) {
    return;  // The deadline ends it.
  }
  const auto silent = this->call;
  this->relay.events.Record(
      EventId::kRelayAttemptFailed,
      {{"request", this->facts.attempt_id},
       {"chain", ChainText(this->chain)},
       {"step", begun ? "stream.next_event" : "stream.first_event"},
       {"silent_ms", Millis(this->relay.Now() - this->last_event_at)}});
  silent->Cancel();
  if (this->chain) {
    this->SuspectChain(this->last_event_at);
  }
  this->EndTry(false);
  this->FailTry(true, "the stream fell silent");
}

void Exchange::TimeOut() {
  this->last_failure = "the deadline has passed";
  if (this->call != nullptr) {
    this->call->Cancel();
    this->EndTry(false);
    this->may_have_run = true;
  }
  if (this->stream_begun) {
    this->NoteFinished("aborted", this->last_failure);
    this->sink.Abort();
    return;
  }
  if (this->may_have_run) {
    this->Refuse({504, this->last_failure, std::nullopt});
  } else {
    this->Refuse({503, this->last_failure, milliseconds(100)});
  }
}

void Exchange::GiveUp(std::string_view why) {
  if (this->stream_begun) {
    this->NoteFinished("aborted", why);
    this->sink.Abort();
    return;
  }
  if (this->may_have_run) {
    this->Refuse({502, why, std::nullopt});
    return;
  }
  const Duration wished = this->route->streaming ? kRetryStream : kRetryPlain;
  const auto longest = std::chrono::duration_cast<Duration>(
      std::max(this->Remaining(), Duration{0}) * kRetryShare);
  // Spread, so that callers don't come back together.
  const double spread =
      std::uniform_real_distribution<double>(0.7, 1.3)(this->relay.random);
  const auto retry_after =
      std::min(std::chrono::duration_cast<Duration>(wished * spread), longest);
  this->Refuse({503, why, retry_after});
}

void Exchange::Refuse(const OwnAnswer& answer) {
  const std::string why =
      std::string(answer.reason) +
      (this->last_failure.empty() ? "" : " (" + this->last_failure + ")");
  this->sink.Write(WriteOwnAnswer(answer, this->sink.keeps_open()));
  this->NoteFinished(std::to_string(answer.status), why);
  this->sink.Finish();
}

void Exchange::NoteFinished(std::string_view outcome, std::string_view why) {
  const TimePoint now = this->relay.Now();
  this->relay.metrics.Count("quetzalpost_requests_total", outcome);
  this->relay.metrics.Observe("quetzalpost_request_seconds",
                              now - this->arrived);
  this->relay.events.Record(
      EventId::kRelayRequestFinished,
      {{"request", this->facts.attempt_id},
       {"route", this->route == nullptr ? "" : this->route->name},
       {"workspace", this->workspace},
       {"configuration",
        this->in_force == nullptr
            ? ""
            : std::to_string(this->in_force->configuration.version)},
       {"outcome", std::string(outcome)},
       {"why", std::string(why)},
       {"server", this->server == nullptr ? "" : this->server->record.id},
       {"chain", ChainText(this->chain)},
       {"tries", std::to_string(this->tries)},
       {"ms", Millis(now - this->arrived)}});
}

}  // namespace qp::relay
