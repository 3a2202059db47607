#pragma once

#include <set>
#include <string>

#include "blackboard/blackboard.h"
#include "daemon/lifetime.h"
#include "foundation/asio.h"
#include "foundation/clock.h"
#include "foundation/event.h"
#include "policy/placement_planner.h"

namespace qp {

namespace http {
class Client;
}  // namespace http

class Lease;

/// Orders engines to hold the layer ranges of the placement while this daemon
/// holds the placement lease. An order states the wanted end, so that sending
/// it again is harmless; the engine's next status shows whether it was done.
class PlacementController {
 public:
  /// Longest wait for an engine's answer; loads go on beyond it.
  static constexpr Duration kOrderBound = std::chrono::seconds(2);

  PlacementController(asio::io_context& io, Clock& clock,
                      const Blackboard& blackboard, http::Client& client,
                      Lease& lease, EventSink& events,
                      const Lifetime& lifetime);

  /// Renews the lease and sends orders until the lifetime ends.
  Task<void> Run();

 private:
  void Decide();
  Task<void> SendOrder(Backend engine, policy::LayerAssignment assignment);
  /// Sends the order if this daemon holds the lease.
  Task<void> SendFencedOrder(Backend engine,
                             policy::LayerAssignment assignment);

  asio::io_context& io;
  Clock& clock;
  const Blackboard& blackboard;
  http::Client& client;
  Lease& lease;
  EventSink& events;
  const Lifetime& lifetime;
  policy::PlacementPlanner placement;
  std::set<std::string, std::less<>> being_ordered;
};

}  // namespace qp
