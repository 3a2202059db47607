#pragma once

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "admission/retry_schedule.h"
#include "admission/room.h"
#include "admission/workspace_shares.h"
#include "foundation/clock.h"

namespace qp::admission {

/// Room of one availability zone that can serve a request alone.
struct ZoneRoom {
  std::string_view zone;
  Room room;
  bool is_own = false;  ///< The zone of this process.
};

/// Properties of a request that admission decides on.
struct Request {
  int priority = 0;  ///< 0 is the most urgent.
  std::string_view workspace;
  double tokens = 0;  ///< Tokens for which it occupies memory.
  /// The caller was refused before and returns.
  bool is_retry = false;
  /// Time until the deadline of the caller.
  Duration remaining{};
};

/// State of one process that its peers need for the same decisions.
struct ServiceReport {
  /// Requests of a class that the process admits.
  struct ClassRate {
    int priority = 0;
    double per_second = 0;

    bool operator==(const ClassRate&) const = default;
  };

  std::vector<ClassRate> admitted;
  std::vector<RetrySchedule::Reserved> reserved;
  std::vector<WorkspaceShares::Tokens> workspaces;

  bool operator==(const ServiceReport&) const = default;
};

struct Decision {
  bool admitted = false;
  /// Zones whose engines may serve the request; empty if it is refused.
  std::vector<std::string> open_zones;
  /// Admitted above its threshold, by the minimum share of its class.
  bool by_minimum_share = false;
  double use = 0;        ///< Lowest use of a zone.
  double threshold = 0;  ///< Threshold of that zone.
  /// When to retry, if it is refused.
  RetrySchedule::Retry retry;
};

/// Admits the requests of one model service by the memory that is left in the
/// engines of each zone. Deterministic for a seed and an order of calls.
///
/// The load it answers: more streams of several classes than fit into the
/// engines' memory, while engines fail. What is refused then is decided here,
/// before anything is sent: the least urgent class first, each class a minimum
/// share, workspaces that hold much before others. See
/// docs/design/admission.md.
class ServiceAdmission {
 public:
  /// Share of its requests that each class is served while memory is left that
  /// the most urgent class may use.
  static constexpr double kMinShare = 0.25;
  /// By how much lower the threshold is for a workspace over its share.
  static constexpr double kOverSharePenalty = 0.01;
  /// By how much lower the threshold is in another zone, whose load is known
  /// later.
  static constexpr double kOtherZonePenalty = 0.03;
  /// Largest rate of a class that a report can state, in requests a second.
  static constexpr double kMaxReportedRate = 1000;
  /// Age from which a report of a peer no longer counts.
  static constexpr Duration kMaxReportAge = std::chrono::milliseconds(1500);

  explicit ServiceAdmission(std::uint64_t seed) : retries(seed) {}

  /// Sets the priorities of all classes of the service.
  void SetClasses(std::set<int> priorities);
  /// Whether requests of the service need a decision: it has several classes.
  bool is_active() const { return this->priorities.size() >= 2; }

  /// Decides on a new request. `rooms`: of the zones with a whole chain.
  Decision Decide(const Request& request, std::span<const ZoneRoom> rooms,
                  TimePoint now);
  /// Chooses when a caller should retry whose admitted request found no engine.
  RetrySchedule::Retry ScheduleRetry(const Request& request, TimePoint now);

  /// Counts the tokens of an admitted request for the holder's lifetime.
  WorkspaceShares& workspace_shares() { return this->workspaces; }

  void Merge(std::string_view node, const ServiceReport& report, TimePoint now);
  ServiceReport MakeReport(TimePoint now);
  /// Requests of a class that the zone admits per second.
  double AdmittedRate(int priority, TimePoint now);

 private:
  /// Moving average of admissions per second.
  struct Rate {
    double per_second = 0;
    TimePoint updated{};
  };
  struct PeerRates {
    TimePoint received{};
    std::map<int, double> per_second;
  };

  void Advance(Rate& rate, TimePoint now) const;
  void RecordAdmitted(int priority, TimePoint now);
  /// Time that a caller of a refused request can wait.
  static Duration MaxDelay(const Request& request);
  /// Use of the room with the places that are reserved for retries, if the
  /// request is a new one.
  double UseFor(const Request& request, const Room& room, TimePoint now);

  std::set<int> priorities;
  RetrySchedule retries;
  WorkspaceShares workspaces;
  std::map<int, Rate> admitted;           ///< By priority.
  std::map<int, double> unserved_shares;  ///< Deficit counters, by priority.
  std::map<std::string, PeerRates, std::less<>> peers;
};

}  // namespace qp::admission
