#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "blackboard/blackboard.h"
#include "cluster/observation.h"
#include "daemon/lifetime.h"
#include "foundation/asio.h"
#include "foundation/clock.h"
#include "foundation/event.h"
#include "storage/vm_list.h"

namespace qp {

namespace http {
class Client;
}  // namespace http

class ClusterHandle;

/// Finds the backend servers, observes those assigned to this daemon and owns
/// the blackboard's `backends` entry.
class BackendController {
 public:
  static constexpr Duration kListInterval = std::chrono::seconds(1);
  static constexpr Duration kObserveInterval = std::chrono::milliseconds(500);
  static constexpr Duration kPublishInterval = std::chrono::milliseconds(100);
  static constexpr Duration kStatusBound = std::chrono::milliseconds(800);
  /// One lost status exchange does not make a server unreachable.
  static constexpr int kFailuresUntilLost = 2;

  BackendController(asio::io_context& io, Clock& clock, Blackboard& blackboard,
                    VmList& vm_list, http::Client& client,
                    ClusterHandle& cluster, EventSink& events,
                    const Lifetime& lifetime);

  /// Reads the VM list until the lifetime ends.
  Task<void> PollList();
  /// Observes the assigned servers until the lifetime ends.
  Task<void> Observe();
  /// Publishes the merged view until the lifetime ends.
  Task<void> Publish();

  /// Whether this daemon is one of the observers of a server.
  bool IsObserved(std::string_view vm) const;

 private:
  Task<void> ObserveOne(Vm vm);
  void NoteChanges(const std::vector<Backend>& next);

  asio::io_context& io;
  Clock& clock;
  VmList& vm_list;
  http::Client& client;
  ClusterHandle& cluster;
  EventSink& events;
  const Lifetime& lifetime;
  std::unique_ptr<Writer<BackendsView>> writer;
  std::vector<Vm> backends;  ///< Engines and services of the latest list.
  std::map<std::string, int, std::less<>> failures;
  std::map<std::string, Observation, std::less<>> last_answers;
  std::set<std::string, std::less<>> assigned;
  std::set<std::string, std::less<>> being_observed;
  std::map<std::string, Backend, std::less<>> published;
};

}  // namespace qp
