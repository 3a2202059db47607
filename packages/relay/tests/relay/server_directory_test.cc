#include "relay/server_directory.h"

#include <catch2/catch.hpp>

#include "relay/configurations.h"

namespace qp::relay::testing {

using std::chrono::milliseconds;

namespace {

const TimePoint kNow{std::chrono::hours(1)};

}  // namespace

TEST_CASE("A new incarnation starts with a clean state", "[relay][servers]") {
  ServerDirectory servers;
  servers.Put(MakeRecord("s1", "ledger"), kNow);
  servers.Find("s1")->RecordFailure(kNow);
  auto record = MakeRecord("s1", "ledger");
  servers.Put(record, kNow);
  CHECK(servers.Find("s1")->IsSuspect(kNow));
  record.incarnation = 2;
  servers.Put(record, kNow);
  CHECK_FALSE(servers.Find("s1")->IsSuspect(kNow));
  CHECK(servers.FindByService("ledger").size() == 1);
}

TEST_CASE("A server that moves to another service is removed from the first",
          "[relay][servers]") {
  ServerDirectory servers;
  servers.Put(MakeRecord("s1", "ledger"), kNow);
  servers.Put(MakeRecord("s1", "model"), kNow);
  CHECK(servers.FindByService("ledger").empty());
  CHECK(servers.FindByService("model").size() == 1);
}

TEST_CASE("Requests under way see that their server has been removed",
          "[relay][servers]") {
  ServerDirectory servers;
  servers.Put(MakeRecord("s1", "ledger"), kNow);
  const ServerPtr removed_server = servers.Find("s1");
  servers.Remove("s1", kNow, kNow);
  CHECK_FALSE(removed_server->IsUsable());
  CHECK(servers.FindByService("ledger").empty());
}

TEST_CASE("An entry that can have lapsed is kept for the grace period",
          "[relay][servers]") {
  ServerDirectory servers;
  servers.Put(MakeRecord("s1", "ledger"), kNow);
  servers.Remove("s1", kNow, kNow + ServerDirectory::kLapseGrace);
  servers.Expire(kNow + milliseconds(1999));
  CHECK(servers.FindByService("ledger").size() == 1);
  SECTION("and is gone if it does not return") {
    servers.Expire(kNow + ServerDirectory::kLapseGrace);
    CHECK(servers.FindByService("ledger").empty());
  }
  SECTION("and stays if it returns") {
    servers.Put(MakeRecord("s1", "ledger"), kNow + milliseconds(1000));
    servers.Expire(kNow + std::chrono::seconds(10));
    CHECK(servers.FindByService("ledger").size() == 1);
  }
}

// Guards against requests to a leaving or paused server: when the store dropped
// an entry and listed it again, the relay lost the server's announcement.
TEST_CASE("A server whose entry comes back keeps its state",
          "[relay][servers][leaving]") {
  ServerDirectory servers;
  servers.Put(MakeRecord("s1", "ledger"), kNow);
  servers.Find("s1")->leaving = true;
  servers.Find("s1")->RecordPause(kNow, std::chrono::seconds(30));
  SECTION("during the grace period") {
    servers.Remove("s1", kNow, kNow + ServerDirectory::kLapseGrace);
    servers.Put(MakeRecord("s1", "ledger"), kNow + milliseconds(100));
  }
  SECTION("after it was removed") {
    servers.Remove("s1", kNow, kNow);
    servers.Expire(kNow + milliseconds(100));
    servers.Put(MakeRecord("s1", "ledger"), kNow + milliseconds(200));
  }
  const ServerPtr known = servers.Find("s1");
  REQUIRE(known != nullptr);
  CHECK(known->leaving);
  CHECK(known->IsPaused(kNow + std::chrono::seconds(29)));
  CHECK_FALSE(known->removed_at);
}

TEST_CASE("A new incarnation of a server that left gets requests",
          "[relay][servers][leaving]") {
  ServerDirectory servers;
  servers.Put(MakeRecord("s1", "ledger"), kNow);
  servers.Find("s1")->leaving = true;
  auto record = MakeRecord("s1", "ledger");
  SECTION("of a server that is listed") {}
  SECTION("of a server that was removed") { servers.Remove("s1", kNow, kNow); }
  ++record.incarnation;
  servers.Put(record, kNow);
  CHECK(servers.Find("s1")->IsUsable());
}

TEST_CASE("The state of a removed server is dropped after the retention time",
          "[relay][servers]") {
  ServerDirectory servers;
  servers.Put(MakeRecord("s1", "ledger"), kNow);
  const std::weak_ptr<Server> removed_server = servers.Find("s1");
  servers.Remove("s1", kNow, kNow);
  servers.Expire(kNow + ServerDirectory::kRetention);
  CHECK_FALSE(removed_server.expired());
  servers.Expire(kNow + ServerDirectory::kRetention + milliseconds(1));
  CHECK(removed_server.expired());
}

}  // namespace qp::relay::testing
