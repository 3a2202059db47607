// Keeping requests that crash backend servers away from them.
#include <algorithm>
#include <chrono>
#include <random>
#include <utility>

#include "relay/exchange.h"
#include "relay/request_fingerprint.h"

namespace qp::relay {

namespace {

using std::chrono::milliseconds;

/// Interval between checks whether a request may be sent that waits for the
/// trial of one of its keys.
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
  this->waits_for_probe = false;
  if (!this->IsPromptUnproven()) {
    return true;
  }
  const TimePoint now = this->relay.Now();
  Admission admission = this->relay.quarantine.Admit(this->crash_keys, now);
  // A request with one of the keys may just have crashed its server.
  this->waits_for_probe =
      admission.may_send() &&
      this->relay.crash_probe.IsProbing(this->crash_keys) &&
      this->relay.crash_probe.IsProbing(
          this->relay.quarantine.FindUntrusted(this->crash_keys, now));
  if (this->waits_for_probe) {
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
        this->waits_for_probe = false;
        return true;
      }
      this->progress_timer.Start(
          now + (this->waits_for_probe ? CrashProbe::kTimeout
                                       : kAdmissionInterval),
          [this] { this->TryServers(); });
      if (this->waits_for_probe) {
        this->relay.crash_probe.CallAtNextResult(
            [this, owner = std::weak_ptr<int>(this->alive)] {
              if (!owner.expired() &&
                  std::exchange(this->waits_for_probe, false)) {
                this->progress_timer.Cancel();
                this->TryServers();
              }
            });
      }
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
      IsRequestFingerprint(admission.part)
          ? "the request crashes servers, fingerprint " + admission.part
          : "requests with prompt part " + admission.part + " crash engines";
  if (this->response_begun || !this->runs.empty()) {
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
      this->crash_keys, this->relay.Now(),
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
    this->relay.crash_probe.ReportBroken(broken, this->crash_keys, sent_at);
  }
}

void Exchange::HandlePromptQuarantined() {
  // The server drops the request when its connection closes, before it begins
  // to write the response that would crash it.
  if (this->call != nullptr) {
    this->call->Cancel();
    this->ReleaseTry();
  }
  this->DropSilentTry();
  this->GiveUp("the request or a part of its prompt crashes servers");
}

void Exchange::RecordPromptStart() {
  if (!this->IsPromptUnproven()) {
    return;
  }
  this->prompt_started = true;
  this->pending_prompt.reset();
  this->relay.quarantine.RecordStart(this->crash_keys, this->relay.Now());
}

}  // namespace qp::relay
