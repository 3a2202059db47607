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
  kWorkspaceOverShare,  ///< The workspace has used its fair part of the class.
  kDeadlineTooShort,    ///< The predicted answer would come too late.
  kNoCapacity,          ///< No chain or server can serve it now.
};

std::string_view ToString(RefusalReason reason);

/// What admission knows of a request at the door.
struct AdmissionRequest {
  std::string_view class_name;
  std::string_view workspace;
  double expected_tokens = 0;
  Duration deadline{};
  Duration predicted_first_token{};
  Duration predicted_inter_token_latency{};
};

struct AdmissionDecision {
  RefusalReason reason = RefusalReason::kNone;
  Duration retry_after{};  ///< Spread, so that callers don't return in step.

  bool admitted() const { return this->reason == RefusalReason::kNone; }
};

/// Holds each class to this daemon's share of its target and shares it fairly
/// among workspaces: all have the same weight, and what one does not use goes
/// to the others in equal parts, in requests and in tokens. What a whole class
/// leaves unused goes to classes of the same model or service that ask for
/// more than their share. Deterministic for one seed and one order of calls.
class Admission {
 public:
  explicit Admission(std::uint64_t seed);
  ~Admission();

  /// Takes over classes and shares. Rates already used stay used.
  void Update(const Configuration& configuration, const BudgetsView& budgets,
              TimePoint now);

  /// Decides and, if admitted, charges the request.
  AdmissionDecision Decide(const AdmissionRequest& request, TimePoint now);

  /// Corrects the charge once the true number of tokens is known.
  void RecordActualTokens(std::string_view class_name,
                          std::string_view workspace, double expected_tokens,
                          double actual_tokens);

  /// Shortage of a class that other daemons report. While it is above 0, what
  /// the class leaves unused here is kept for them and not given to another
  /// class.
  void SetShortageElsewhere(std::string_view class_name,
                            double requests_per_second);

  /// Average requests a second admitted over the last seconds. A request
  /// with more tokens than the class's average counts as more than one.
  double AdmittedRate(std::string_view class_name, TimePoint now) const;

  /// As above, refused for lack of share; the shortage that the budget
  /// exchange reports.
  double Shortage(std::string_view class_name, TimePoint now) const;

 private:
  struct State;
  std::unique_ptr<State> state;
};

}  // namespace qp::policy
