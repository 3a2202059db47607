#include "relay/entry_registry.h"

#include <algorithm>

#include "foundation/wait.h"

namespace qp::relay {

namespace {

constexpr const char* kPrefix = "entry/";

// Not inlined into the coroutines: GCC 12 destroys the temporaries of an
// initializer list in a coroutine twice.
std::vector<TableOperation> MakeRegistration(const std::string& node,
                                             const std::string& zone,
                                             const std::string& address) {
  TableOperation operation;
  operation.key = kPrefix + node;
  operation.put.emplace();
  (*operation.put)["availability_zone"] = zone;
  (*operation.put)["address"] = address;
  return Single(std::move(operation));
}

std::vector<TableOperation> MakeRemoval(const std::string& node) {
  TableOperation operation;
  operation.key = kPrefix + node;
  return Single(std::move(operation));
}

}  // namespace

EntryRegistry::EntryRegistry(RelayContext& context, Clock& time, Table& service,
                             LoadGossip& load_gossip, std::string name,
                             std::string peer_address)
    : relay(context),
      clock(time),
      table(service),
      gossip(load_gossip),
      node(std::move(name)),
      address(std::move(peer_address)) {}

Task<void> EntryRegistry::Run() {
  while (!this->relay.draining) {
    auto operations = MakeRegistration(
        this->node, this->relay.availability_zone, this->address);
    const auto written = co_await this->table.Transact(TransactMode::kAll,
                                                       std::move(operations));
    if (written) {
      break;
    }
    co_await SleepFor(this->clock, kRetryInterval);
  }
  int counts = 0;
  while (!this->relay.draining) {
    const bool counted = co_await this->CountProcesses();
    counts += counted ? 1 : 0;
    const auto scaled = std::chrono::duration_cast<Duration>(
        kIntervalPerProcess * this->relay.processes_in_zone);
    const Duration pause = counts < kInitialCounts
                               ? kInitialInterval
                               : std::max(kInterval, scaled);
    co_await SleepFor(this->clock, counted ? pause : kRetryInterval);
  }
}

Task<bool> EntryRegistry::CountProcesses() {
  std::string prefix = kPrefix;
  const auto items = co_await this->table.Scan(std::move(prefix));
  if (!items) {
    co_return false;
  }
  double processes_in_own_zone = 0;
  std::map<std::string, std::string> zone_by_address;
  std::vector<std::string> names;
  const std::size_t prefix_size = std::string_view(kPrefix).size();
  for (const auto& item : items.value()) {
    const auto zone = item.value.value("availability_zone", std::string());
    processes_in_own_zone += zone == this->relay.availability_zone ? 1 : 0;
    names.push_back(item.key.substr(prefix_size));
    zone_by_address[item.value.value("address", std::string())] = zone;
  }
  this->relay.processes_in_zone = std::max(1.0, processes_in_own_zone);
  this->relay.limits.SetProcesses(this->node, std::move(names),
                                  this->clock.Now());
  this->gossip.SetPeers(std::move(zone_by_address));
  this->relay.retry_budget.SetProcessCount(
      std::max<std::size_t>(1, items.value().size()));
  co_return true;
}

Task<void> EntryRegistry::Unregister() {
  auto operations = MakeRemoval(this->node);
  // The error is ignored: a stale item can only tighten the shared limits.
  std::ignore =
      co_await this->table.Transact(TransactMode::kAll, std::move(operations));
}

}  // namespace qp::relay
