#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "foundation/clock.h"

namespace qp::relay {

/// Crash of an engine while a request with a certain prompt part waited there
/// for its first event.
struct PartCrash {
  std::uint64_t engine = 0;  ///< Hash of the engine's id and incarnation.
  TimePoint crashed_at{};
  /// When the last request with the part was sent to the engine.
  TimePoint sent_at{};
};

/// State of a prompt part as one process sends it to others. Times are ages,
/// because the clocks of processes differ.
struct PartReport {
  struct Crash {
    std::uint64_t engine = 0;
    std::uint32_t crashed_ms_ago = 0;
    std::uint32_t sent_ms_ago = 0;

    bool operator==(const Crash&) const = default;
  };

  std::string part;
  std::vector<Crash> crashes;
  /// Time since the last response to a request with the part has begun.
  std::optional<std::uint32_t> started_ms_ago;
  /// Time for which a trial of the reporting process still runs; 0 without one.
  std::uint32_t trial_ms = 0;

  bool operator==(const PartReport&) const = default;
};

enum class AdmissionDecision {
  kSend,
  kTrial,   ///< Send; others with the same suspect part wait for the outcome.
  kWait,    ///< A trial of one of the parts is running.
  kReject,  ///< The parts are known to crash engines.
};

struct Admission {
  AdmissionDecision decision = AdmissionDecision::kSend;
  std::string part;      ///< The part that decided; empty with kSend.
  TimePoint retry_at{};  ///< With kReject: when the part is tried again.

  bool may_send() const {
    return this->decision == AdmissionDecision::kSend ||
           this->decision == AdmissionDecision::kTrial;
  }
};

/// Id of a prompt part as the quarantine uses it, from the text that the caller
/// sent: in lower case, or a hash if the text is long or not alphanumeric, so
/// that ids need little memory and can be logged and stored.
std::string MakePartId(std::string_view text);

/// Receives the changes of a PromptQuarantine.
class QuarantineListener {
 public:
  virtual ~QuarantineListener() = default;
  /// Peers should learn of a change now.
  virtual void OnChange() = 0;
  /// `own`: an observation of this process decided, so that it has to store the
  /// result for processes that start later.
  virtual void OnQuarantined(std::string_view part, std::size_t crashes,
                             bool own) = 0;
  virtual void OnReleased(std::string_view part, bool own) = 0;
};

/// Finds the prompt parts that crash engines and keeps requests with them away
/// from engines.
///
/// When an engine crashes, all parts of the requests that waited there for
/// their first event become suspect. A response that begins clears all parts of
/// its request, so parts that many requests share stay suspect for
/// milliseconds. Suspect parts are tried by one request at a time (group
/// testing after Dorfman, "The detection of defective members of large
/// populations", Annals of Mathematical Statistics 14, 1943): if the engine
/// crashes again, the part is quarantined, otherwise cleared. Engines that
/// crash at the same time, for example with their rack, therefore count once. A
/// part with which a response has begun shortly before is trusted: it is not
/// tried one at a time before its second crash, and quarantined after its
/// third.
///
/// Parts that waited on exactly the same crashed engines cannot be told apart.
/// Only requests with all of them are rejected then, and requests with some of
/// them are trials. The crashes that a quarantined part explains do not count
/// against other parts.
///
/// A quarantined part is tried again after a time that grows with its crashes,
/// since the crashes can have had another cause.
///
/// A request itself can crash servers, although its parts are sound. Its
/// fingerprint (see MakeRequestFingerprint) is therefore used like a part that
/// only repeats of the request have. Parts are judged first, but a part is not
/// blamed while one request waited on all of its crashes; a fingerprint counts
/// only if the quarantined parts do not explain all of its crashes.
/// Fingerprints that cannot be told apart are not quarantined, because no
/// request has several: their requests are trials until a further crash or a
/// response tells them apart.
class PromptQuarantine {
 public:
  /// Limits on the state, since callers choose the ids of parts. Fingerprints
  /// have limits of their own, so that neither kind displaces the other.
  static constexpr std::size_t kMaxRecords = 256;
  static constexpr std::size_t kMaxRequestRecords = 1024;
  static constexpr std::size_t kMaxRecentStarts = 4096;
  static constexpr std::size_t kMaxPartsPerRequest = 64;
  static constexpr std::size_t kMaxCrashesPerPart = 8;
  static constexpr std::size_t kMaxReportedParts = 64;
  /// Reported parts that are chosen by the number of their crashes. The others
  /// are drawn at random, so that each is reported after a while.
  static constexpr std::size_t kMaxRankedParts = 32;

