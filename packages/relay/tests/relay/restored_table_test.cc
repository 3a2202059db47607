#include <catch2/catch.hpp>

#include "relay/entry_registry.h"
#include "relay/load_gossip.h"
#include "relay/quarantine_store.h"
#include "relay/relay_harness.h"
#include "testing/restorable_table.h"

namespace qp::relay::testing {

namespace {

using qp::testing::RestorableTable;
using qp::testing::RestorableTableClient;

struct SilentListener : ReportListener {
  void OnReport(const LoadReport&) override {}
  void FillReport(LoadReport&) override {}
};

/// What one process keeps in the table.
struct Process {
  Process(RestorableTable& table, qp::testing::TestRuntime& runtime,
          EventSink& events, const std::string& name)
      : relay(runtime.io(), runtime.clock(), protocol, events, "a",
              {0.2, 100, std::chrono::seconds(10)}, 7),
        client(table, relay.store_era),
        gossip(relay, runtime.clock(), name, listener),
        registry(relay, runtime.clock(), client, gossip, name,
                 "127.0.0.1:" + std::to_string(9000 + name.back() - '0')),
        quarantine_store(relay, runtime.clock(), client) {
    asio::co_spawn(runtime.io(), this->registry.Run(), asio::detached);
  }

  PlainProtocol protocol;
  RelayContext relay;
  RestorableTableClient client;
  SilentListener listener;
  LoadGossip gossip;
  EntryRegistry registry;
  QuarantineStore quarantine_store;
};

class Deployment {
 public:
  ~Deployment() { this->runtime.io().stop(); }

  Process& Start(const std::string& name) {
    this->processes.push_back(std::make_unique<Process>(
        this->table, this->runtime, this->events, name));
    this->runtime.Settle();
    return *this->processes.back();
  }
  void Stop(Process& process) {
    process.relay.draining = true;
    asio::co_spawn(this->runtime.io(), process.registry.Unregister(),
                   asio::detached);
    this->runtime.Settle();
  }
  void Advance(Duration time) {
    this->runtime.Advance(time, milliseconds(100));
  }
  /// Lets each process notice the era, as the polls of the store do.
  void Poll() {
    for (const auto& process : this->processes) {
      std::ignore = process->relay.store_era.OnAnswer(this->table.era);
    }
  }

  qp::testing::TestRuntime runtime;
  NullEventSink events;
  RestorableTable table;
  std::vector<std::unique_ptr<Process>> processes;
};

PartReport MakeCrashes(std::string part) {
  PartReport report;
  report.part = std::move(part);
  report.crashes = {{1, 9000, 9100}, {2, 6000, 6100}, {3, 3000, 3100}};
  return report;
}

}  // namespace

TEST_CASE(
    "A process that the restored table lacks registers again and is counted",
    "[relay][restored]") {
  Deployment deployment;
  Process& first = deployment.Start("p1");
  deployment.table.Copy();
  Process& second = deployment.Start("p2");
  deployment.Advance(EntryRegistry::kInterval);
  REQUIRE(first.relay.processes_in_zone == 2);
  deployment.table.Restore();
  CHECK_FALSE(deployment.table.items.contains("entry/p2"));
  deployment.Poll();
  deployment.Advance(EntryRegistry::kInitialInterval +
                     2 * EntryRegistry::kRetryInterval);
  CHECK(deployment.table.items.contains("entry/p2"));
  CHECK(first.relay.processes_in_zone == 2);
  CHECK(second.relay.processes_in_zone == 2);
}

TEST_CASE("A process that left before the restore is not counted for ever",
          "[relay][restored]") {
  Deployment deployment;
  Process& first = deployment.Start("p1");
  Process& second = deployment.Start("p2");
  deployment.table.Copy();
  deployment.Stop(second);
  deployment.Advance(EntryRegistry::kInterval);
  REQUIRE(first.relay.processes_in_zone == 1);
  deployment.table.Restore();
  CHECK(deployment.table.items.contains("entry/p2"));
  deployment.Poll();
  deployment.Advance(EntryRegistry::kRejoinTime + EntryRegistry::kInterval +
                     2 * EntryRegistry::kRetryInterval);
  CHECK(first.relay.processes_in_zone == 1);
}

TEST_CASE("A registration that is lost with a second restore is repeated",
          "[relay][restored]") {
  Deployment deployment;
  deployment.table.Copy();
  Process& first = deployment.Start("p1");
  Process& second = deployment.Start("p2");
  deployment.table.Restore();
  deployment.Poll();
  second.client.cut_off = true;
  deployment.Advance(milliseconds(1000));
  deployment.table.Restore();
  deployment.Poll();
  second.client.cut_off = false;
  deployment.Advance(EntryRegistry::kInitialInterval +
                     2 * EntryRegistry::kRetryInterval);
  CHECK(first.relay.processes_in_zone == 2);
  CHECK(second.relay.processes_in_zone == 2);
}

TEST_CASE("A quarantined part that the restored table lacks is written again",
          "[relay][restored]") {
  Deployment deployment;
  Process& process = deployment.Start("p1");
  deployment.table.Copy();
  process.relay.quarantine.Restore(MakeCrashes("bad0"),
                                   deployment.runtime.clock().Now());
  REQUIRE(process.relay.quarantine.IsQuarantined("bad0"));
  process.quarantine_store.RecordQuarantined("bad0");
  process.quarantine_store.Save("bad0");
  deployment.runtime.Settle();
  REQUIRE(deployment.table.items.contains("prompt_part/bad0"));
  deployment.table.Restore();
  deployment.Poll();
  deployment.Advance(QuarantineStore::kMaxRestoreDelay +
                     QuarantineStore::kRetryInterval);
  CHECK(deployment.table.items.contains("prompt_part/bad0"));
}

TEST_CASE("A released part of a restored table is removed and not used again",
          "[relay][restored]") {
  Deployment deployment;
  Process& process = deployment.Start("p1");
  process.relay.quarantine.Restore(MakeCrashes("bad0"),
                                   deployment.runtime.clock().Now());
  process.quarantine_store.Save("bad0");
  deployment.runtime.Settle();
  REQUIRE(deployment.table.items.contains("prompt_part/bad0"));
  deployment.table.Copy();
  const std::vector<std::string> parts{"bad0"};
  process.relay.quarantine.RecordStart(parts, deployment.runtime.clock().Now());
  REQUIRE_FALSE(process.relay.quarantine.IsQuarantined("bad0"));
  process.quarantine_store.RecordReleased("bad0");
  process.quarantine_store.Save("bad0");
  deployment.runtime.Settle();
  deployment.table.Restore();
  REQUIRE(deployment.table.items.contains("prompt_part/bad0"));
  asio::co_spawn(deployment.runtime.io(), process.quarantine_store.Load(),
                 asio::detached);
  deployment.runtime.Settle();
  CHECK_FALSE(process.relay.quarantine.IsQuarantined("bad0"));
  deployment.Advance(QuarantineStore::kMaxRestoreDelay +
                     QuarantineStore::kRetryInterval);
  CHECK_FALSE(deployment.table.items.contains("prompt_part/bad0"));
}

}  // namespace qp::relay::testing
