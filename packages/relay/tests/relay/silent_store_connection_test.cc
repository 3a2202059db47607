#include <catch2/catch.hpp>

#include "foundation/wait.h"
#include "relay/relay_harness.h"
#include "relay/store_watcher.h"

namespace qp::relay::testing {

namespace {

/// Time within which a draining server must be out of use.
constexpr Duration kBound = std::chrono::seconds(2);
/// Timeout of a call to the store.
constexpr Duration kCallTimeout = milliseconds(1500);
/// Time within which the store answers a call.
constexpr Duration kAnswerTime = milliseconds(4);

/// Store with one server, whose open connections can fall silent.
class SilentStore : public DeploymentStore {
 public:
  explicit SilentStore(Clock& time) : clock(time) {}

  void MarkDraining() {
    this->draining = true;
    ++this->revision;
  }

  Task<Result<ConfigurationSnapshot>> ReadConfiguration() override {
    co_return ConfigurationSnapshot{};
  }
  Task<Result<ConfigurationSnapshot>> WatchConfiguration(std::uint64_t,
                                                         Duration) override {
    return this->ReadConfiguration();
  }
  Task<Result<ConfigurationSnapshot>> CompareConfiguration(
      std::uint64_t) override {
    return this->ReadConfiguration();
  }
  Task<Result<ServerListUpdate>> ReadServers() override {
    co_await SleepFor(this->clock, kAnswerTime);
    ServerListUpdate list;
    list.revision = this->revision;
    auto record = MakeRecord("s1", "ledger");
    record.draining = this->draining;
    list.entries.push_back({"s1", std::move(record), false});
    co_return list;
  }
  Task<Result<ServerListUpdate>> WatchServers(std::uint64_t,
                                              Duration) override {
    if (this->open_connections_silent) {
      // The client closes the silent connections after the timeout.
      co_await SleepFor(this->clock, kCallTimeout);
      this->open_connections_silent = false;
      co_return Error{ErrorCode::kUnavailable, "read", "store", "no answer"};
    }
    co_return co_await this->ReadServers();
  }
  Task<Result<ServerListUpdate>> CompareServers(std::uint64_t) override {
    ++this->comparisons;
    if (this->lost_comparisons > 0) {
      --this->lost_comparisons;
      co_await SleepFor(this->clock, kCallTimeout);
      co_return Error{ErrorCode::kUnavailable, "read", "store", "no answer"};
    }
    co_return co_await this->ReadServers();
  }

  Clock& clock;
  std::uint64_t revision = 1;
  bool draining = false;
  bool open_connections_silent = false;
  int comparisons = 0;
  int lost_comparisons = 0;
};

struct Fixture {
  Fixture()
      : store(harness.runtime.clock()),
        watcher(harness.relay, harness.runtime.clock(), store) {
    asio::co_spawn(this->harness.runtime.io(), this->watcher.WatchServers(),
                   asio::detached);
    asio::co_spawn(this->harness.runtime.io(),
                   this->watcher.KeepServersCurrent(), asio::detached);
    this->Advance(milliseconds(500));
    REQUIRE(this->IsUsable());
  }
  ~Fixture() { this->harness.runtime.io().stop(); }

  void Advance(Duration time) {
    for (Duration passed{0}; passed < time; passed += milliseconds(20)) {
      this->harness.runtime.Advance(milliseconds(20));
    }
  }
  bool IsUsable() { return this->harness.relay.servers.Find("s1")->IsUsable(); }

  RelayHarness harness;
  SilentStore store;
  StoreWatcher watcher;
};

}  // namespace

TEST_CASE(
    "A draining server is out of use in time although the connections to the "
    "store are silent",
    "[relay][store]") {
  const int phase = GENERATE(range(0, 12));
  Fixture fixture;
  fixture.Advance(phase * milliseconds(100));
  fixture.store.open_connections_silent = true;
  fixture.store.lost_comparisons = GENERATE(0, 1);
  fixture.store.MarkDraining();
  fixture.Advance(kBound);
  CHECK_FALSE(fixture.IsUsable());
}

TEST_CASE("A server list that polls keep current needs few comparisons",
          "[relay][store]") {
  Fixture fixture;
  fixture.Advance(std::chrono::seconds(100));
  CHECK(fixture.store.comparisons < 5);
}

}  // namespace qp::relay::testing