  /// Time after which a trial without an outcome no longer holds up others.
  static constexpr Duration kTrialTimeout = std::chrono::milliseconds(1000);
  /// A part is trusted if a response to a request with it has begun within this
  /// time before its first crash.
  static constexpr Duration kTrustTime = std::chrono::seconds(10);
  /// Time after its last crash at which a part that is not quarantined is no
  /// longer suspect.
  static constexpr Duration kSuspicionTime = std::chrono::minutes(5);
  /// Time after its last crash at which a quarantined part is forgotten.
  static constexpr Duration kQuarantineTime = std::chrono::hours(24);
  /// Time for which reports repeat that a part has been cleared.
  static constexpr Duration kClearRepeatTime = std::chrono::milliseconds(2000);

  /// A request that was sent to an engine and whose response has not begun.
  class PendingRequest {
   public:
    ~PendingRequest();
    PendingRequest(const PendingRequest&) = delete;
    PendingRequest& operator=(const PendingRequest&) = delete;

   private:
    friend class PromptQuarantine;
    PendingRequest(PromptQuarantine& owner, std::vector<std::string> ids,
                   TimePoint at, std::function<void()> reject);

    PromptQuarantine& quarantine;
    std::vector<std::string> parts;
    TimePoint sent_at;
    std::function<void()> on_reject;
    /// Its parts were quarantined already when it was sent.
    bool is_retrial = false;
  };

  /// `listener` can be null and is set before the first call otherwise.
  void SetListener(QuarantineListener* receiver) { this->listener = receiver; }

  /// Decides whether a request whose prompt has `parts` can be sent.
  Admission Admit(std::span<const std::string> parts, TimePoint now) const;
  /// Registers a request that is sent now, until the returned object is
  /// destroyed. `on_reject` is called if its parts are quarantined while it is
  /// pending; it must not destroy the object at once.
  std::unique_ptr<PendingRequest> AddPending(std::span<const std::string> parts,
                                             TimePoint now,
                                             std::function<void()> on_reject);
  /// The response to a request with `parts` has begun.
  void RecordStart(std::span<const std::string> parts, TimePoint now);
  /// `engine` has crashed while a request with `parts`, sent at `sent_at`,
  /// waited there for its first event.
  void RecordCrash(std::uint64_t engine, std::span<const std::string> parts,
                   TimePoint sent_at, TimePoint crashed_at);
  /// Calls the listener for the crashes recorded since the last call.
  void CommitCrashes();

  /// Applies all parts that `node` reports.
  void Merge(std::string_view node, std::span<const PartReport> reports,
             TimePoint now);
  /// Applies what the store says of a quarantined part. No effect on a part
  /// that is quarantined already.
  void Restore(const PartReport& report, TimePoint now);
  /// State for the peers, at most kMaxReportedParts: quarantined parts,
  /// then those with most crashes, then a sample of the others.
  std::vector<PartReport> MakeReports(TimePoint now) const;
  /// State of one part, for the store. Without crashes if it is not suspect.
  PartReport MakeReport(std::string_view part, TimePoint now) const;
  /// Drops what is too old to matter.
  void Expire(TimePoint now);

