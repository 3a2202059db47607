#include "relay/entry_registry.h"

#include <algorithm>

#include "foundation/spawn.h"
#include "foundation/wait.h"

namespace qp::relay {

namespace {

constexpr const char* kPrefix = "entry/";

// Not inlined into the coroutines: GCC 12 destroys the temporaries of an
// initializer list in a coroutine twice.
std::vector<TableOperation> MakeRegistration(const std::string& node,
                                             const std::string& zone,
                                             const std::string& address,
                                             std::uint64_t era) {
  TableOperation operation;
  operation.key = kPrefix + node;
  operation.put.emplace();
  (*operation.put)["availability_zone"] = zone;
  (*operation.put)["address"] = address;
  (*operation.put)["era"] = era;
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
      address(std::move(peer_address)),
      era_began(time.Now()) {
  this->relay.store_era.AddListener(*this);
}

Task<void> EntryRegistry::Run() {
  co_await this->Register();
  while (!this->relay.draining) {
    const bool counted = co_await this->CountProcesses();
    const TimePoint counted_at = this->clock.Now();
    this->counts += counted ? 1 : 0;
    // A restore shortens the pause.
    while (!this->relay.draining &&
           this->clock.Now() < counted_at + this->NextPause(counted)) {
      co_await SleepFor(this->clock, kRetryInterval);
    }
  }
}

Duration EntryRegistry::NextPause(bool counted) {
  if (!counted) {
    return kRetryInterval;
  }
  if (this->counts < kInitialCounts) {
    return kInitialInterval;
  }
  const auto scaled = std::chrono::duration_cast<Duration>(
      kIntervalPerProcess * this->relay.processes_in_zone);
  return std::max(kInterval, scaled);
}

Task<void> EntryRegistry::Register() {
  if (std::exchange(this->registering, true)) {
    co_return;
  }
  while (this->must_register && !this->relay.draining) {
    this->must_register = false;
    const std::uint64_t era = this->relay.store_era.current();
    bool written = false;
    try {
      auto operations = MakeRegistration(
          this->node, this->relay.availability_zone, this->address, era);
      const auto result = co_await this->table.Transact(TransactMode::kAll,
                                                        std::move(operations));
      written = result.has_value();
    } catch (...) {
      this->must_register = true;
      this->registering = false;
      throw;
    }
    if (!written) {
      co_await SleepFor(this->clock, kRetryInterval);
    }
    // The first answer of all names the era.
    this->must_register |= !written || era != this->relay.store_era.current();
  }
  this->registering = false;
}

void EntryRegistry::OnStoreRestored(std::uint64_t) {
  this->era_began = this->clock.Now();
  this->counts = 0;
  this->must_register = true;
  Spawn(this->relay.io, "registry.register", this->Register());
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
  const bool may_rejoin = this->clock.Now() - this->era_began < kRejoinTime;
  for (const auto& item : items.value()) {
    std::uint64_t era = 0;
    std::string zone;
    std::string peer;
    try {
      era = item.value.value("era", std::uint64_t{0});
      zone = item.value.value("availability_zone", std::string());
      peer = item.value.value("address", std::string());
    } catch (const nlohmann::json::exception& failure) {
      // The entry must not hide the others. It can be that of a process, which
      // has a share in the limits.
      names.push_back(item.key.substr(prefix_size));
      this->relay.events.Record(
          EventId::kRelayEntryUnreadable,
          {{"entry", item.key}, {"detail", failure.what()}});
      continue;
    }
    if (era < this->relay.store_era.current() && !may_rejoin) {
      continue;
    }
    processes_in_own_zone += zone == this->relay.availability_zone ? 1 : 0;
    names.push_back(item.key.substr(prefix_size));
    zone_by_address[std::move(peer)] = std::move(zone);
  }
  this->relay.processes_in_zone = std::max(1.0, processes_in_own_zone);
  const std::size_t count = names.size();
  this->relay.limits.SetProcesses(this->node, std::move(names),
                                  this->clock.Now());
  this->gossip.SetPeers(std::move(zone_by_address));
  this->relay.retry_budget.SetProcessCount(std::max<std::size_t>(1, count));
  co_return true;
}

Task<void> EntryRegistry::Unregister() {
  auto operations = MakeRemoval(this->node);
  // The error is ignored: a stale item can only tighten the shared limits.
  std::ignore =
      co_await this->table.Transact(TransactMode::kAll, std::move(operations));
}

}  // namespace qp::relay
