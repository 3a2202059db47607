#include "relay/store_watcher.h"

#include <catch2/catch.hpp>
#include <deque>

#include "foundation/wait.h"
#include "relay/relay_harness.h"

namespace qp::relay::testing {

namespace {

Error Unavailable() { return {ErrorCode::kUnavailable, "read", "store", ""}; }
Error Gone() { return {ErrorCode::kNotFound, "read", "store", ""}; }

/// Answers from two scripts; without a script entry, nothing has changed.
class ScriptedStore : public DeploymentStore {
 public:
  Task<Result<ConfigurationSnapshot>> ReadConfiguration() override {
    ++this->whole_configurations;
    ++this->configuration_calls;
    co_return this->Take(this->configurations, this->revision);
  }
  Task<Result<ConfigurationSnapshot>> WatchConfiguration(
      std::uint64_t after, Duration wait) override {
    this->last_wait = wait;
    ++this->configuration_calls;
    if (this->waits != nullptr && this->configurations.empty()) {
      co_await SleepFor(*this->waits, wait);
    }
    co_return this->Take(this->configurations, after);
  }
  Task<Result<ServerListUpdate>> ReadServers() override {
    ++this->whole_servers;
    co_return this->Take(this->server_pages, this->revision);
  }
  Task<Result<ServerListUpdate>> WatchServers(std::uint64_t after,
                                              Duration) override {
    co_return this->Take(this->server_pages, after);
  }

  std::deque<Result<ConfigurationSnapshot>> configurations;
  std::deque<Result<ServerListUpdate>> server_pages;
  std::uint64_t revision = 1;
  Duration last_wait{};
  Clock* waits = nullptr;  ///< Calls without an answer last as long as asked.
  int configuration_calls = 0;
  int whole_configurations = 0;
  int whole_servers = 0;

 private:
  template <class Page>
  Result<Page> Take(std::deque<Result<Page>>& script, std::uint64_t after) {
    if (script.empty()) {
      Page unchanged;
      unchanged.revision = after;
      return unchanged;
    }
    Result<Page> next = script.front();
    script.pop_front();
    return next;
  }
};

ConfigurationSnapshot Version(std::uint64_t version) {
  ConfigurationSnapshot page;
  page.revision = version;
  page.configuration.emplace();
  page.configuration->version = version;
  return page;
}

ServerListUpdate Listed(std::uint64_t revision, std::vector<std::string> ids) {
  ServerListUpdate page;
  page.revision = revision;
  for (auto& id : ids) {
    page.entries.push_back({id, MakeRecord(id, "ledger"), false});
  }
  return page;
}

ServerListUpdate Removed(std::uint64_t revision, std::string id) {
  ServerListUpdate page;
  page.revision = revision;
  page.entries.push_back({std::move(id), std::nullopt, true});
  return page;
}

struct Follower {
  Follower() : watcher(harness.relay, harness.runtime.clock(), store) {}
  ~Follower() { harness.runtime.io().stop(); }

  void Start() {
    asio::co_spawn(harness.runtime.io(), watcher.WatchServers(),
                   asio::detached);
    harness.runtime.Settle();
  }
  std::size_t Usable() {
    harness.relay.servers.Expire(harness.runtime.clock().Now());
    return harness.relay.servers.FindByService("ledger").size();
  }
  /// Lets the follower look at its servers once more.
  void Look() {
    harness.runtime.Advance(StoreWatcher::kServerPollInterval +
                            StoreWatcher::kServerPollJitter);
  }

