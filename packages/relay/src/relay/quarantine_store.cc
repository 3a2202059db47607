#include "relay/quarantine_store.h"

#include <random>
#include <utility>

#include "foundation/spawn.h"
#include "foundation/wait.h"

namespace qp::relay {

namespace {

constexpr std::string_view kPrefix = "prompt_part/";

/// Not inlined into the coroutine: GCC 12 destroys the temporaries of an
/// initializer list in a coroutine twice.
std::vector<TableOperation> MakeWrite(const PartReport& report,
                                      bool quarantined) {
  TableOperation operation;
  operation.key = std::string(kPrefix) + report.part;
  if (quarantined) {
    auto crashes = nlohmann::json::array();
    for (const auto& crash : report.crashes) {
      crashes.push_back({{"engine", crash.engine},
                         {"crashed_ms_ago", crash.crashed_ms_ago},
                         {"sent_ms_ago", crash.sent_ms_ago}});
    }
    operation.put.emplace();
    (*operation.put)["crashes"] = std::move(crashes);
  }
  return Single(std::move(operation));
}

/// Throws nlohmann::json::exception if the item has another form.
PartReport ParseItem(const TableItem& item) {
  PartReport report;
  report.part = item.key.substr(kPrefix.size());
  for (const auto& crash : item.value.at("crashes")) {
    report.crashes.push_back({crash.at("engine").get<std::uint64_t>(),
                              crash.at("crashed_ms_ago").get<std::uint32_t>(),
                              crash.at("sent_ms_ago").get<std::uint32_t>()});
  }
  return report;
}

}  // namespace

QuarantineStore::QuarantineStore(RelayContext& context, Clock& time,
                                 Table& service)
    : relay(context), clock(time), table(service) {
  this->relay.store_era.AddListener(*this);
}

void QuarantineStore::RecordQuarantined(std::string_view part) {
  this->quarantined.emplace(part);
  const auto found = this->released.find(part);
  if (found != this->released.end()) {
    this->released.erase(found);
  }
}

void QuarantineStore::RecordReleased(std::string_view part) {
  const auto found = this->quarantined.find(part);
  if (found != this->quarantined.end()) {
    this->quarantined.erase(found);
  }
  if (this->released.size() < kMaxReleased) {
    this->released.emplace(part);
  }
}

void QuarantineStore::OnStoreRestored(std::uint64_t) {
  if (!std::exchange(this->reconciling, true)) {
    SpawnLoop(this->relay.io, this->clock, "quarantine.reconcile",
              [this] { return this->Reconcile(); });
  }
}

Task<void> QuarantineStore::Reconcile() {
  std::uint64_t era = 0;
  do {
    era = this->relay.store_era.current();
    const auto delay = std::uniform_int_distribution<Duration::rep>(
        0, kMaxRestoreDelay.count())(this->relay.random);
    co_await SleepFor(this->clock, Duration(delay));
    std::string prefix(kPrefix);
    const auto items = co_await this->table.Scan(std::move(prefix));
    if (!items) {
      this->RecordFailure(items.error());
      era = 0;
      continue;
    }
    std::set<std::string, std::less<>> stored;
    for (const auto& item : items.value()) {
      stored.insert(item.key.substr(kPrefix.size()));
    }
    for (const auto& part : this->quarantined) {
      if (!stored.contains(part)) {
        this->Save(part);
      }
    }
    for (const auto& part : stored) {
      if (this->released.contains(part)) {
        this->Save(part);
      }
    }
  } while (era != this->relay.store_era.current());
  this->reconciling = false;
}

void QuarantineStore::RecordFailure(const Error& error) {
  this->relay.events.Record(
      EventId::kQuarantineNotStored,
      {{"step", error.step}, {"peer", error.peer}, {"detail", error.detail}});
}

Task<void> QuarantineStore::LoadAtStart() {
  while (true) {
    // GCC 12 miscompiles a co_await in the condition of a loop.
    const bool done = co_await this->Load();
    if (done) {
      co_return;
    }
    co_await SleepFor(this->clock, kRetryInterval);
  }
}

Task<bool> QuarantineStore::Load() {
  std::string prefix(kPrefix);
  const auto items = co_await this->table.Scan(std::move(prefix));
  if (!items) {
    this->RecordFailure(items.error());
    co_return false;
  }
  for (const auto& item : items.value()) {
    if (this->released.contains(item.key.substr(kPrefix.size()))) {
      continue;  // A restored table shows parts that were released.
    }
    try {
      this->relay.quarantine.Restore(ParseItem(item), this->relay.Now());
    } catch (const nlohmann::json::exception& failure) {
      this->relay.events.Record(
          EventId::kRelayEntryUnreadable,
          {{"entry", item.key}, {"detail", failure.what()}});
    }
  }
  this->is_loaded = true;
  co_return true;
}

void QuarantineStore::Save(std::string_view part) {
  this->unsaved.emplace(part);
  if (!std::exchange(this->writing, true)) {
    SpawnLoop(this->relay.io, this->clock, "quarantine.write",
              [this] { return this->WriteUnsaved(); });
  }
}

Task<void> QuarantineStore::WriteUnsaved() {
  while (!this->unsaved.empty()) {
    const std::string part = *this->unsaved.begin();
    this->unsaved.erase(this->unsaved.begin());
    auto operations =
        MakeWrite(this->relay.quarantine.MakeReport(part, this->relay.Now()),
                  this->relay.quarantine.IsQuarantined(part));
    const auto written = co_await this->table.Transact(TransactMode::kAll,
                                                       std::move(operations));
    if (!written) {
      this->RecordFailure(written.error());
      this->unsaved.insert(part);
      co_await SleepFor(this->clock, kRetryInterval);
    }
  }
  this->writing = false;
}

}  // namespace qp::relay
