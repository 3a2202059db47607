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

/// Runs a ClusterNode in a CAF actor, so that one thread at a time uses it, and
/// publishes the blackboard's entries `members` and `budgets`.
class ClusterController {
 public:
  using Call = std::function<void(ClusterNode&, TimePoint now)>;

  /// `after_tick`, if set, runs in the actor after each tick. `timeline` may be
  /// null. All objects passed by reference or pointer must outlive the
  /// controller. Throws std::logic_error if `members` or `budgets` already has
  /// a writer.
  ClusterController(caf::actor_system& system, const Clock& clock,
                    Blackboard& blackboard, NodeIdentity identity,
                    std::vector<std::string> seeds, PeerLink& link,
                    Timeline* timeline, EventSink& events,
                    std::uint64_t random_seed, Call after_tick = {});

  /// Waits for the call in progress; calls still queued are dropped.
  ~ClusterController();
  ClusterController(const ClusterController&) = delete;
  ClusterController& operator=(const ClusterController&) = delete;

  /// Runs `call` in the actor, after all calls and messages queued before it.
  /// Thread-safe.
  void Post(Call call);

 private:
  struct Shared;

  PeerLink& link;
  std::shared_ptr<Shared> shared;
  caf::actor actor;
};

}  // namespace qp
