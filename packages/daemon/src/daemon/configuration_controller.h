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
  static constexpr Duration kPublishInterval = std::chrono::milliseconds(100);

  ConfigurationController(Clock& clock, Blackboard& blackboard,
                          ConfigurationStore& store, Table& table,
                          ClusterHandle& cluster, EventSink& events,
                          const Lifetime& lifetime);

  /// Polls the table until the lifetime ends.
  Task<void> Poll();

  /// Publishes what the cluster node has in force, until the lifetime ends.
  Task<void> Publish();

 private:
  Task<bool> ReadConfiguration();
  Task<bool> ReadGeneration();
  Task<void> WriteProposedGeneration();

  Clock& clock;
  ConfigurationStore& store;
  Table& table;
  ClusterHandle& cluster;
  EventSink& events;
  const Lifetime& lifetime;
  std::unique_ptr<Writer<ConfigurationView>> writer;
  std::uint64_t published_version = 0;
};

}  // namespace qp
