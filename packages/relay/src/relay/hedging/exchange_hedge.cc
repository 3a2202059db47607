#include "relay/hedging/exchange_hedge.h"

#include <algorithm>
#include <chrono>
#include <string>

#include "relay/hedging/hedge_choice.h"
#include "relay/log_text.h"
#include "relay/silent_try.h"
#include "relay/status.h"

namespace qp::relay {

namespace {

constexpr const char* kHedgeCounter = "quetzalpost_hedges_total";
/// Lateness of the timer above which the process itself counts as stalled. The
/// answer has possibly arrived by then, so it is read before the decision.
constexpr Duration kMaxTimerDelay = std::chrono::milliseconds(50);

}  // namespace

void Exchange::StartHedgeDelay() {
  HedgePolicy& policy = this->relay.hedging;
  if (!policy.enabled() || this->tries != 1) {
    return;
  }
  const TimePoint now = this->relay.Now();
  policy.RecordRequest(this->service->name, now);
  if (this->chain || this->is_trial ||
      !HedgePolicy::IsHedgeable(this->route->retry_policy,
                                this->route->streaming)) {
    return;
  }
  const auto delay = policy.Delay(this->service->name, now);
  if (!delay) {
    return;
  }
  this->hedge = std::make_unique<Hedge>(this->relay.timers);
  this->hedge->delay = *delay;
  this->hedge->quantile = policy.quantile();
  this->hedge->due = now + *delay;
  this->hedge->timer.Start(this->hedge->due, [this] { this->SendHedge(); });
}

void Exchange::SendHedge() {
  Hedge& own = *this->hedge;
  const TimePoint now = this->relay.Now();
  const bool slow = this->call != nullptr && this->tries == 1 && !this->head;
  // A second try needs the time that most answers take.
  if (!slow || this->Remaining() <= own.delay) {
    return;
  }
  if (now - own.due > kMaxTimerDelay) {
    own.due = now + kMaxTimerDelay;
    own.timer.Start(own.due, [this] { this->SendHedge(); });
    return;
  }
  const Admission admission =
      this->relay.quarantine.Admit(this->crash_keys, now);
  if (this->IsPromptUnproven() &&
      admission.decision != AdmissionDecision::kSend) {
    this->relay.metrics.Count(kHedgeCounter, "held_by_quarantine");
    return;
  }
  const auto servers = this->relay.servers.FindByService(this->service->name);
  Target target;
  target.server = ChooseHedgeServer(servers, this->MakeQuery(), *this->server,
                                    now, this->relay.random);
  HedgeQuery query;
  query.service = this->service->name;
  query.retry_policy = this->route->retry_policy;
  query.streaming = this->route->streaming;
  query.tries_run = this->runs.count();
  query.max_attempts = std::min(this->route->max_attempts, kMaxTries);
  query.room = MeasureRoom(servers, now);
  query.has_server = target.server != nullptr;
  const HedgeDecision decision =
      this->relay.hedging.Decide(query, this->relay.retry_budget, now);
  this->relay.metrics.Count(kHedgeCounter, ToString(decision));
  if (decision != HedgeDecision::kSend) {
    return;
  }
  own.first_id = this->server->record.id;
  own.second_id = target.server->record.id;
  own.second_number = this->tries + 1;
  this->progress_timer.Cancel();
  this->silent_try = std::make_unique<SilentTry>(*this, true);
  this->SendTo(std::move(target));
}

bool Exchange::IsHedgeBesideFirst() const {
  return this->hedge != nullptr && this->silent_try != nullptr &&
         this->try_number == this->hedge->second_number;
}

void Exchange::RecordChosenAnswer(bool whole) {
  const TimePoint now = this->relay.Now();
  if (whole && this->try_number == 1 &&
      this->head->status < kFirstServerError &&
      HedgePolicy::IsHedgeable(this->route->retry_policy,
                               this->route->streaming)) {
    this->relay.hedging.RecordAnswer(this->service->name,
                                     now - this->try_started_at, now);
  }
  if (this->hedge == nullptr || this->hedge->second_number == 0 ||
      !this->hedge->winner.empty()) {
    return;
  }
  Hedge& own = *this->hedge;
  if (this->try_number == 1) {
    own.winner = "first";
  } else if (this->try_number != own.second_number) {
    own.winner = "later";
  } else {
    own.winner = "second";
    own.second_won = true;
    this->relay.metrics.Count(kHedgeCounter, "won");
    if (this->silent_try != nullptr) {
      this->relay.hedging.RecordAnswer(this->service->name,
                                       this->silent_try->silence(), now);
    }
  }
}

void Exchange::LogHedge() {
  if (this->hedge == nullptr || this->hedge->second_number == 0) {
    return;
  }
  const Hedge& own = *this->hedge;
  this->relay.events.Record(
      EventId::kRelayRequestHedged,
      {{"request", this->metadata.attempt_id},
       {"first", own.first_id},
       {"second", own.second_id},
       {"delay_ms", FormatMillis(own.delay)},
       {"quantile", std::to_string(own.quantile)},
       {"winner", own.winner.empty() ? "none" : std::string(own.winner)},
       {"ms", FormatMillis(this->relay.Now() - this->arrived)}});
}

}  // namespace qp::relay
