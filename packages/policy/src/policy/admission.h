#pragma once

#include <cstdint>
#include <memory>
#include <string_view>

#include "blackboard/views.h"
#include "config/configuration.h"
#include "foundation/clock.h"

namespace qp::policy {

enum class RefusalReason {
  kNone,
  kUnknownClass,
  kClassOverTarget,     ///< The class has used its share of the rate.
  kWorkspaceOverShare,  ///< The workspace has used its fair part of the share.
  kDeadlineTooShort,    ///< The predicted response ends after the deadline.
  kNoCapacity,          ///< No chain or server can serve the request now.
};

std::string_view ToString(RefusalReason reason);

/// Properties of a request that admission decides on.
struct AdmissionRequest {
  std::string_view class_name;
  std::string_view workspace;
  double expected_tokens = 0;
  Duration deadline{};  ///< Time left for the response; 0: no deadline.
  Duration predicted_time_to_first_token{};
  Duration predicted_inter_token_latency{};
};

struct AdmissionDecision {
  RefusalReason reason = RefusalReason::kNone;
  /// Includes random jitter, so that refused callers don't all return at once.
  Duration retry_after{};

  bool admitted() const { return this->reason == RefusalReason::kNone; }
};

/// Limits each class to this daemon's share of the class's target and divides
/// that share fairly among workspaces, for requests and for tokens: all
/// workspaces have the same weight, and the rate that one leaves unused goes to
/// the others in equal parts. The rate that a whole class leaves unused goes to
/// classes of the same model or service that ask for more than their share.
/// Deterministic for a given seed and order of calls.
class Admission {
 public:
  explicit Admission(std::uint64_t seed);
  ~Admission();

  /// Replaces the classes and shares. Classes that remain keep the levels of
  /// their buckets, so that rate already used is not granted again.
  void Update(const Configuration& configuration, const BudgetsView& budgets,
              TimePoint now);

  /// Decides and, if admitted, charges the request.
  AdmissionDecision Decide(const AdmissionRequest& request, TimePoint now);

  /// Corrects the charge of an admitted request by its actual number of tokens.
  void RecordActualTokens(std::string_view class_name,
                          std::string_view workspace, double expected_tokens,
                          double actual_tokens);

  /// Sets the rate of requests that other daemons refuse because their shares
  /// of the class are used up. While it is above 0, rate that the class leaves
  /// unused here is reserved for those daemons and not given to another class.
  void SetShortageElsewhere(std::string_view class_name,
                            double requests_per_second);

  /// Requests admitted per second, averaged over the last seconds. A request
  /// with more tokens than the class's average counts as more than one.
  double AdmittedRate(std::string_view class_name, TimePoint now) const;

  /// Requests refused per second because the share was used up, averaged and
  /// weighted by tokens as in AdmittedRate. The budget exchange reports this
  /// rate to other daemons.
  double ShortageRate(std::string_view class_name, TimePoint now) const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace qp::policy
