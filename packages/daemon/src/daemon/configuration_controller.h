#pragma once

#include <cstdint>
#include <memory>

#include "blackboard/blackboard.h"
#include "daemon/lifetime.h"
#include "foundation/asio.h"
#include "foundation/clock.h"
#include "foundation/event.h"

namespace qp {

class ClusterHandle;
class ConfigurationStore;
class Table;

/// Keeps the configuration and the budget generation in step with the table
/// and owns the blackboard's `configuration` entry.
class ConfigurationController {
 public:
  static constexpr Duration kPollInterval = std::chrono::seconds(1);

  ConfigurationController(Clock& clock, Blackboard& blackboard,
                          ConfigurationStore& store, Table& table,
                          ClusterHandle& cluster, EventSink& events,
                          const Lifetime& lifetime);

  /// Polls the table until the lifetime ends.
  Task<void> Poll();

 private:
  Task<bool> ReadConfiguration();
  Task<bool> ReadGeneration();
  Task<void> WriteProposedGeneration();

  void PublishApplied(Blackboard& blackboard);

  Clock& clock;
  ConfigurationStore& store;
  Table& table;
  ClusterHandle& cluster;
  EventSink& events;
  const Lifetime& lifetime;
};

}  // namespace qp
