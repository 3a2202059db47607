#pragma once

#include <memory>
#include <string>

#include "blackboard/blackboard.h"
#include "daemon/lifetime.h"
#include "foundation/asio.h"
#include "foundation/clock.h"
#include "foundation/event.h"

namespace qp {

class ClusterHandle;

/// Decides whether the daemon takes new work and owns the blackboard's
/// `readiness` entry. A daemon is ready while it has a configuration that is
/// confirmed and, if it started during an outage of the table, has asked all
/// of its peers.
class ReadinessController {
 public:
  static constexpr Duration kInterval = std::chrono::milliseconds(100);

  ReadinessController(Clock& clock, Blackboard& blackboard,
                      ClusterHandle& cluster, EventSink& events,
                      const Lifetime& lifetime);

  Task<void> Run();

  /// Starts refusing new connections' health checks; work goes on.
  void BeginDrain();

  bool is_ready() const { return this->current.ready; }

 private:
  Task<ReadinessView> Evaluate();
  void Publish(ReadinessView next);

  Clock& clock;
  Blackboard& blackboard;
  ClusterHandle& cluster;
  EventSink& events;
  const Lifetime& lifetime;
  std::unique_ptr<Writer<ReadinessView>> writer;
  ReadinessView current;
  bool was_confirmed = false;
  bool draining = false;
};

}  // namespace qp
