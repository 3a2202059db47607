#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "admission/service_admission.h"
#include "relay/admission/zone_rooms.h"
#include "relay/deployment.h"

namespace qp::relay {

class ServerDirectory;

/// Report of one process on the admission to one model service.
struct AdmissionReport {
  std::string service;
  admission::ServiceReport report;

  bool operator==(const AdmissionReport&) const = default;
};

/// What decides how urgent a request is: the priority of its workspace, which
/// takes precedence, then that of its route. 0 is the most urgent.
struct Urgency {
  int priority = 0;  ///< Of the workspace, or of the route if it has none.
  int route_priority = 0;

  auto operator<=>(const Urgency&) const = default;
};

/// Admission to the model services of a deployment. Active for services with
/// requests of at least two urgencies, as the configuration states them.
class ModelAdmission {
 public:
  /// A caller that states less time than usual by this much, or more, was
  /// refused before: the earliest time to retry is later.
  static constexpr Duration kMinRetryElapsed =
      admission::RetrySchedule::kMinDelay - std::chrono::milliseconds(100);

  explicit ModelAdmission(std::uint64_t seed) : random_seed(seed) {}

  /// Takes the classes of each model service from the configuration.
  void Apply(const DeploymentConfiguration& configuration);
  /// The admission to a service; null if its requests need no decision.
  admission::ServiceAdmission* Find(std::string_view service);
  /// Rank of an urgency among those of the service: 0 for the most urgent. An
  /// urgency that the configuration doesn't state has the next higher rank.
  int RankOf(std::string_view service, Urgency urgency) const;
  /// Number of urgencies of the service.
  int CountRanks(std::string_view service) const;

  /// Whether the caller of a request of `route` that waits for `remaining` has
  /// been refused before. Learns how long the callers of a route usually wait.
  bool IsRetry(std::string_view route, Duration remaining, TimePoint now);

  void Merge(std::string_view node, const std::vector<AdmissionReport>& reports,
             TimePoint now);
  std::vector<AdmissionReport> MakeReports(TimePoint now);

 private:
  /// Longest time that callers of a route have stated in the current and in the
  /// previous window.
  struct UsualWait {
    Duration current{};
    Duration previous{};
    TimePoint window_began{};
  };

  struct ServiceState {
    std::set<Urgency> urgencies;
    std::unique_ptr<admission::ServiceAdmission> admission;
  };

  std::uint64_t random_seed;
  std::map<std::string, ServiceState, std::less<>> by_service;
  std::map<std::string, UsualWait, std::less<>> usual_waits;  ///< By route.
};

}  // namespace qp::relay
