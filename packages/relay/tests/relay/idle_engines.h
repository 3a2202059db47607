#pragma once

#include <string>

#include "relay/deployment_store.h"

namespace qp::relay::testing {

/// Engines that refuse all orders and report no state. Tests override the
/// functions that they need.
class IdleEngines : public EngineControl {
 public:
  void SetNoticeListener(ServerNoticeListener&) override {}
  Task<Result<OrderOutcome>> SetLayers(ServerRecord, LayerRange,
                                       std::uint64_t) override {
    co_return OrderOutcome::kRefused;
  }
  Task<Result<EngineState>> GetState(ServerRecord engine) override {
    co_return Error{ErrorCode::kUnavailable, "ask", engine.id, ""};
  }
  Task<Result<StalledRequests>> FindStalled(ServerRecord) override {
    co_return StalledRequests();
  }
  Task<Result<MoveResult>> MoveStream(std::string, Chain) override {
    co_return MoveResult{};
  }
};

}  // namespace qp::relay::testing
