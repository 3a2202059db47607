#include "relay/server_choice.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>

#include "relay/configurations.h"

namespace qp::relay::testing {

namespace {

const TimePoint kNow{std::chrono::hours(1)};

std::optional<Chain> Choose(const std::vector<ServerPtr>& engines,
                            const ChoiceQuery& query = MakeQuery()) {
  std::mt19937_64 random(7);
  return ChooseChain(MakeRoomyProfile(), engines, query, kNow, random);
}

std::vector<std::string> ServerIds(const Chain& chain) {
  std::vector<std::string> names;
  for (const auto& stage : chain.stages) {
    names.push_back(stage.server->record.id);
  }
  return names;
}

ServerPtr MakePlainServer(std::string id, std::string zone = "a") {
  auto server = std::make_shared<Server>();
  server->record = MakeRecord(std::move(id), "ledger", std::move(zone));
  return server;
}

}  // namespace

TEST_CASE("A chain runs each layer once and in order", "[relay][chains]") {
  CHECK(rc::check("for any engines", [] {
    std::vector<ServerPtr> engines;
    const int count = *rc::gen::inRange(0, 14);
    for (int index = 0; index < count; ++index) {
      LayerRange range;
      range.first = *rc::gen::inRange(0u, 80u);
      range.end = *rc::gen::inRange(range.first + 1, 81u);
      auto engine =
          MakeEngine("e" + std::to_string(index),
                     *rc::gen::element<std::string>("large", "middle", "small"),
                     range, *rc::gen::element<std::string>("a", "b"));
      engine->record.draining = *rc::gen::inRange(0, 5) == 0;
      if (*rc::gen::inRange(0, 4) == 0) {
        engine->suspect_until = kNow + std::chrono::seconds(1);
      }
      engine->in_flight = *rc::gen::inRange(0u, 60u);
      engines.push_back(std::move(engine));
    }
    const auto chain = Choose(engines);
    if (!chain) {
      return;
    }
    std::uint32_t next = 0;
    std::set<std::string> seen;
    for (const auto& stage : chain->stages) {
      RC_ASSERT(stage.layers.first == next);
      RC_ASSERT(!stage.layers.empty());
      next = stage.layers.end;
      const LayerRange held = stage.server->record.layers;
      RC_ASSERT(held.first <= stage.layers.first);
      RC_ASSERT(stage.layers.end <= held.end);
      RC_ASSERT(seen.insert(stage.server->record.id).second);
      RC_ASSERT(stage.server->IsUsable());
    }
    RC_ASSERT(next == MakeProfile().layers);
  }));
}

TEST_CASE("A chain stays inside one zone if that zone covers the model",
          "[relay][chains]") {
  const auto chain = Choose({MakeEngine("a0", "small", {0, 40}),
                             MakeEngine("a1", "small", {40, 80}),
                             MakeEngine("b0", "large", {0, 40}, "b")});
  REQUIRE(chain);
  CHECK(ServerIds(*chain) == std::vector<std::string>{"a0", "a1"});
}

TEST_CASE("A chain crosses zones if no zone covers the model",
          "[relay][chains]") {
  const auto chain = Choose({MakeEngine("a0", "middle", {0, 40}),
                             MakeEngine("b1", "middle", {40, 80}, "b")});
  REQUIRE(chain);
  CHECK(ServerIds(*chain) == std::vector<std::string>{"a0", "b1"});
}

TEST_CASE("A chain inside another zone is preferred to a chain across zones",
          "[relay][chains]") {
  // A chain across both zones is faster, but each prompt would cross the link
  // between the zones.
  const auto chain = Choose({MakeEngine("a0", "large", {0, 40}),
                             MakeEngine("b0", "small", {0, 40}, "b"),
                             MakeEngine("b1", "small", {40, 80}, "b")});
  REQUIRE(chain);
  CHECK(ServerIds(*chain) == std::vector<std::string>{"b0", "b1"});
}

TEST_CASE("A required first stage keeps its layers", "[relay][chains]") {
  const auto first = MakeEngine("first", "small", {0, 50});
  const auto spare = MakeEngine("spare", "large", {0, 80});
  const auto rest = MakeEngine("rest", "middle", {30, 80});
  const ChainStage fixed{first, {0, 40}};
  ChoiceQuery query = MakeQuery();
  query.first_stage = &fixed;
  const auto chain = Choose({first, rest, spare}, query);
  REQUIRE(chain);
  REQUIRE(chain->stages.size() == 2);
  CHECK(chain->stages[0].server == first);
  CHECK(chain->stages[0].layers == LayerRange{0, 40});
  CHECK(chain->stages[1].layers == LayerRange{40, 80});
  SECTION("also while it is suspect") {
    first->suspect_until = kNow + std::chrono::seconds(1);
    REQUIRE(Choose({first, rest}, query));
    CHECK(ServerIds(*Choose({first, rest}, query)) ==
          std::vector<std::string>{"first", "rest"});
  }
  SECTION("and there is no chain if it is not available") {
    CHECK_FALSE(Choose({rest, spare}, query));
  }
}

TEST_CASE("Suspect and excluded engines are skipped", "[relay][chains]") {
  auto suspect = MakeEngine("fast", "large", {0, 80});
  const auto slow = MakeEngine("slow", "small", {0, 80});
  suspect->suspect_until = kNow + std::chrono::seconds(1);
  CHECK(ServerIds(*Choose({suspect, slow})) ==
        std::vector<std::string>{"slow"});
  // A suspicion can be wrong, so a chain over a suspect engine is better than
  // no chain.
  CHECK(ServerIds(*Choose({suspect})) == std::vector<std::string>{"fast"});
  ChoiceQuery query = MakeQuery();
  const std::vector<std::string> excluded = {"slow"};
  query.excluded = excluded;
  CHECK_FALSE(Choose({slow}, query));
}

TEST_CASE("An engine without memory for the request is skipped",
          "[relay][chains]") {
  auto full = MakeEngine("full", "large", {0, 32});
  const auto rest = MakeEngine("rest", "large", {32, 64});
  const auto last = MakeEngine("last", "large", {48, 80});
  std::mt19937_64 random(7);
  const std::vector<ServerPtr> engines = {full, rest, last};
  CHECK(ChooseChain(MakeProfile(), engines, MakeQuery(), kNow, random));
  // 32 layers leave 16 GB for requests, about 43,000 tokens.
  SECTION("for its own requests") { full->kv_token_layers = 43000.0 * 32; }
  SECTION("for those of other processes") {
    full->peer_kv_token_layers = 43000.0 * 32;
  }
  CHECK_FALSE(ChooseChain(MakeProfile(), engines, MakeQuery(), kNow, random));
}

TEST_CASE("Load that peers report moves requests to idle engines",
          "[relay][chains]") {
  const auto busy = MakeEngine("busy", "middle", {0, 80});
  const auto idle = MakeEngine("idle", "middle", {0, 80});
  busy->peer_streams = 60;
  std::mt19937_64 random(7);
  const std::vector<ServerPtr> engines = {busy, idle};
  for (int round = 0; round < 20; ++round) {
    const auto chain =
        ChooseChain(MakeRoomyProfile(), engines, MakeQuery(), kNow, random);
    REQUIRE(chain);
    CHECK(chain->stages.front().server == idle);
  }
}

TEST_CASE("A plain server is chosen by load and past failures",
          "[relay][servers]") {
  std::mt19937_64 random(7);
  const auto first = MakePlainServer("first");
  const auto second = MakePlainServer("second");
  const std::vector<ServerPtr> servers = {first, second};
  SECTION("own requests in flight") { first->in_flight = 4; }
  SECTION("failures") { first->failure_rate = 0.5; }
  SECTION("suspicion") {
    first->suspect_until = kNow + std::chrono::seconds(1);
  }
  SECTION("draining") { first->record.draining = true; }
  SECTION("another zone") { first->record.availability_zone = "b"; }
  CHECK(ChooseServer(servers, MakeQuery(), kNow, random) == second);
}

TEST_CASE("No plain server is chosen if none is usable", "[relay][servers]") {
  std::mt19937_64 random(7);
  const auto gone = MakePlainServer("gone");
  gone->removed_at = kNow;
  const std::vector<ServerPtr> servers = {gone};
  CHECK(ChooseServer(servers, MakeQuery(), kNow, random) == nullptr);
}

TEST_CASE("A paused server gets no requests even if there is no other server",
          "[relay][servers][pause]") {
  std::mt19937_64 random(7);
  const std::vector<ServerPtr> servers = {MakePlainServer("s1"),
                                          MakePlainServer("s2")};
  servers[0]->RecordPause(kNow, std::chrono::seconds(2));
  CHECK(ChooseServer(servers, MakeQuery(), kNow, random) == servers[1]);
  CHECK_FALSE(EarliestPauseEnd(servers, kNow));
  servers[1]->RecordPause(kNow, std::chrono::seconds(1));
  CHECK(ChooseServer(servers, MakeQuery(), kNow, random) == nullptr);
  CHECK(EarliestPauseEnd(servers, kNow) == kNow + std::chrono::seconds(1));
  const TimePoint later = kNow + std::chrono::seconds(1);
  CHECK(ChooseServer(servers, MakeQuery(), later, random) == servers[1]);
  CHECK_FALSE(EarliestPauseEnd(servers, later));
}

TEST_CASE("Leaving servers are ignored in the earliest end of a pause",
          "[relay][servers][pause]") {
  const std::vector<ServerPtr> servers = {MakePlainServer("s1"),
                                          MakePlainServer("s2")};
  servers[0]->RecordPause(kNow, std::chrono::seconds(2));
  servers[1]->leaving = true;
  CHECK(EarliestPauseEnd(servers, kNow) == kNow + std::chrono::seconds(2));
  servers[0]->leaving = true;
  CHECK_FALSE(EarliestPauseEnd(servers, kNow));
}

TEST_CASE("No chain runs through a paused or leaving engine",
          "[relay][chains][pause]") {
  const std::vector<ServerPtr> engines = {MakeEngine("e1", "large", {0, 40}),
                                          MakeEngine("e2", "large", {40, 80}),
                                          MakeEngine("e3", "large", {40, 80})};
  SECTION("paused") {
    engines[1]->RecordPause(kNow, std::chrono::seconds(1));
    CHECK(ServerIds(*Choose(engines)) == std::vector<std::string>{"e1", "e3"});
    engines[2]->RecordPause(kNow, std::chrono::seconds(1));
    CHECK_FALSE(Choose(engines));
  }
  SECTION("leaving") {
    engines[1]->leaving = true;
    CHECK(ServerIds(*Choose(engines)) == std::vector<std::string>{"e1", "e3"});
    engines[2]->leaving = true;
    CHECK_FALSE(Choose(engines));
  }
  SECTION("but a running stream can be moved at its first engine") {
    engines[0]->RecordPause(kNow, std::chrono::seconds(1));
    const ChainStage first{engines[0], {0, 40}};
    ChoiceQuery query = MakeQuery();
    query.first_stage = &first;
    CHECK(Choose(engines, query));
  }
}

}  // namespace qp::relay::testing
