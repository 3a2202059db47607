#include "daemon/spending_controller.h"

#include "daemon/backend_controller.h"
#include "foundation/wait.h"
#include "storage/usage_store.h"

namespace qp {

SpendingController::SpendingController(Clock& time, const Blackboard& board,
                                       const BackendController& observer,
                                       UsageStore& usage, const Lifetime& life)
    : clock(time),
      blackboard(board),
      backends(observer),
      store(usage),
      lifetime(life) {}

Task<void> SpendingController::Run() {
  TimePoint next_flush = this->clock.Now() + kFlushInterval;
  while (!this->lifetime.ended) {
    this->NoteRunning();
    if (this->clock.Now() >= next_flush) {
      co_await this->store.Flush();
      next_flush = this->clock.Now() + kFlushInterval;
    }
    co_await SleepFor(this->clock, kNoteInterval);
  }
}

void SpendingController::NoteRunning() {
  const auto view = this->blackboard.backends.Read();
  for (const Backend& backend : view->value.backends) {
    const bool counted = backend.role == BackendRole::kEngine &&
                         backend.reachable &&
                         this->backends.IsObserved(backend.name);
    if (counted) {
      this->store.RecordRunning({backend.name, backend.kind, backend.region});
    }
  }
}

}  // namespace qp
