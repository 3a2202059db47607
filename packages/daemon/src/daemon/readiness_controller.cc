#include "daemon/readiness_controller.h"

#include "cluster/cluster_node.h"
#include "daemon/cluster_handle.h"
#include "foundation/wait.h"

namespace qp {

ReadinessController::ReadinessController(Clock& time, Blackboard& board,
                                         ClusterHandle& handle, EventSink& sink,
                                         const Lifetime& life)
    : clock(time),
      blackboard(board),
      cluster(handle),
      events(sink),
      lifetime(life),
      writer(board.readiness.Claim()) {
  this->Publish({false, false, "starting"});
}

Task<void> ReadinessController::Run() {
  while (!this->lifetime.ended) {
    this->Publish(co_await this->Evaluate());
    co_await SleepFor(this->clock, kInterval);
  }
}

void ReadinessController::BeginDrain() {
  this->draining = true;
  ReadinessView next = this->current;
  next.draining = true;
  this->Publish(std::move(next));
}

Task<ReadinessView> ReadinessController::Evaluate() {
  struct Standing {
    bool confirmed = false;
    bool asked_all = false;
  };
  const auto standing =
      co_await this->cluster.Ask([now = this->clock.Now()](ClusterNode& node) {
        return Standing{node.IsConfirmed(now), node.HasSyncedWithPeers(now)};
      });
  ReadinessView next;
  next.draining = this->draining;
  if (!this->blackboard.configuration.Read()->value.configuration) {
    next.reason = "no configuration is known yet";
  } else if (standing.confirmed) {
    this->was_confirmed = true;
    next.ready = true;
  } else if (!this->was_confirmed && standing.asked_all) {
    next.ready = true;
  } else {
    next.reason = "the configuration in force is not confirmed";
  }
  co_return next;
}

void ReadinessController::Publish(ReadinessView next) {
  const bool changed = next.ready != this->current.ready ||
                       next.draining != this->current.draining ||
                       next.reason != this->current.reason;
  if (!changed) {
    return;
  }
  if (next.ready != this->current.ready) {
    if (next.ready) {
      this->events.Record(EventId::kDaemonReady, {});
    } else {
      this->events.Record(EventId::kDaemonUnready, {{"reason", next.reason}});
    }
  }
  this->current = next;
  this->writer->Publish(std::move(next));
}

}  // namespace qp
