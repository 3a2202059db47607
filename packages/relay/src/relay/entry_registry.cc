#include "relay/entry_registry.h"

#include <algorithm>

#include "foundation/wait.h"

namespace qp::relay {

namespace {

constexpr const char* kPrefix = "entry/";

// Built outside of the coroutines: GCC 12 destroys the temporaries of an
// initializer list there twice.
std::vector<TableOperation> Registration(const std::string& node,
                                         const std::string& zone,
                                         const std::string& address) {
  TableOperation operation;
  operation.key = kPrefix + node;
  operation.put.emplace();
  (*operation.put)["availability_zone"] = zone;
  (*operation.put)["address"] = address;
  return Single(std::move(operation));
}

std::vector<TableOperation> Removal(const std::string& node) {
  TableOperation operation;
  operation.key = kPrefix + node;
  return Single(std::move(operation));
}

}  // namespace

EntryRegistry::EntryRegistry(RelayContext& shared, Clock& time, Table& service,
                             LoadGossip& loads, std::string name,
                             std::string peer_address)
    : relay(shared),
      clock(time),
      table(service),
      gossip(loads),
      node(std::move(name)),
      address(std::move(peer_address)) {}

Task<void> EntryRegistry::Run() {
  while (!this->relay.draining) {
    auto operations =
        Registration(this->node, this->relay.availability_zone, this->address);
    const auto written = co_await this->table.Transact(TransactMode::kAll,
                                                       std::move(operations));
    if (written) {
      break;
    }
    co_await SleepFor(this->clock, kRetry);
  }
  int counts = 0;
  while (!this->relay.draining) {
    const bool counted = co_await this->Count();
    counts += counted ? 1 : 0;
    const auto shared = std::chrono::duration_cast<Duration>(
        kIntervalPerProcess * this->relay.processes_in_zone);
    const Duration pause =
        counts < kFirstCounts ? kFirstInterval : std::max(kInterval, shared);
    co_await SleepFor(this->clock, counted ? pause : kRetry);
  }
}

Task<bool> EntryRegistry::Count() {
  std::string prefix = kPrefix;
  const auto items = co_await this->table.Scan(std::move(prefix));
  if (!items) {
    co_return false;
  }
  double in_zone = 0;
  std::map<std::string, std::string> zone_by_address;
  for (const auto& item : items.value()) {
    const auto zone = item.value.value("availability_zone", std::string());
    in_zone += zone == this->relay.availability_zone ? 1 : 0;
    zone_by_address[item.value.value("address", std::string())] = zone;
  }
  this->relay.processes_in_zone = std::max(1.0, in_zone);
  this->gossip.SetPeers(std::move(zone_by_address));
  this->relay.retry_budget.SetProcessCount(
      std::max<std::size_t>(1, items.value().size()));
  co_return true;
}

Task<void> EntryRegistry::Unregister() {
  auto operations = Removal(this->node);
  // What is left behind only makes the shared bounds tighter.
  std::ignore =
      co_await this->table.Transact(TransactMode::kAll, std::move(operations));
}

}  // namespace qp::relay