  RelayHarness harness;
  ScriptedStore store;
  StoreWatcher watcher;
};

}  // namespace

TEST_CASE("A removed server is out of use at the next look", "[relay][store]") {
  Follower world;
  world.store.server_pages = {Listed(5, {"s1", "s2"}), Removed(6, "s1")};
  world.Start();
  CHECK(world.Usable() == 2);
  world.Look();
  CHECK(world.Usable() == 1);
}

TEST_CASE("Entries that vanish with an outage are kept for a while",
          "[relay][store]") {
  Follower world;
  world.store.server_pages = {Listed(5, {"s1", "s2"}), Unavailable(),
                              Removed(7, "s1")};
  world.Start();
  world.Look();
  world.harness.runtime.Advance(StoreWatcher::kInitialBackoff);
  CHECK(world.Usable() == 2);
  world.harness.runtime.Advance(ServerDirectory::kLapseGrace);
  CHECK(world.Usable() == 1);
}

TEST_CASE("After its history is gone the whole list is read again",
          "[relay][store]") {
  Follower world;
  world.store.server_pages = {Listed(5, {"s1", "s2"}), Gone(),
                              Listed(9, {"s2"})};
  world.Start();
  world.Look();
  world.harness.runtime.Advance(StoreWatcher::kInitialBackoff);
  CHECK(world.store.whole_servers == 2);
  CHECK(world.Usable() == 1);
}

TEST_CASE("A list older than the one in use is not taken over",
          "[relay][store]") {
  Follower world;
  world.store.server_pages = {Listed(5, {"s1", "s2"}), Gone(),
                              Listed(4, {"s1"}), Listed(6, {"s2"})};
  world.Start();
  world.Look();
  world.harness.runtime.Advance(StoreWatcher::kInitialBackoff);
  CHECK(world.Usable() == 2);
  world.Look();
  CHECK(world.Usable() == 1);
}

TEST_CASE("An entry that names no server to use takes the server out",
          "[relay][store]") {
  Follower world;
  ServerListUpdate forged;
  forged.revision = 6;
  forged.entries.push_back({"s1", std::nullopt, false});
  world.store.server_pages = {Listed(5, {"s1", "s2"}), forged};
  world.Start();
  world.Look();
  CHECK(world.Usable() == 1);
}

TEST_CASE("A configuration never goes back to an older version",
          "[relay][store]") {
  Follower world;
  world.store.configurations = {Version(3), Version(5), Version(4)};
  asio::co_spawn(
      world.harness.runtime.io(),
      [&]() -> Task<void> {
        // Each step asks once; the follower would ask for ever.
        for (int step = 0; step < 3; ++step) {
          std::ignore = co_await world.watcher.PollConfiguration();
        }
      },
      asio::detached);
  world.harness.runtime.Settle();
  REQUIRE(world.harness.relay.active_configuration);
  CHECK(world.harness.relay.active_configuration->configuration.version == 5);
}

namespace {

LoadReport PeerReport(std::uint64_t revision, std::uint32_t age_ms) {
  LoadReport report;
  report.node = "peer";
  report.server_revision = revision;
  report.server_age_ms = age_ms;
  return report;
}

}  // namespace

TEST_CASE("A peer's news take the place of an own look", "[relay][store]") {
  Follower world;
  world.store.server_pages = {Listed(5, {"s1", "s2"})};
  world.Start();
  LoadReport report = PeerReport(6, 0);
  report.updates = {{5, 6, {{"s1", std::nullopt, true}}}};
  world.watcher.ApplyReport(report);
  CHECK(world.Usable() == 1);
}

TEST_CASE("News that leave a gap are not used", "[relay][store]") {
  Follower world;
  world.store.server_pages = {Listed(5, {"s1", "s2"})};
  world.Start();
  LoadReport report = PeerReport(9, 0);
  report.updates = {{7, 9, {{"s1", std::nullopt, true}}}};
  world.watcher.ApplyReport(report);
  CHECK(world.Usable() == 2);
}

TEST_CASE("A process that hears of recent looks does not look itself",
          "[relay][store]") {
  Follower world;
  world.store.server_pages = {Listed(5, {"s1", "s2"}), Removed(6, "s1")};
  world.Start();
  for (int report = 0; report < 20; ++report) {
    world.watcher.ApplyReport(PeerReport(5, 50));
    world.harness.runtime.Advance(milliseconds(150));
  }
  CHECK(world.Usable() == 2);
  // Without reports, or with old ones, it looks again.
  world.watcher.ApplyReport(PeerReport(5, 5000));
  world.Look();
  CHECK(world.Usable() == 1);
}

TEST_CASE("An own look is announced, a look of a peer is not",
          "[relay][store]") {
  Follower world;
  world.store.server_pages = {Listed(5, {"s1", "s2"})};
  int looks = 0;
  world.watcher.on_servers_polled = [&looks] { ++looks; };
  world.Start();
  CHECK(looks == 1);
  LoadReport report = PeerReport(9, 0);
  report.updates = {{5, 9, {{"s1", std::nullopt, true}}}};
  world.watcher.ApplyReport(report);
  CHECK(looks == 1);
}

TEST_CASE("Processes of a large zone wait longer for configurations",
          "[relay][store]") {
  Follower world;
  world.store.configurations = {Version(4)};
  const auto wait_with = [&world](double processes) {
    world.harness.relay.processes_in_zone = processes;
    asio::co_spawn(world.harness.runtime.io(),
                   world.watcher.PollConfiguration(), asio::detached);
    world.harness.runtime.Settle();
    return world.store.last_wait;
  };
  wait_with(3);
  CHECK(wait_with(3) == StoreWatcher::kLoneConfigurationWait);
  world.watcher.ApplyReport(PeerReport(0, 0));
  CHECK(wait_with(3) == StoreWatcher::kConfigurationWait);
  CHECK(wait_with(10) == std::chrono::seconds(10));
  // From here on one process asks for the zone.
  CHECK(wait_with(StoreWatcher::kSharingProcesses) ==
        StoreWatcher::kSharedConfigurationWait);
}

TEST_CASE("A process tells of the changes that it has read", "[relay][store]") {
  Follower world;
  ServerListUpdate page = Listed(6, {"s2", "s3"});
  world.store.server_pages = {Listed(5, {"s1", "s2"}), page};
  world.Start();
  world.Look();
  LoadReport report;
  world.watcher.FillReport(report);
  CHECK(report.server_revision == 6);
  REQUIRE_FALSE(report.updates.empty());
  const ServerUpdate& update = report.updates.front();
  CHECK(update.from == 5);
  CHECK(update.to == 6);
  // What is as it was is not repeated.
  REQUIRE(update.entries.size() == 1);
  CHECK(update.entries.front().id == "s3");
}

// Peers were told of the listing and not of the removal, and used a server that
// had left for as long as it was gone.
TEST_CASE("A server that one look lists and removes is not told to peers",
          "[relay][store]") {
  Follower world;
  ServerListUpdate page = Listed(7, {"s2"});
  page.entries.push_back({"s2", std::nullopt, true});
  world.store.server_pages = {Listed(5, {"s1"}), page};
  world.Start();
  world.Look();
  LoadReport report;
  world.watcher.FillReport(report);
  REQUIRE_FALSE(report.updates.empty());
  CHECK(report.updates.front().to == 7);
  CHECK(report.updates.front().entries.empty());
  CHECK(world.Usable() == 1);
}

TEST_CASE("A peer with a newer configuration makes this process read it",
          "[relay][store]") {
  Follower world;
  world.store.configurations = {Version(4)};
  LoadReport report = PeerReport(0, 0);
  report.configuration_version = 4;
  world.watcher.ApplyReport(report);
  world.harness.runtime.Settle();
  REQUIRE(world.harness.relay.active_configuration);
  CHECK(world.harness.relay.active_configuration->configuration.version == 4);
  CHECK(world.store.whole_configurations == 1);
  world.watcher.ApplyReport(report);
  world.harness.runtime.Settle();
  CHECK(world.store.whole_configurations == 1);
}

TEST_CASE("A failing store is asked less often while peers are heard of",
          "[relay][store]") {
  const auto calls_in = [](bool peers) {
    Follower world;
    world.store.server_pages = {Listed(5, {"s1"})};
    const Result<ServerListUpdate> failure = Unavailable();
    world.store.server_pages.insert(world.store.server_pages.end(), 200,
                                    failure);
    world.Start();
    for (int step = 0; step < 200; ++step) {
      if (peers) {
        world.watcher.ApplyReport(PeerReport(5, 60000));
      }
      world.harness.runtime.Advance(milliseconds(100), milliseconds(100));
    }
    return 200 - world.store.server_pages.size();
  };
  const auto lone = calls_in(false);
  CHECK(lone >= 20);
  CHECK(calls_in(true) * 2 < lone);
}

TEST_CASE("A peer's newer configuration is asked for at a bounded rate",
          "[relay][store]") {
  Follower world;
  const Result<ConfigurationSnapshot> failure = Unavailable();
  world.store.configurations.assign(100, failure);
  world.harness.runtime.Advance(StoreWatcher::kCatchUpPause);
  LoadReport report = PeerReport(0, 0);
  report.configuration_version = 4;
  for (int step = 0; step < 100; ++step) {
    world.watcher.ApplyReport(report);
    world.harness.runtime.Advance(milliseconds(10), milliseconds(10));
  }
  CHECK(world.store.whole_configurations >= 1);
  CHECK(world.store.whole_configurations <= 3);
}

// Hundreds of processes that start together asked ten times a second each.
TEST_CASE("Before the first configuration the store is asked to wait for it",
          "[relay][store]") {
  Follower world;
  asio::co_spawn(world.harness.runtime.io(), world.watcher.PollConfiguration(),
                 asio::detached);
  world.harness.runtime.Settle();
  CHECK(world.store.whole_configurations == 1);
  world.store.configurations = {Version(4)};
  asio::co_spawn(world.harness.runtime.io(), world.watcher.PollConfiguration(),
                 asio::detached);
  world.harness.runtime.Settle();
  CHECK(world.store.whole_configurations == 1);
  CHECK(world.store.last_wait == StoreWatcher::kLoneConfigurationWait);
  REQUIRE(world.harness.relay.active_configuration);
  CHECK(world.harness.relay.active_configuration->configuration.version == 4);
}

namespace {

/// Calls in `seconds` to a store that fails, by one process of a large zone.
/// Peers report a look of the age `peer_age_ms` all the while.
std::size_t CallsOfLargeZone(Follower& world, int seconds, int peer_age_ms) {
  constexpr std::size_t kMost = 400;
  world.harness.relay.processes_in_zone = 39;
  world.store.server_pages = {Listed(5, {"s1"})};
  const Result<ServerListUpdate> failure = Unavailable();
  world.store.server_pages.insert(world.store.server_pages.end(), kMost,
                                  failure);
  world.Start();
  for (int step = 0; step < 10 * seconds; ++step) {
    world.watcher.ApplyReport(PeerReport(9, peer_age_ms));
    world.harness.runtime.Advance(milliseconds(100), milliseconds(100));
  }
  return kMost - world.store.server_pages.size();
}

}  // namespace

TEST_CASE("The processes of a large zone share the calls to a failing store",
          "[relay][store]") {
  Follower world;
  // 39 processes with at most 10 calls a second together, after the first.
  CHECK(CallsOfLargeZone(world, 60, 60000) <= 1 + 60 * 10 / 39);
}

TEST_CASE("A store that answers a peer is read soon", "[relay][store]") {
  Follower world;
  CallsOfLargeZone(world, 30, 60000);
  world.store.server_pages = {Listed(9, {"s1", "s2"})};
  for (int step = 0; step < 30; ++step) {
    world.watcher.ApplyReport(PeerReport(9, 50));
    world.harness.runtime.Advance(milliseconds(100), milliseconds(100));
  }
  CHECK(world.Usable() == 2);
}

namespace {

/// One process of a zone of 39 that follows the configuration of a store in
/// which version 4 is in force. Calls to a store that has no more to say take
/// `kSharedConfigurationWait`, as the real one's do.
struct SharingZone {
  SharingZone() {
    world.harness.relay.processes_in_zone = 39;
    world.harness.relay.availability_zone = "a";
    world.store.configurations = {Version(4)};
    world.store.waits = &world.harness.runtime.clock();
    LoadReport own;
    own.node = "me";
    world.watcher.FillReport(own);
    this->Hear("peer", 0, false);
    asio::co_spawn(world.harness.runtime.io(),
                   world.watcher.WatchConfiguration(), asio::detached);
    world.harness.runtime.Settle();
    REQUIRE(world.harness.relay.active_configuration);
  }

