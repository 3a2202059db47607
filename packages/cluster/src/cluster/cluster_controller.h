#pragma once

#include <caf/actor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "blackboard/blackboard.h"
#include "cluster/cluster_node.h"
#include "foundation/clock.h"

namespace caf {
class actor_system;
}  // namespace caf

namespace qp {

/// Runs a ClusterNode in a CAF actor, which calls it from one thread at a
/// time, and publishes the entries `members` and `budgets` of the blackboard.
class ClusterController {
 public:
  using Call = std::function<void(ClusterNode&, TimePoint now)>;

  /// Calls `after_tick`, if there is one, after each tick, in the actor.
  /// Whatever is passed by reference must outlive the controller.
  ClusterController(caf::actor_system& system, const Clock& clock,
                    Blackboard& blackboard, NodeIdentity identity,
                    std::vector<std::string> seeds, PeerLink& link,
                    Timeline* timeline, EventSink& events,
                    std::uint64_t random_seed, Call after_tick = {});

  /// Waits for a call in progress; later ones are dropped.
  ~ClusterController();
  ClusterController(const ClusterController&) = delete;
  ClusterController& operator=(const ClusterController&) = delete;

  /// Runs `call` in the actor, after the calls and messages before it.
  /// Thread-safe.
  void Post(Call call);

 private:
  struct Shared;

  PeerLink& link;
  std::shared_ptr<Shared> shared;
  caf::actor actor;
};

}  // namespace qp