  /// The parts of `parts` with which no response has begun here lately.
  std::vector<std::string> FindUntrusted(std::span<const std::string> parts,
                                         TimePoint now) const;
  bool IsQuarantined(std::string_view part) const;
  std::size_t records_size() const { return this->records.size(); }
  std::size_t recent_starts_size() const {
    return this->part_starts.order.size() + this->request_starts.order.size();
  }

 private:
  struct Record {
    /// By time; at most kMaxCrashesPerPart.
    std::vector<PartCrash> crashes;
    /// When the last response to a request with the part has begun, here or at
    /// a process that reported it.
    std::optional<TimePoint> started_at;
    TimePoint trial_until{};  ///< End of the trial of this process.
    /// Ends of the trials of other processes, by node.
    std::map<std::string, TimePoint, std::less<>> peer_trials;
    bool quarantined = false;  ///< As last told to the listener.
  };
  using Records = std::map<std::string, Record, std::less<>>;
  /// The last kMaxRecentStarts parts with which responses have begun.
  struct RecentStarts {
    void Touch(const std::string& part, TimePoint now);

    /// The latest first, with the time.
    std::list<std::pair<std::string, TimePoint>> order;
    std::unordered_map<std::string, decltype(order)::iterator> index;
  };
  /// Quarantined parts with the same crashes, which cannot be told apart.
  struct Group {
    std::vector<std::string> parts;
    TimePoint last_crash_at{};
    std::size_t crash_count = 0;
    std::set<std::uint64_t> engines;
  };

  /// Number of crashes of which each happened under a request that was sent at
  /// or after the time of the previous one.
  static std::size_t CountRounds(std::span<const PartCrash> crashes);
  /// The crashes of a part that no group explains yet.
  static std::vector<PartCrash> Unexplained(
      const Record& record, const std::set<std::uint64_t>& explained);
  /// Whether a response to a request with the part has begun within kTrustTime
  /// before its first crash.
  static bool IsTrusted(const Record& record);
  /// Whether requests with the part are sent one at a time. Those of a trusted
  /// part are not until its second crash: others of its requests, which are
  /// under way anyway, show whether it is sound.
  static bool NeedsTrial(const Record& record);
  /// Whether a single request waited on all the servers that crashed under the
  /// part. It is then the likelier cause, and others that share the part are
  /// not to be rejected for it.
  bool HasCommonRequest(const Record& record) const;
  /// Finds the parts, or the fingerprints, that explain most of the crashes
  /// that are not in `explained`. Fingerprints whose crashes are all in
  /// `by_parts` are left out. Empty if none has enough crashes.
  std::optional<Group> FindNextGroup(
      bool fingerprints, const std::set<std::uint64_t>& explained,
      const std::set<std::uint64_t>& by_parts) const;
  /// The first group of which `parts` contains every part; null if there is
  /// none.
  const Group* FindGroup(std::span<const std::string> parts) const;
  bool IsTrialRunning(std::string_view part, const Record& record,
                      TimePoint now) const;
  static TimePoint NextTrial(const Group& group);
  /// False if the crash is known or was before a response began.
  bool AddCrash(std::string_view part, const PartCrash& crash);
  /// A response to a request with the part has begun at `at`.
  /// True if that clears the part of a crash.
  static bool Clear(Record& record, TimePoint at);
  /// Updates the groups, calls the listener for changes, and rejects pending
  /// requests.
  void UpdateQuarantined(bool own);
  void LimitRecords();
  /// Drops the least important records of a kind above `limit`.
  void LimitRecords(bool fingerprints, std::size_t limit);
  /// When a response with the part last began here.
  std::optional<TimePoint> FindStart(std::string_view part) const;
  static PartReport MakeReport(const std::string& part, const Record& record,
                               TimePoint now);

  QuarantineListener* listener = nullptr;
  Records records;
  std::vector<Group> groups;
  std::set<PendingRequest*> pending;
  RecentStarts part_starts;
  RecentStarts request_starts;
  bool changed = false;  ///< Crashes were recorded since CommitCrashes.
};

}  // namespace qp::relay
