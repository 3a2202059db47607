#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "foundation/asio.h"
#include "foundation/error.h"

namespace qp {

enum class ChangeStatus {
  kInForce,      ///< Accepted and in force on every member.
  kPending,      ///< Accepted; `pending` names the members without it.
  kRefused,      ///< Another version is in force; see `difference`.
  kInvalid,      ///< The document has mistakes.
  kUnknown,      ///< May have been accepted; resolve by the change id.
  kUnavailable,  ///< Not accepted: the table does not answer.
};

std::string_view ToString(ChangeStatus status);

/// Truthful answer to an operator's change.
struct ChangeReport {
  ChangeStatus status = ChangeStatus::kUnknown;
  std::string change_id;
  std::uint64_t version = 0;         ///< In force, as far as known.
  std::vector<std::string> pending;  ///< Node names.
  nlohmann::json difference;         ///< JSON patch to the one in force.
  std::string detail;
};

/// What the operator listener serves; implemented by the daemon.
class OperatorService {
 public:
  virtual ~OperatorService() = default;
  /// kUnavailable if none is in force yet.
  virtual Result<nlohmann::json> CurrentConfiguration() = 0;
  virtual Task<ChangeReport> Change(nlohmann::json document,
                                    std::uint64_t expected_version,
                                    std::string change_id) = 0;
  virtual Task<Result<nlohmann::json>> History() = 0;
  virtual Task<ChangeReport> ResolveChange(std::string change_id) = 0;
  virtual nlohmann::json StatusReport() = 0;
  virtual nlohmann::json TimelineReport() = 0;
  /// `what_if` is a whole configuration, or null for the one in force.
  virtual Task<Result<nlohmann::json>> Forecast(nlohmann::json what_if) = 0;
  virtual Task<Result<nlohmann::json>> Spending() = 0;
  virtual void Drain() = 0;
  virtual std::string MetricsText() = 0;
  virtual bool IsReady() = 0;
};

}  // namespace qp
