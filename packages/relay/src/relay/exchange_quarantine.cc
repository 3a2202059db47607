// Keeping requests whose prompts crash engines away from engines.
#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

#include "relay/exchange.h"

namespace qp::relay {

namespace {

using std::chrono::milliseconds;

/// Interval between checks whether a request may be sent that waits for the
/// trial of one of its prompt parts.
constexpr Duration kAdmissionInterval = milliseconds(10);
/// Longest wait for trials of other requests, after which the request is a
/// trial itself.
constexpr Duration kMaxAdmissionWait = milliseconds(1500);

/// Largest number of servers that a trial leaves out before it takes the best
/// of the others.
constexpr int kMaxSkipped = 3;

}  // namespace

bool Exchange::AdmitPrompt() {
  this->is_trial = false;
  if (!this->IsPromptUnproven()) {
    return true;
  }
  const TimePoint now = this->relay.Now();
  Admission admission =
      this->relay.quarantine.Admit(this->metadata.shared_parts, now);
  if (admission.may_send() &&
      !this->relay.quarantine.HasStartedLately(this->metadata.shared_parts,
                                               now) &&
      this->relay.crash_probe.IsProbing(this->metadata.shared_parts)) {
    // A request with one of the parts may just have crashed its engine.
    admission.decision = AdmissionDecision::kWait;
  }
  switch (admission.decision) {
    case AdmissionDecision::kSend:
      return true;
    case AdmissionDecision::kTrial:
      this->is_trial = true;
      return true;
    case AdmissionDecision::kWait:
      if (!this->waiting_since) {
        this->waiting_since = now;
      }
      if (now - *this->waiting_since >= kMaxAdmissionWait) {
        return true;
      }
      this->progress_timer.Start(now + kAdmissionInterval,
                                 [this] { this->TryServers(); });
      return false;
    case AdmissionDecision::kReject:
      this->RejectPrompt(admission);
      return false;
  }
  return true;
}

Target Exchange::ChooseTrialTarget() {
  std::vector<std::string> avoided = this->excluded;
  Target target = this->ChooseTarget(avoided);
  int skipped =
      std::uniform_int_distribution<int>(0, kMaxSkipped)(this->relay.random);
  while (target.server != nullptr && skipped-- > 0) {
    avoided.push_back(target.server->record.id);
    Target next = this->ChooseTarget(avoided);
    if (next.server == nullptr) {
      break;
    }
    target = std::move(next);
  }
  return target;
}

void Exchange::RejectPrompt(const Admission& admission) {
  const std::string why =
      "requests with prompt part " + admission.part + " crash engines";
  if (this->response_begun || this->may_have_run) {
    this->GiveUp(why);
    return;
  }
  this->SendLocalReply({503, why, admission.retry_at - this->relay.Now()});
}

void Exchange::TrackPrompt() {
  if (!this->IsPromptUnproven()) {
    return;
  }
  this->pending_prompt = this->relay.quarantine.AddPending(
      this->metadata.shared_parts, this->relay.Now(),
      [this, owner = std::weak_ptr<int>(this->alive),
       number = this->try_number] {
        asio::post(this->relay.io, [this, owner, number] {
          if (!owner.expired() && this->IsTryPending(number)) {
            this->HandlePromptQuarantined();
          }
        });
      });
}

void Exchange::ProbeForCrash(const ServerPtr& broken, TimePoint sent_at) {
  if (this->IsPromptUnproven()) {
    this->relay.crash_probe.ReportBroken(broken, this->metadata.shared_parts,
                                         this->fingerprint, sent_at);
  }
}

void Exchange::HandlePromptQuarantined() {
  // The engine drops the request when its connection closes, before it begins
  // to write the response that would crash it.
  if (this->call != nullptr) {
    this->call->Cancel();
  }
  this->ReleaseTry();
  this->DropSilentTry();
  this->may_have_run = true;
  this->GiveUp("a part of the prompt crashes engines");
}

void Exchange::RecordPromptStart() {
  if (!this->IsPromptUnproven()) {
    return;
  }
  this->prompt_started = true;
  this->pending_prompt.reset();
  this->relay.quarantine.RecordStart(this->metadata.shared_parts,
                                     this->relay.Now());
}

}  // namespace qp::relay
