#pragma once

#include <functional>

#include "blackboard/blackboard.h"
#include "foundation/clock.h"
#include "foundation/timeline.h"
#include "gateway/metrics.h"
#include "gateway/operator_service.h"

namespace qp {

class ClusterHandle;
class ConfigurationStore;
class UsageStore;

/// OperatorService over the state of this daemon.
class DaemonOperatorService : public OperatorService {
 public:
  /// Longest wait for the members' acknowledgements of a change.
  static constexpr Duration kAcknowledgementBound = std::chrono::seconds(9);
  static constexpr Duration kAcknowledgementInterval =
      std::chrono::milliseconds(100);

  struct Parts {
    Clock& clock;
    const Blackboard& blackboard;
    ConfigurationStore& store;
    UsageStore& usage;
    ClusterHandle& cluster;
    Timeline& timeline;
    Metrics& metrics;
    std::string node;
    std::function<void()> begin_drain;
  };

  explicit DaemonOperatorService(Parts parts);

  Result<nlohmann::json> CurrentConfiguration() override;
  Task<ChangeReport> Change(nlohmann::json document,
                            std::uint64_t expected_version,
                            std::string change_id) override;
  Task<Result<nlohmann::json>> History() override;
  Task<ChangeReport> ResolveChange(std::string change_id) override;
  nlohmann::json StatusReport() override;
  nlohmann::json TimelineReport() override;
  Task<Result<nlohmann::json>> Forecast(nlohmann::json what_if) override;
  Task<Result<nlohmann::json>> Spending() override;
  void Drain() override;
  std::string MetricsText() override;
  bool IsReady() override;

 private:
  Task<ChangeReport> AwaitInForce(std::string change_id, std::uint64_t version);
  ChangeReport Refused(const nlohmann::json& document, ChangeReport report);

  Parts parts;
};

}  // namespace qp
