#pragma once

#include <cstdint>
#include <random>

#include "calls/chat_service.h"
#include "calls/pipeline_call.h"

namespace qp {

/// Serves chat requests on chains of engines chosen from the blackboard. Used
/// on the request thread only.
class PipelineChatService final : public ChatService {
 public:
  /// `seed` initializes the jitter of the retry delays of refused callers.
  PipelineChatService(Clock& clock, const Blackboard& blackboard,
                      EngineClient& engines, policy::Admission& admission,
                      policy::ChainRouter& router, policy::RetryBudget& retries,
                      EventSink& events, std::uint64_t seed);

  Task<CallResult> Run(ChatRequest request, TokenSink& sink) override;

  /// Number of records dropped in all requests that have ended.
  std::uint64_t dropped_records() const { return this->dropped_count; }

 private:
  std::mt19937_64 random;
  std::uint64_t dropped_count = 0;
  PipelineCall::Context context;
};

}  // namespace qp