  void Hear(const std::string& node, std::uint32_t age_ms, bool reads,
            std::uint64_t version = 4) {
    LoadReport report = PeerReport(0, 0);
    report.node = node;
    report.availability_zone = "a";
    report.configuration_version = version;
    report.configuration_age_ms = age_ms;
    report.reads_configuration = reads;
    world.watcher.ApplyReport(report);
  }

  /// Calls for the configuration in `time`, while reports of `node` arrive.
  int CallsWhile(Duration time, const std::string& node, std::uint32_t age_ms,
                 bool reads, std::uint64_t version = 4) {
    const int before = world.store.configuration_calls;
    for (Duration passed{0}; passed < time; passed += milliseconds(150)) {
      this->Hear(node, age_ms, reads, version);
      world.harness.runtime.Advance(milliseconds(150), milliseconds(10));
    }
    return world.store.configuration_calls - before;
  }

  Follower world;
};

}  // namespace

TEST_CASE("In a large zone one process follows the configuration for all",
          "[relay][store][sharing]") {
  SharingZone zone;
  SECTION("this one, if no other does") {
    const int calls =
        zone.CallsWhile(std::chrono::seconds(20), "peer", 60000, false);
    CHECK(calls >= 19);
    CHECK(calls <= 22);
  }
  SECTION("another one, which goes first by its name") {
    zone.CallsWhile(std::chrono::seconds(3), "a-peer", 100, true);
    CHECK(zone.CallsWhile(std::chrono::seconds(20), "a-peer", 100, true) == 0);
  }
  SECTION("this one, if it has begun and goes first by its name") {
    zone.CallsWhile(std::chrono::seconds(3), "peer", 60000, false);
    CHECK(zone.CallsWhile(std::chrono::seconds(20), "z-peer", 100, true) >= 19);
  }
}

TEST_CASE("A process asks itself once nobody has asked for some time",
          "[relay][store][sharing]") {
  SharingZone zone;
  zone.CallsWhile(std::chrono::seconds(3), "a-peer", 100, true);
  // The peer that followed for the zone is frozen; others report its last look.
  CHECK(zone.CallsWhile(
            StoreWatcher::kStaleConfiguration + StoreWatcher::kStaleJitter,
            "b-peer", 60000, false) >= 1);
}

TEST_CASE("Changes in quick succession are read together in a large zone",
          "[relay][store][sharing]") {
  SharingZone zone;
  zone.CallsWhile(std::chrono::seconds(3), "a-peer", 100, true);
  const int before = zone.world.store.configuration_calls;
  for (std::uint64_t version = 5; version < 25; ++version) {
    zone.world.store.configurations = {Version(version)};
    zone.CallsWhile(milliseconds(450), "a-peer", 100, true, version);
  }
  // Twenty versions, each told three times in 450 ms.
  CHECK(zone.world.store.configuration_calls - before <= 10);
  CHECK(zone.world.harness.relay.active_configuration->configuration.version >=
        23);
}

TEST_CASE("In a small zone each process follows the configuration itself",
          "[relay][store][sharing]") {
  SharingZone zone;
  zone.world.harness.relay.processes_in_zone = 3;
  zone.CallsWhile(std::chrono::seconds(3), "a-peer", 100, true);
  CHECK(zone.world.store.last_wait == StoreWatcher::kConfigurationWait);
}

}  // namespace qp::relay::testing
