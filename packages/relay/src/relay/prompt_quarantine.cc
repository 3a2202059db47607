#include "relay/prompt_quarantine.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdio>
#include <iterator>
#include <random>
#include <tuple>
#include <utility>

#include "foundation/hash.h"
#include "relay/request_fingerprint.h"

namespace qp::relay {

namespace {

using std::chrono::milliseconds;

/// Rounds of crashes after which a part is quarantined: one crash can have any
/// cause, a second one under a trial of the part has it as its likely cause.
constexpr std::size_t kRoundsForQuarantine = 2;
/// The same for a part that responses have begun with shortly before its first
/// crash, so that it is less likely to be the cause than others beside it.
constexpr std::size_t kRoundsForTrustedPart = 3;
/// Time until a quarantined part is tried again after two crashes, and its
/// growth with each further one. A trial that fails costs an engine with all of
/// its streams and its layers.
constexpr Duration kTrialDelay = std::chrono::seconds(30);
constexpr int kTrialDelayGrowth = 4;
/// The same for a request after two crashes: one of the many requests that wait
/// on two servers which crash for another reason can look like their cause.
constexpr Duration kFirstRequestTrialDelay = std::chrono::seconds(2);
/// Error of a time that other processes have reported. A time is replaced only
/// by one that is later by more, so that it does not drift as processes repeat
/// the reports of each other.
constexpr Duration kReportSkew = milliseconds(50);

std::uint32_t AgeMillis(TimePoint now, TimePoint since) {
  const Duration age =
      std::clamp<Duration>(now - since, Duration{0}, std::chrono::hours(48));
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<milliseconds>(age).count());
}

bool Contains(std::span<const std::string> parts, std::string_view part) {
  return std::find(parts.begin(), parts.end(), part) != parts.end();
}

/// Longest id that is kept as the caller sent it, in bytes.
constexpr std::size_t kMaxIdLength = 32;
constexpr std::size_t kHashedIdLength = 17;

/// Whether the id is a fingerprint or MakePartId can have made it. Reports and
/// stored items can come from others.
bool IsValidId(std::string_view part) {
  if (IsRequestFingerprint(part)) {
    return true;
  }
  return !part.empty() && part.size() <= kMaxIdLength &&
         MakePartId(part) == part;
}

}  // namespace

