#include "daemon/backend_controller.h"

#include <algorithm>

#include "cluster/cluster_node.h"
#include "daemon/backend_status.h"
#include "daemon/cluster_handle.h"
#include "foundation/spawn.h"
#include "foundation/wait.h"
#include "http/client.h"

namespace qp {

namespace {

constexpr std::string_view kEntryRole = "entry";
constexpr std::string_view kEngineRole = "engine";
constexpr std::string_view kServiceRole = "service";

Backend BackendOf(const Vm& vm, const Observation& observation) {
  Backend backend;
  backend.name = vm.name;
  backend.address = vm.address;
  backend.role =
      vm.role == kEngineRole ? BackendRole::kEngine : BackendRole::kService;
  backend.region = vm.region;
  backend.availability_zone = vm.availability_zone;
  backend.kind = observation.kind;
  backend.model = observation.model;
  backend.service = observation.service;
  backend.first_layer = observation.first_layer;
  backend.last_layer = observation.last_layer;
  backend.incarnation = observation.incarnation;
  backend.slots = observation.slots;
  backend.running = observation.running;
  backend.queued = observation.queued;
  backend.reported_at = observation.observed_at;
  backend.leaving = observation.leaving || vm.state == VmState::kLeaving;
  backend.reachable = observation.reachable;
  return backend;
}

/// Servers of the list that were observed, ordered by name.
std::vector<Backend> Merge(const std::vector<Vm>& vms,
                           const std::vector<Observation>& observations) {
  std::map<std::string_view, const Observation*> by_name;
  for (const Observation& observation : observations) {
    by_name[observation.backend] = &observation;
  }
  std::vector<Backend> merged;
  for (const Vm& vm : vms) {
    const auto found = by_name.find(vm.name);
    if (found != by_name.end()) {
      merged.push_back(BackendOf(vm, *found->second));
    }
  }
  std::sort(merged.begin(), merged.end(),
            [](const Backend& left, const Backend& right) {
              return left.name < right.name;
            });
  return merged;
}

}  // namespace

BackendController::BackendController(asio::io_context& context, Clock& time,
                                     Blackboard& blackboard, VmList& list,
                                     http::Client& http_client,
                                     ClusterHandle& handle, EventSink& sink,
                                     const Lifetime& life)
    : io(context),
      clock(time),
      vm_list(list),
      client(http_client),
      cluster(handle),
      events(sink),
      lifetime(life),
      writer(blackboard.backends.Claim()) {}

Task<void> BackendController::PollList() {
  bool available = true;
  while (!this->lifetime.ended) {
    const auto list = co_await this->vm_list.Fetch();
    if (list.has_value() != available) {
      available = list.has_value();
      if (!available) {
        this->events.Record(EventId::kVmListUnavailable,
                            {{"error", ToString(list.error())}});
      }
    }
    if (list) {
      std::vector<Vm> found;
      std::vector<Contact> contacts;
      for (const Vm& vm : list.value()) {
        if (vm.role == kEngineRole || vm.role == kServiceRole) {
          found.push_back(vm);
        } else if (vm.role == kEntryRole && vm.state == VmState::kLive) {
          contacts.push_back({vm.name, vm.address});
        }
      }
      this->backends = std::move(found);
      this->cluster.Post([contacts = std::move(contacts)](ClusterNode& node) {
        node.SetContacts(contacts);
      });
    }
    co_await SleepFor(this->clock, kListInterval);
  }
}

Task<void> BackendController::Observe() {
  while (!this->lifetime.ended) {
    std::vector<std::string> names;
    for (const Vm& vm : this->backends) {
      names.push_back(vm.name);
    }
    // Named, since GCC 12 destroys a temporary closure with captures twice in
    // an await expression.
    auto choose = [names](ClusterNode& node) {
      std::set<std::string, std::less<>> chosen;
      for (const std::string& name : names) {
        if (node.ShouldObserve(name)) {
          chosen.insert(name);
        }
      }
      return chosen;
    };
    this->assigned = co_await this->cluster.Ask(std::move(choose));
    for (const Vm& vm : this->backends) {
      // A slow server must not hold up the observation of others.
      if (this->assigned.contains(vm.name) &&
          this->being_observed.insert(vm.name).second) {
        Spawn(this->io, "backends.observe_one", this->ObserveOne(vm));
      }
    }
    co_await SleepFor(this->clock, kObserveInterval);
  }
}

bool BackendController::IsObserved(std::string_view vm) const {
  return this->assigned.contains(vm);
}

Task<void> BackendController::ObserveOne(Vm vm) {
  std::optional<Observation> observation;
  try {
    auto response = co_await this->client.Send(
        vm.address, http::MakeRequest(http::Verb::get, StatusTarget(vm.role)),
        kStatusBound);
    if (response && response.value().result() == http::Status::ok) {
      observation = ObservationOf(vm, response.value().body());
    }
  } catch (...) {
    this->being_observed.erase(vm.name);
    throw;
  }
  this->being_observed.erase(vm.name);
  if (observation) {
    this->failures[vm.name] = 0;
    this->last_answers[vm.name] = *observation;
  } else if (++this->failures[vm.name] >= kFailuresUntilLost) {
    const auto last = this->last_answers.find(vm.name);
    if (last != this->last_answers.end()) {
      observation = last->second;
      observation->reachable = false;
    }
  }
  if (!observation) {
    co_return;
  }
  const TimePoint now = this->clock.Now();
  observation->observed_at = now;
  this->cluster.Post([observation = *observation, now](ClusterNode& node) {
    node.PublishObservation(observation, now);
  });
}

Task<void> BackendController::Publish() {
  while (!this->lifetime.ended) {
    const auto observations = co_await this->cluster.Ask(
        [now = this->clock.Now()](ClusterNode& node) {
          return node.Observations(now);
        });
    std::vector<Backend> next = Merge(this->backends, observations);
    this->NoteChanges(next);
    this->writer->Publish({std::move(next)});
    co_await SleepFor(this->clock, kPublishInterval);
  }
}

void BackendController::NoteChanges(const std::vector<Backend>& next) {
  std::map<std::string, Backend, std::less<>> current;
  for (const Backend& backend : next) {
    const auto former = this->published.find(backend.name);
    const bool known = former != this->published.end();
    if (!known) {
      this->events.Record(EventId::kBackendJoined, {{"vm", backend.name}});
    }
    if (backend.leaving && !(known && former->second.leaving)) {
      this->events.Record(EventId::kBackendLeaving, {{"vm", backend.name}});
    }
    if (!backend.reachable && (!known || former->second.reachable)) {
      this->events.Record(EventId::kBackendLost, {{"vm", backend.name}});
    }
    current.emplace(backend.name, backend);
  }
  this->published = std::move(current);
}

}  // namespace qp
