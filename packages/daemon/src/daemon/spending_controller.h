#pragma once

#include <chrono>

#include "blackboard/blackboard.h"
#include "daemon/lifetime.h"
#include "foundation/asio.h"
#include "foundation/clock.h"

namespace qp {

class BackendController;
class UsageStore;

/// Notes the running time of the engines that this daemon observes.
class SpendingController {
 public:
  static constexpr Duration kNoteInterval = std::chrono::seconds(20);
  /// With 600 VMs and two observers each, four writes a second in all.
  static constexpr Duration kFlushInterval = std::chrono::minutes(5);

  SpendingController(Clock& clock, const Blackboard& blackboard,
                     const BackendController& backends, UsageStore& store,
                     const Lifetime& lifetime);

  /// Notes and writes until the lifetime ends.
  Task<void> Run();

 private:
  void NoteRunning();

  Clock& clock;
  const Blackboard& blackboard;
  const BackendController& backends;
  UsageStore& store;
  const Lifetime& lifetime;
};

}  // namespace qp
