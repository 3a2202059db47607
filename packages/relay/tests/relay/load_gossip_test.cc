#include "relay/load_gossip.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <limits>

#include "relay/configurations.h"
#include "relay/relay_harness.h"

namespace qp::relay::testing {

namespace {

const TimePoint kNow{std::chrono::hours(1)};

LoadReport MakeReport(std::string node, std::uint64_t number,
                      std::uint32_t streams) {
  LoadReport report;
  report.node = std::move(node);
  report.availability_zone = "a";
  report.incarnation = 5;
  report.number = number;
  report.loads = {{"s1", streams, streams * 100.0}};
  return report;
}

}  // namespace

TEST_CASE("Decoding an encoded load report returns the same report",
          "[relay][load]") {
  CHECK(rc::check("for any loads", [] {
    LoadReport report =
        MakeReport("n", *rc::gen::arbitrary<std::uint64_t>(), 3);
    const int count = *rc::gen::inRange(0, 50);
    for (int index = 0; index < count; ++index) {
      report.loads.push_back({*rc::gen::arbitrary<std::string>(),
                              *rc::gen::arbitrary<std::uint32_t>(), 0.5});
    }
    report.refusals.push_back({*rc::gen::arbitrary<std::string>(),
                               *rc::gen::arbitrary<std::uint32_t>()});
    PartReport part;
    part.part = *rc::gen::arbitrary<std::string>();
    part.trial_ms = *rc::gen::arbitrary<std::uint32_t>();
    part.crashes.push_back({*rc::gen::arbitrary<std::uint64_t>(),
                            *rc::gen::arbitrary<std::uint32_t>(), 7});
    report.parts.push_back(part);
    part.started_ms_ago = *rc::gen::arbitrary<std::uint32_t>();
    report.parts.push_back(part);
    report.limits.push_back({"s1", 6.9, *rc::gen::arbitrary<std::uint32_t>()});
    report.limits.push_back({"s2", std::nullopt, 5});
    const auto decoded = DecodeLoadReport(EncodeLoadReport(report));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(decoded.value().limits == report.limits);
    RC_ASSERT(decoded.value().parts == report.parts);
    RC_ASSERT(decoded.value().number == report.number);
    RC_ASSERT(decoded.value().loads == report.loads);
    RC_ASSERT(decoded.value().refusals == report.refusals);
  }));
}

TEST_CASE("A report with a limit that is no number is rejected",
          "[relay][load]") {
  LoadReport report = MakeReport("n", 1, 3);
  report.limits.push_back({"s1", -1.0, 0});
  CHECK_FALSE(DecodeLoadReport(EncodeLoadReport(report)));
  report.limits = {{"s1", std::numeric_limits<double>::quiet_NaN(), 0}};
  CHECK_FALSE(DecodeLoadReport(EncodeLoadReport(report)));
}

TEST_CASE("Bytes that are not a load report are rejected", "[relay][load]") {
  CHECK(rc::check("for any bytes", [] {
    const auto bytes = *rc::gen::arbitrary<std::string>();
    const auto decoded = DecodeLoadReport(bytes);
    RC_ASSERT(!decoded.has_value());
    RC_ASSERT(decoded.error().code == qp::ErrorCode::kProtocol);
  }));
  const auto whole = EncodeLoadReport(MakeReport("n", 1, 2));
  CHECK_FALSE(DecodeLoadReport(whole.substr(0, whole.size() - 1)));
}

TEST_CASE("Loads of peers add up and outdated reports are ignored",
          "[relay][load]") {
  ServerDirectory servers;
  servers.Put(MakeRecord("s1", "ledger"), kNow);
  PeerLoads loads("a");
  loads.Put(MakeReport("n1", 2, 3), kNow);
  loads.Put(MakeReport("n2", 1, 4), kNow + std::chrono::seconds(1));
  loads.Put(MakeReport("n1", 1, 50), kNow);  // Arrives out of order.
  loads.Apply(servers);
  CHECK(servers.Find("s1")->peer_streams == 7);
  CHECK(servers.Find("s1")->peer_kv_token_layers == 700);
  loads.Expire(kNow + std::chrono::seconds(2));
  loads.Apply(servers);
  CHECK(servers.Find("s1")->peer_streams == 4);
}

TEST_CASE("A report of a zone replaces those of its processes",
          "[relay][load]") {
  ServerDirectory servers;
  servers.Put(MakeRecord("s1", "ledger"), kNow);
  const ServerPtr server = servers.Find("s1");
  PeerLoads loads("a");
  LoadReport holder = MakeReport("n9", 1, 5);
  holder.availability_zone = "b";
  loads.Put(MakeReport("n1", 1, 3), kNow);
  loads.Put(holder, kNow);
  loads.Apply(servers);
  REQUIRE(server->peer_streams == 8);
  LoadReport zone = MakeReport("n8", 1, 20);
  zone.availability_zone = "b";
  zone.covers_zone = true;
  loads.Put(zone, kNow);
  loads.Apply(servers);
  CHECK(server->peer_streams == 23);
  CHECK(loads.HasZone("b"));
  SECTION("until the report of the zone expires") {
    loads.Expire(kNow + std::chrono::seconds(2));
    loads.Apply(servers);
    CHECK_FALSE(loads.HasZone("b"));
    CHECK(server->peer_streams == 0);
  }
  SECTION("until another process of the zone reports for it") {
    zone = MakeReport("n7", 1, 10);
    zone.availability_zone = "b";
    zone.covers_zone = true;
    loads.Put(zone, kNow);
    loads.Apply(servers);
    CHECK(server->peer_streams == 13);
  }
}

TEST_CASE(
    "A report of a zone sums the loads of this process and its zone peers",
    "[relay][load]") {
  PeerLoads loads("a");
  LoadReport other = MakeReport("n9", 1, 50);
  other.availability_zone = "b";
  loads.Put(other, kNow);
  loads.Put(MakeReport("n1", 1, 3), kNow);
  loads.Put(MakeReport("n2", 1, 4), kNow);
  LoadReport report = MakeReport("n3", 1, 1);
  report.loads.push_back({"s2", 6, 10});
  loads.AddZoneLoads(report);
  CHECK(report.covers_zone);
  const std::vector<ServerLoad> expected = {{"s1", 8, 800}, {"s2", 6, 10}};
  CHECK(report.loads == expected);
  const auto decoded = DecodeLoadReport(EncodeLoadReport(report));
  REQUIRE(decoded);
  CHECK(decoded.value().covers_zone);
}

TEST_CASE("A server that refuses a peer gets no requests for a limited time",
          "[relay][load]") {
  ServerDirectory servers;
  servers.Put(MakeRecord("s1", "ledger"), kNow);
  const ServerPtr server = servers.Find("s1");
  LoadReport report = MakeReport("n1", 1, 3);
  report.refusals = {{"s1", 200}, {"unknown", 200}};
  ApplyRefusals(report, servers, kNow);
  CHECK(server->IsSuspect(kNow + milliseconds(199)));
  CHECK_FALSE(server->IsSuspect(kNow + milliseconds(200)));
  // The time that a peer reports is limited to kMaxRefusalBackoff.
  report.refusals = {{"s1", 4'000'000'000}};
  ApplyRefusals(report, servers, kNow);
  CHECK_FALSE(server->IsSuspect(kNow + kMaxRefusalBackoff));
}

TEST_CASE("The first report after a restart replaces the one before it",
          "[relay][load]") {
  ServerDirectory servers;
  servers.Put(MakeRecord("s1", "ledger"), kNow);
  PeerLoads loads("a");
  loads.Put(MakeReport("n1", 90, 3), kNow);
  LoadReport restarted = MakeReport("n1", 1, 8);
  restarted.incarnation = 6;
  loads.Put(restarted, kNow);
  loads.Apply(servers);
  CHECK(servers.Find("s1")->peer_streams == 8);
}

namespace {

/// Counts the reports of peers, and reports the limits of its process.
class LimitReporter : public ReportListener {
 public:
  explicit LimitReporter(RelayContext& context) : relay(context) {}
  void OnReport(const LoadReport& report) override {
    ++this->received;
    this->relay.limits.Merge(report.limits, this->relay.Now());
  }
  void FillReport(LoadReport& report) override {
    report.limits = this->relay.limits.MakeReports(this->relay.Now());
  }

  RelayContext& relay;
  int received = 0;
};

/// A process with a gossip socket on a free port of the loopback interface.
struct GossipProcess {
  GossipProcess(std::string name, std::uint16_t port)
      : listener(harness.relay),
        gossip(harness.relay, harness.runtime.clock(), std::move(name),
               listener),
        address("127.0.0.1:" + std::to_string(port)) {
    REQUIRE(this->gossip.Listen(this->address).has_value());
  }

  RelayHarness harness;
  LimitReporter listener;
  LoadGossip gossip;
  std::string address;
};

std::uint16_t FreePort() {
  asio::io_context io;
  asio::ip::udp::socket socket(io, {asio::ip::address_v4::loopback(), 0});
  return socket.local_endpoint().port();
}

}  // namespace

// Guards against a process that starts and exceeds a server's limit, because
// its peers report to it only after they have counted the processes again.
TEST_CASE("A process that starts learns a server's limit from its peers",
          "[relay][load][limit]") {
  GossipProcess old_process("old", FreePort());
  GossipProcess starting("new", FreePort());
  old_process.gossip.SetPeers({});
  old_process.harness.AddServer("s1");
  starting.harness.AddServer("s1");
  const auto& old_relay = old_process.harness.relay;
  old_process.harness.relay.limits.RecordLimit(*old_relay.servers.Find("s1"), 2,
                                               old_relay.Now());
  CHECK_FALSE(starting.gossip.has_joined());
  starting.gossip.SetPeers({{old_process.address, "a"}});
  CHECK_FALSE(starting.gossip.has_joined());
  starting.gossip.SendUpdate();
  REQUIRE(old_process.harness.Until(
      [&] { return old_process.listener.received > 0; }));
  old_process.gossip.SendUpdate();
  REQUIRE(
      starting.harness.Until([&] { return starting.listener.received > 0; }));
  CHECK(starting.gossip.has_joined());
  const auto& server = *starting.harness.relay.servers.Find("s1");
  CHECK(server.request_limit.RateAt(starting.harness.relay.Now()) == 2);
}

TEST_CASE("A process whose peers are silent does not wait for them for long",
          "[relay][load]") {
  GossipProcess starting("new", FreePort());
  SECTION("without peers it does not wait") {
    starting.gossip.SetPeers({});
    CHECK(starting.gossip.has_joined());
  }
  SECTION("with silent peers it waits for a while") {
    starting.gossip.SetPeers({{"127.0.0.1:1", "a"}});
    CHECK_FALSE(starting.gossip.has_joined());
    starting.harness.runtime.Advance(LoadGossip::kMaxFirstReportWait);
    CHECK(starting.gossip.has_joined());
  }
}

}  // namespace qp::relay::testing
