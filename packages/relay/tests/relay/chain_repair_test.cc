#include "relay/chain_repair.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>

#include "relay/configurations.h"

namespace qp::relay::testing {

namespace {

const TimePoint kNow{std::chrono::hours(1)};

std::optional<Chain> Repair(const std::vector<ServerPtr>& engines,
                            const Chain& chain, const ServerPtr& lost,
                            const EngineProfile& profile = MakeRoomyProfile()) {
  std::mt19937_64 random(7);
  return RepairChain(profile, engines, MakeQuery(), chain, *lost, kNow, random);
}

bool Has(const Chain& chain, const ServerPtr& server) {
  return std::any_of(
      chain.stages.begin(), chain.stages.end(),
      [&server](const ChainStage& stage) { return stage.server == server; });
}

/// A chain over three engines, which share the layers of the model.
struct ThreeStages {
  ServerPtr first = MakeEngine("first", "large", {0, 20});
  ServerPtr middle = MakeEngine("middle", "large", {20, 40});
  ServerPtr last = MakeEngine("last", "large", {40, 80});
  Chain chain{{{first, {0, 20}}, {middle, {20, 40}}, {last, {40, 80}}}, 1.0};
  std::vector<ServerPtr> engines{first, middle, last};
};

}  // namespace

// Guards against slow moves: a move replaced all engines behind the first one,
// and the new engines had to read all tokens for all of their layers.
TEST_CASE("Only the layers of the lost engine are given to other engines",
          "[relay][chains]") {
  ThreeStages fixture;
  const auto spare = MakeEngine("spare", "small", {10, 60});
  const auto better = MakeEngine("better", "large", {0, 80});
  better->in_flight = 2;
  fixture.engines.insert(fixture.engines.end(), {spare, better});
  SECTION("in the middle") {
    const auto repaired =
        Repair(fixture.engines, fixture.chain, fixture.middle);
    REQUIRE(repaired);
    REQUIRE(repaired->stages.size() == 3);
    CHECK(repaired->stages[0].server == fixture.first);
    CHECK(repaired->stages[1].server == better);
    CHECK(repaired->stages[1].layers == LayerRange{20, 40});
    CHECK(repaired->stages[2].server == fixture.last);
    CHECK(repaired->stages[2].layers == LayerRange{40, 80});
  }
  SECTION("at the end") {
    const auto repaired = Repair(fixture.engines, fixture.chain, fixture.last);
    REQUIRE(repaired);
    REQUIRE(repaired->stages.size() == 3);
    CHECK(repaired->stages[1].server == fixture.middle);
    CHECK(repaired->stages[2].server == better);
    CHECK(repaired->stages[2].layers == LayerRange{40, 80});
  }
  SECTION("but not if it is the first engine, which holds the stream") {
    CHECK_FALSE(Repair(fixture.engines, fixture.chain, fixture.first));
  }
  SECTION("and not if it is not part of the chain") {
    CHECK_FALSE(Repair(fixture.engines, fixture.chain, spare));
  }
}

TEST_CASE("Engines that keep their layers need no more memory",
          "[relay][chains]") {
  ThreeStages fixture;
  const auto spare = MakeEngine("spare", "large", {20, 40});
  fixture.engines.push_back(spare);
  fixture.first->kv_token_layers = 1e9;
  fixture.last->kv_token_layers = 1e9;
  CHECK(Repair(fixture.engines, fixture.chain, fixture.middle, MakeProfile()));
  SECTION("but the new engine does") {
    spare->kv_token_layers = 1e9;
    CHECK_FALSE(
        Repair(fixture.engines, fixture.chain, fixture.middle, MakeProfile()));
  }
}

TEST_CASE("Several engines can share the layers of the lost engine",
          "[relay][chains]") {
  ThreeStages fixture;
  fixture.engines.push_back(MakeEngine("one", "small", {20, 30}, "b"));
  fixture.engines.push_back(MakeEngine("two", "small", {25, 40}, "b"));
  const auto repaired = Repair(fixture.engines, fixture.chain, fixture.middle);
  REQUIRE(repaired);
  REQUIRE(repaired->stages.size() == 4);
  CHECK(repaired->stages[1].server->record.id == "one");
  CHECK(repaired->stages[2].server->record.id == "two");
}

TEST_CASE("A repaired chain covers all layers and keeps all other stages",
          "[relay][chains]") {
  CHECK(rc::check("for any engines", [] {
    std::vector<ServerPtr> engines;
    const int count = *rc::gen::inRange(2, 24);
    for (int index = 0; index < count; ++index) {
      const auto begin = *rc::gen::inRange(0u, 8u) * 10;
      const auto end = *rc::gen::inRange(begin / 10 + 1, 9u) * 10;
      const char* kind = *rc::gen::element("large", "middle", "small");
      const char* zone = *rc::gen::element("a", "b");
      engines.push_back(
          MakeEngine("e" + std::to_string(index), kind, {begin, end}, zone));
      engines.back()->in_flight = *rc::gen::inRange(0u, 60u);
    }
    std::mt19937_64 random(7);
    const auto chain =
        ChooseChain(MakeRoomyProfile(), engines, MakeQuery(), kNow, random);
    if (!chain) {
      return;
    }
    const auto position =
        *rc::gen::inRange<std::size_t>(0, chain->stages.size());
    const ServerPtr lost = chain->stages[position].server;
    const auto repaired = Repair(engines, *chain, lost);
    if (!repaired) {
      return;
    }
    RC_ASSERT(!Has(*repaired, lost));
    std::uint32_t next = 0;
    std::set<std::string> seen;
    for (const auto& stage : repaired->stages) {
      const LayerRange held = stage.server->record.layers;
      RC_ASSERT(stage.layers.first == next);
      RC_ASSERT(!stage.layers.empty());
      RC_ASSERT(held.first <= stage.layers.first);
      RC_ASSERT(stage.layers.end <= held.end);
      RC_ASSERT(seen.insert(stage.server->record.id).second);
      next = stage.layers.end;
    }
    RC_ASSERT(next == MakeProfile().layers);
    for (const auto& stage : chain->stages) {
      const bool kept = std::any_of(
          repaired->stages.begin(), repaired->stages.end(),
          [&stage](const ChainStage& other) {
            return other.server == stage.server && other.layers == stage.layers;
          });
      RC_ASSERT(kept == (stage.server != lost));
    }
  }));
}

}  // namespace qp::relay::testing
