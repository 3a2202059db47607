#include "calls/pipeline_chat_service.h"

#include <utility>

namespace qp {

PipelineChatService::PipelineChatService(
    Clock& clock, const Blackboard& blackboard, EngineClient& engines,
    policy::Admission& admission, policy::ChainRouter& router,
    policy::RetryBudget& retries, EventSink& events, std::uint64_t seed)
    : random(seed), context{clock,  blackboard, engines, admission,
                            router, retries,    events,  this->random} {}

Task<CallResult> PipelineChatService::Run(ChatRequest request,
                                          TokenSink& sink) {
  PipelineCall call(this->context, std::move(request), sink);
  CallResult result = co_await call.Run();
  this->dropped_count += call.dropped_records();
  co_return result;
}

}  // namespace qp
