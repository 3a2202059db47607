#include "relay/server_directory.h"

#include <catch2/catch.hpp>

#include "relay/configurations.h"

namespace qp::relay::testing {

using std::chrono::milliseconds;

namespace {

const TimePoint kNow{std::chrono::hours(1)};

}  // namespace

TEST_CASE("A new incarnation starts with a clean record", "[relay][servers]") {
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

TEST_CASE("A server that moves to another service leaves the first",
          "[relay][servers]") {
  ServerDirectory servers;
  servers.Put(MakeRecord("s1", "ledger"), kNow);
  servers.Put(MakeRecord("s1", "model"), kNow);
  CHECK(servers.FindByService("ledger").empty());
  CHECK(servers.FindByService("model").size() == 1);
}

TEST_CASE("Requests under way see that their server is removed",
          "[relay][servers]") {
  ServerDirectory servers;
  servers.Put(MakeRecord("s1", "ledger"), kNow);
  const ServerPtr held = servers.Find("s1");
  servers.Remove("s1", kNow, kNow);
  CHECK_FALSE(held->IsUsable());
  CHECK(servers.FindByService("ledger").empty());
}

TEST_CASE("An entry that may have lapsed is kept for the grace period",
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

// A store that forgets and lists a server again made the relay forget that the
// server had asked for no more requests.
TEST_CASE("A server whose entry comes back is what it was before",
          "[relay][servers][leaving]") {
  ServerDirectory servers;
  servers.Put(MakeRecord("s1", "ledger"), kNow);
  servers.Find("s1")->leaving = true;
  servers.Find("s1")->RecordPause(kNow, std::chrono::seconds(30));
  SECTION("while it was still kept") {
    servers.Remove("s1", kNow, kNow + ServerDirectory::kLapseGrace);
    servers.Put(MakeRecord("s1", "ledger"), kNow + milliseconds(100));
  }
  SECTION("after it was dropped") {
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
  SECTION("of a server that was dropped") { servers.Remove("s1", kNow, kNow); }
  ++record.incarnation;
  servers.Put(record, kNow);
  CHECK(servers.Find("s1")->IsUsable());
}

TEST_CASE("Dropped servers are forgotten in the end", "[relay][servers]") {
  ServerDirectory servers;
  servers.Put(MakeRecord("s1", "ledger"), kNow);
  const std::weak_ptr<Server> held = servers.Find("s1");
  servers.Remove("s1", kNow, kNow);
  servers.Expire(kNow + ServerDirectory::kRetention);
  CHECK_FALSE(held.expired());
  servers.Expire(kNow + ServerDirectory::kRetention + milliseconds(1));
  CHECK(held.expired());
}

}  // namespace qp::relay::testing