std::string MakePartId(std::string_view text) {
  const auto is_plain = [](unsigned char c) {
    return c < 0x80 && std::isalnum(c) != 0;
  };
  if (text.size() > kMaxIdLength ||
      !std::all_of(text.begin(), text.end(), is_plain)) {
    char hash[kHashedIdLength + 1];
    std::snprintf(hash, sizeof(hash), "h%016llx",
                  static_cast<unsigned long long>(Hash64(text)));
    return hash;
  }
  std::string id(text);
  std::transform(id.begin(), id.end(), id.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return id;
}

PromptQuarantine::PendingRequest::PendingRequest(PromptQuarantine& owner,
                                                 std::vector<std::string> ids,
                                                 TimePoint at,
                                                 std::function<void()> reject)
    : quarantine(owner),
      parts(std::move(ids)),
      sent_at(at),
      on_reject(std::move(reject)) {
  this->quarantine.pending.insert(this);
}

PromptQuarantine::PendingRequest::~PendingRequest() {
  this->quarantine.pending.erase(this);
  for (const auto& part : this->parts) {
    const auto found = this->quarantine.records.find(part);
    if (found != this->quarantine.records.end()) {
      found->second.trial_until = {};
    }
  }
}

bool PromptQuarantine::IsTrusted(const Record& record) {
  return record.started_at &&
         *record.started_at + kTrustTime >= record.crashes.front().crashed_at;
}

std::size_t PromptQuarantine::CountRounds(std::span<const PartCrash> crashes) {
  std::size_t rounds = 0;
  TimePoint last{};
  for (const auto& crash : crashes) {
    if (rounds == 0 || crash.sent_at >= last) {
      ++rounds;
      last = crash.crashed_at;
    }
  }
  return rounds;
}

std::vector<PartCrash> PromptQuarantine::Unexplained(
    const Record& record, const std::set<std::uint64_t>& explained) {
  std::vector<PartCrash> crashes;
  std::copy_if(record.crashes.begin(), record.crashes.end(),
               std::back_inserter(crashes), [&explained](const auto& crash) {
                 return !explained.contains(crash.engine);
               });
  return crashes;
}

std::optional<PromptQuarantine::Group> PromptQuarantine::FindNextGroup(
    bool fingerprints, const std::set<std::uint64_t>& explained,
    const std::set<std::uint64_t>& by_parts) const {
  std::optional<Group> best;
  std::pair<bool, std::size_t> best_rank;
  for (const auto& [part, record] : this->records) {
    // One crash that only this part explains keeps it quarantined.
    std::size_t required_rounds = record.quarantined ? 1 : kRoundsForQuarantine;
    if (record.crashes.size() < required_rounds ||
        IsRequestFingerprint(part) != fingerprints ||
        (fingerprints && Unexplained(record, by_parts).empty())) {
      continue;
    }
    const auto crashes = Unexplained(record, explained);
    if (crashes.empty()) {
      continue;
    }
    const bool trusted = IsTrusted(record);
    if (trusted && !record.quarantined) {
      required_rounds = kRoundsForTrustedPart;
    }
    if (CountRounds(crashes) < required_rounds ||
        (!fingerprints && this->HasCommonRequest(record))) {
      continue;
    }
    const std::pair rank(!trusted, crashes.size());
    std::set<std::uint64_t> engines;
    for (const auto& crash : crashes) {
      engines.insert(crash.engine);
    }
    if (!best || rank > best_rank) {
      best = Group{{part},
                   crashes.back().crashed_at,
                   crashes.size(),
                   std::move(engines)};
      best_rank = rank;
    } else if (rank == best_rank && engines == best->engines) {
      best->parts.push_back(part);
    }
  }
  return best;
}

bool PromptQuarantine::HasCommonRequest(const Record& record) const {
  return std::any_of(
      this->records.begin(), this->records.end(), [&record](const auto& item) {
        const auto& crashes = item.second.crashes;
        return IsRequestFingerprint(item.first) &&
               std::all_of(record.crashes.begin(), record.crashes.end(),
                           [&crashes](const PartCrash& crash) {
                             return std::any_of(
                                 crashes.begin(), crashes.end(),
                                 [&crash](const PartCrash& other) {
                                   return other.engine == crash.engine;
                                 });
                           });
      });
}

bool PromptQuarantine::IsTrialRunning(std::string_view part,
                                      const Record& record,
                                      TimePoint now) const {
  if (record.trial_until > now) {
    return true;
  }
  const bool peer_tries =
      std::any_of(record.peer_trials.begin(), record.peer_trials.end(),
                  [now](const auto& trial) { return trial.second > now; });
  return peer_tries ||
         std::any_of(this->pending.begin(), this->pending.end(),
                     [&](const PendingRequest* request) {
                       return request->sent_at + kTrialTimeout > now &&
                              Contains(request->parts, part);
                     });
}

TimePoint PromptQuarantine::NextTrial(const Group& group) {
  if (IsRequestFingerprint(group.parts.front()) &&
      group.crash_count <= kRoundsForQuarantine) {
    return group.last_crash_at + kFirstRequestTrialDelay;
  }
  Duration delay = kTrialDelay;
  for (auto count = kRoundsForQuarantine;
       count < std::min(group.crash_count, kMaxCrashesPerPart); ++count) {
    delay *= kTrialDelayGrowth;
  }
  return group.last_crash_at + delay;
}

const PromptQuarantine::Group* PromptQuarantine::FindGroup(
    std::span<const std::string> parts) const {
  const auto found = std::find_if(
      this->groups.begin(), this->groups.end(), [parts](const Group& group) {
        return std::all_of(
            group.parts.begin(), group.parts.end(),
            [parts](const auto& part) { return Contains(parts, part); });
      });
  return found == this->groups.end() ? nullptr : &*found;
}

bool PromptQuarantine::NeedsTrial(const Record& record) {
  return !record.crashes.empty() &&
         (!IsTrusted(record) || CountRounds(record.crashes) > 1);
}

Admission PromptQuarantine::Admit(std::span<const std::string> parts,
                                  TimePoint now) const {
  Admission admission;
  for (const auto& part : parts) {
    const auto found = this->records.find(part);
    if (found == this->records.end() || !NeedsTrial(found->second)) {
      continue;
    }
    const bool trial_running = this->IsTrialRunning(part, found->second, now);
    if (admission.decision != AdmissionDecision::kWait) {
      admission.decision =
          trial_running ? AdmissionDecision::kWait : AdmissionDecision::kTrial;
      admission.part = part;
    }
  }
  if (const Group* group = this->FindGroup(parts)) {
    const TimePoint next_trial = NextTrial(*group);
    if (now < next_trial || admission.decision == AdmissionDecision::kWait) {
      return {AdmissionDecision::kReject, group->parts.front(),
              std::max(next_trial, now + kTrialTimeout)};
    }
  }
  return admission;
}

std::unique_ptr<PromptQuarantine::PendingRequest> PromptQuarantine::AddPending(
    std::span<const std::string> parts, TimePoint now,
    std::function<void()> on_reject) {
  bool is_trial = false;
  for (const auto& part : parts) {
    const auto found = this->records.find(part);
    if (found != this->records.end() && !found->second.crashes.empty()) {
      found->second.trial_until = now + kTrialTimeout;
      is_trial = true;
    }
  }
  // Not std::make_unique, which cannot call the private constructor.
  auto request = std::unique_ptr<PendingRequest>(new PendingRequest(
      *this, {parts.begin(), parts.end()}, now, std::move(on_reject)));
  request->is_retrial = this->FindGroup(parts) != nullptr;
  if (is_trial && this->listener != nullptr) {
    this->listener->OnChange();
  }
  return request;
}

void PromptQuarantine::RecentStarts::Touch(const std::string& part,
                                           TimePoint now) {
  const auto found = this->index.find(part);
  if (found != this->index.end()) {
    found->second->second = now;
    this->order.splice(this->order.begin(), this->order, found->second);
    return;
  }
  this->order.emplace_front(part, now);
  this->index.emplace(part, this->order.begin());
  if (this->order.size() > kMaxRecentStarts) {
    this->index.erase(this->order.back().first);
    this->order.pop_back();
  }
}

std::optional<TimePoint> PromptQuarantine::FindStart(
    std::string_view part) const {
  const RecentStarts& starts =
      IsRequestFingerprint(part) ? this->request_starts : this->part_starts;
  const auto found = starts.index.find(std::string(part));
  return found == starts.index.end() ? std::nullopt
                                     : std::optional(found->second->second);
}

void PromptQuarantine::RecordStart(std::span<const std::string> parts,
                                   TimePoint now) {
  bool cleared = false;
  std::size_t touched = 0;
  for (const auto& part : parts) {
    if (IsValidId(part) && touched++ < kMaxPartsPerRequest) {
      RecentStarts& starts =
          IsRequestFingerprint(part) ? this->request_starts : this->part_starts;
      starts.Touch(part, now);
    }
    const auto found = this->records.find(part);
    if (found != this->records.end() && !found->second.crashes.empty()) {
      Clear(found->second, now);
      cleared = true;
    }
  }
  if (cleared) {
    this->UpdateQuarantined(true);
    if (this->listener != nullptr) {
      this->listener->OnChange();
    }
  }
}

bool PromptQuarantine::Clear(Record& record, TimePoint at) {
  record.started_at = std::max(record.started_at.value_or(at), at);
  return std::erase_if(record.crashes, [at](const PartCrash& crash) {
           return crash.sent_at <= at;
         }) > 0;
}

bool PromptQuarantine::AddCrash(std::string_view part, const PartCrash& crash) {
  auto found = this->records.find(part);
  if (found == this->records.end()) {
    found = this->records.emplace(part, Record{}).first;
    found->second.started_at = this->FindStart(part);
  }
  Record& record = found->second;
  if (record.started_at && crash.sent_at <= *record.started_at) {
    return false;
  }
  const auto known = std::find_if(record.crashes.begin(), record.crashes.end(),
                                  [&crash](const PartCrash& other) {
                                    return other.engine == crash.engine;
                                  });
  if (known != record.crashes.end()) {
    if (crash.sent_at <= known->sent_at + kReportSkew) {
      return false;
    }
    known->sent_at = std::min(crash.sent_at, known->crashed_at);
    return true;
  }
  if (record.crashes.size() < kMaxCrashesPerPart) {
    record.crashes.push_back(crash);
  } else if (record.crashes.back().crashed_at < crash.crashed_at) {
    record.crashes.back() = crash;
  } else {
    return false;
  }
  std::sort(record.crashes.begin(), record.crashes.end(),
            [](const PartCrash& one, const PartCrash& other) {
              return one.crashed_at < other.crashed_at;
            });
  return true;
}

void PromptQuarantine::RecordCrash(std::uint64_t engine,
                                   std::span<const std::string> parts,
                                   TimePoint sent_at, TimePoint crashed_at) {
  std::size_t added = 0;
  for (const auto& part : parts) {
    const auto started = this->FindStart(part);
    const bool sound = started && *started >= sent_at;
    if (!sound && IsValidId(part) && added < kMaxPartsPerRequest) {
      this->changed =
          this->AddCrash(part, {engine, crashed_at, sent_at}) || this->changed;
      ++added;
    }
  }
}

void PromptQuarantine::CommitCrashes() {
  if (!std::exchange(this->changed, false)) {
    return;
  }
  this->LimitRecords();
  this->UpdateQuarantined(true);
  if (this->listener != nullptr) {
    this->listener->OnChange();
  }
}

void PromptQuarantine::UpdateQuarantined(bool own) {
  // Greedy set cover: the part that explains most crashes comes first, and the
  // others are judged by the crashes that are left.
  this->groups.clear();
  std::set<std::uint64_t> explained;
  std::set<std::string, std::less<>> quarantined;
  while (auto group = this->FindNextGroup(false, explained, {})) {
    explained.insert(group->engines.begin(), group->engines.end());
    quarantined.insert(group->parts.begin(), group->parts.end());
    this->groups.push_back(*std::move(group));
  }
  const auto by_parts = std::exchange(explained, {});
  while (auto group = this->FindNextGroup(true, explained, by_parts)) {
    explained.insert(group->engines.begin(), group->engines.end());
    if (group->parts.size() == 1) {
      quarantined.insert(group->parts.front());
      this->groups.push_back(*std::move(group));
    }
  }
  for (auto& [part, record] : this->records) {
    const bool is_quarantined = quarantined.contains(part);
    if (is_quarantined == std::exchange(record.quarantined, is_quarantined) ||
        this->listener == nullptr) {
      continue;
    }
    if (is_quarantined) {
      this->listener->OnQuarantined(part, record.crashes.size(), own);
    } else {
      this->listener->OnReleased(part, own);
    }
  }
  for (PendingRequest* request : this->pending) {
    const Group* group =
        request->is_retrial ? nullptr : this->FindGroup(request->parts);
    if (group == nullptr || !request->on_reject) {
      continue;
    }
    // A request sent after the last crash shows whether its fingerprint is the
    // cause or is only left after responses have cleared the others.
    if (!IsRequestFingerprint(group->parts.front()) ||
        request->sent_at < group->last_crash_at) {
      request->on_reject();
    }
  }
}

void PromptQuarantine::LimitRecords() {
  this->LimitRecords(false, kMaxRecords);
  this->LimitRecords(true, kMaxRequestRecords);
}

void PromptQuarantine::LimitRecords(bool fingerprints, std::size_t limit) {
  using Rank = std::pair<std::size_t, TimePoint>;
  std::vector<std::pair<Rank, Records::iterator>> ranked;
  for (auto item = this->records.begin(); item != this->records.end(); ++item) {
    if (IsRequestFingerprint(item->first) == fingerprints) {
      const auto& crashes = item->second.crashes;
      const TimePoint last =
          crashes.empty() ? TimePoint{} : crashes.back().crashed_at;
      ranked.emplace_back(Rank(CountRounds(crashes), last), item);
    }
  }
  if (ranked.size() <= limit) {
    return;
  }
  const auto kept = ranked.end() - static_cast<std::ptrdiff_t>(limit);
  std::nth_element(ranked.begin(), kept, ranked.end(),
                   [](const auto& one, const auto& other) {
                     return one.first < other.first;
                   });
  for (auto item = ranked.begin(); item != kept; ++item) {
    const auto dropped = item->second;
    if (dropped->second.quarantined && this->listener != nullptr) {
      this->listener->OnReleased(dropped->first, true);
    }
    this->records.erase(dropped);
  }
}

void PromptQuarantine::Merge(std::string_view node,
                             std::span<const PartReport> reports,
                             TimePoint now) {
  for (auto& [part, record] : this->records) {
    if (const auto trial = record.peer_trials.find(node);
        trial != record.peer_trials.end()) {
      record.peer_trials.erase(trial);
    }
  }
  bool news = false;
  for (const auto& report :
       reports.first(std::min(reports.size(), kMaxReportedParts))) {
    if (!IsValidId(report.part)) {
      continue;
    }
    for (const auto& crash : report.crashes) {
      news = this->AddCrash(
                 report.part,
                 {crash.engine, now - milliseconds(crash.crashed_ms_ago),
                  now - milliseconds(crash.sent_ms_ago)}) ||
             news;
    }
    const auto found = this->records.find(report.part);
    if (found == this->records.end()) {
      continue;
    }
    if (report.started_ms_ago) {
      const TimePoint started = now - milliseconds(*report.started_ms_ago);
      news = Clear(found->second, started) || news;
    }
    if (report.trial_ms > 0) {
      found->second.peer_trials[std::string(node)] =
          now +
          std::min<Duration>(milliseconds(report.trial_ms), kTrialTimeout);
    }
  }
  if (news) {
    this->LimitRecords();
    this->UpdateQuarantined(false);
  }
}

void PromptQuarantine::Restore(const PartReport& report, TimePoint now) {
  if (this->IsQuarantined(report.part) || !IsValidId(report.part)) {
    return;
  }
  for (const auto& crash : report.crashes) {
    this->AddCrash(report.part,
                   {crash.engine, now - milliseconds(crash.crashed_ms_ago),
                    now - milliseconds(crash.sent_ms_ago)});
  }
  this->LimitRecords();
  this->UpdateQuarantined(false);
}

PartReport PromptQuarantine::MakeReport(const std::string& part,
                                        const Record& record, TimePoint now) {
  PartReport report;
  report.part = part;
  for (const auto& crash : record.crashes) {
    report.crashes.push_back({crash.engine, AgeMillis(now, crash.crashed_at),
                              AgeMillis(now, crash.sent_at)});
  }
  if (record.started_at) {
    report.started_ms_ago = AgeMillis(now, *record.started_at);
  }
  if (record.trial_until > now) {
    report.trial_ms = AgeMillis(record.trial_until, now);
  }
  return report;
}

PartReport PromptQuarantine::MakeReport(std::string_view part,
                                        TimePoint now) const {
  const auto found = this->records.find(part);
  return found == this->records.end()
             ? PartReport{std::string(part), {}, std::nullopt, 0}
             : MakeReport(found->first, found->second, now);
}

std::vector<PartReport> PromptQuarantine::MakeReports(TimePoint now) const {
  struct Choice {
    bool quarantined = false;
    std::size_t rounds = 0;
    TimePoint changed_at{};
    Records::const_iterator item;
  };
  std::vector<Choice> choices;
  choices.reserve(this->records.size());
  for (auto item = this->records.begin(); item != this->records.end(); ++item) {
    const Record& record = item->second;
    const TimePoint crashed =
        record.crashes.empty() ? TimePoint{} : record.crashes.back().crashed_at;
    choices.push_back({record.quarantined, CountRounds(record.crashes),
                       std::max(crashed, record.started_at.value_or(crashed)),
                       item});
  }
  if (choices.size() > kMaxReportedParts) {
    const auto sample =
        choices.begin() + static_cast<std::ptrdiff_t>(kMaxRankedParts);
    std::partial_sort(
        choices.begin(), sample, choices.end(),
        [](const Choice& one, const Choice& other) {
          return std::tie(one.quarantined, one.rounds, one.changed_at) >
                 std::tie(other.quarantined, other.rounds, other.changed_at);
        });
    // Seeded with the time, so that each report has another sample.
    std::shuffle(sample, choices.end(),
                 std::mt19937(static_cast<std::mt19937::result_type>(
                     now.time_since_epoch() / milliseconds(1))));
    choices.resize(kMaxReportedParts);
  }
  std::vector<PartReport> reports;
  reports.reserve(choices.size());
  for (const auto& choice : choices) {
    reports.push_back(MakeReport(choice.item->first, choice.item->second, now));
  }
  return reports;
}

void PromptQuarantine::Expire(TimePoint now) {
  const std::size_t before = this->records.size();
  for (auto item = this->records.begin(); item != this->records.end();) {
    const Record& record = item->second;
    bool expired = false;
    if (record.crashes.empty()) {
      expired =
          !record.started_at || now - *record.started_at > kClearRepeatTime;
    } else {
      const Duration age = now - record.crashes.back().crashed_at;
      expired = age > (record.quarantined ? kQuarantineTime : kSuspicionTime);
    }
    if (expired && record.quarantined && this->listener != nullptr) {
      this->listener->OnReleased(item->first, true);
    }
    item = expired ? this->records.erase(item) : std::next(item);
  }
  if (this->records.size() < before) {
    this->UpdateQuarantined(true);
  }
}

std::vector<std::string> PromptQuarantine::FindUntrusted(
    std::span<const std::string> parts, TimePoint now) const {
  std::vector<std::string> untrusted;
  std::copy_if(parts.begin(), parts.end(), std::back_inserter(untrusted),
               [&](const auto& part) {
                 const auto started = this->FindStart(part);
                 return !started || now - *started > kTrustTime;
               });
  return untrusted;
}

bool PromptQuarantine::IsQuarantined(std::string_view part) const {
  const auto found = this->records.find(part);
  return found != this->records.end() && found->second.quarantined;
}

}  // namespace qp::relay
