#include "policy/prefix_index.h"

#include <catch2/catch.hpp>

#include "policy/chain_router.h"

namespace {

using namespace std::chrono_literals;
using qp::Backend;
using qp::TimePoint;
using qp::policy::ChainQuery;
using qp::policy::ChainRouter;
using qp::policy::PrefixIndex;

qp::BackendsView Engines(int count) {
  qp::BackendsView view;
  for (int i = 0; i < count; ++i) {
    Backend engine;
    engine.name = "engine-" + std::to_string(i);
    engine.model = "m";
    engine.last_layer = 3;
    engine.slots = 10;
    engine.running = 4;
    view.backends.push_back(engine);
  }
  return view;
}

}  // namespace

// Guards against memory that grows with the number of distinct prompts.
TEST_CASE("The index drops the oldest prefixes of an engine", "[prefix]") {
  PrefixIndex index;
  const auto count = PrefixIndex::kMaxPrefixesPerEngine + 10;
  for (std::uint64_t prefix = 1; prefix <= count; ++prefix) {
    index.OnStored("e", prefix, TimePoint{});
  }
  CHECK(index.PrefixCount("e") == PrefixIndex::kMaxPrefixesPerEngine);
  CHECK(index.HitProbability("e", 1, TimePoint{}) == 0);
  CHECK(index.HitProbability("e", count, TimePoint{}) == 1);
}

// Guards against a high hit probability for an engine whose cache events are
// late or lost.
TEST_CASE("Age, lost events and misses lower the hit probability", "[prefix]") {
  PrefixIndex index;
  index.OnStored("e", 1, TimePoint{});
  index.OnStored("e", 2, TimePoint{});
  CHECK(index.HitProbability("e", 1, TimePoint{} + PrefixIndex::kHalfLife) ==
        Approx(0.5));
  index.OnEventGap("e");
  CHECK(index.HitProbability("e", 1, TimePoint{}) == Approx(0.5));
  index.OnOutcome("e", 1, false);
  CHECK(index.HitProbability("e", 1, TimePoint{}) == 0);
  CHECK(index.HitProbability("e", 2, TimePoint{}) < 0.5);
  index.OnEvicted("e", 2);
  CHECK(index.HitProbability("e", 2, TimePoint{}) == 0);
}

// Guards against requests that are sent to engines without their prefix, so
// that cached prefixes are never reused.
TEST_CASE("Requests with a cached prefix go to the engine that holds it",
          "[prefix]") {
  auto view = Engines(20);
  qp::ModelSpec model{"m", 4, 0, 16384};
  PrefixIndex index;
  index.OnStored("engine-7", 42, TimePoint{});
  ChainQuery query;
  query.model = &model;
  query.prefix_hash = 42;
  query.prefixes = &index;
  query.prompt_tokens = 1000;
  query.expected_tokens = 100;
  ChainRouter router(5);
  router.SetMeanStreamDuration(10s);
  // Requests with many other prefixes make this prefix rare. Requests with a
  // prefix that all prompts share must not all go to one engine.
  const auto choose = [&](std::uint64_t prefix) {
    query.prefix_hash = prefix;
    const auto chain = router.Choose(view, query, TimePoint{});
    REQUIRE(chain);
    return chain->stages[0].engine;
  };
  for (std::uint64_t prefix = 100; prefix < 400; ++prefix) {
    choose(prefix);
  }
  int hits = 0;
  for (std::uint64_t i = 0; i < 100; ++i) {
    hits += choose(42) == "engine-7" ? 1 : 0;
    for (std::uint64_t other = 0; other < 10; ++other) {
      choose(1000 + 10 * i + other);
    }
  }
  CHECK(hits >= 95);

  // Guards against a wrong hit probability, or a prefix that all prompts share,
  // that sends requests to an engine that is already busy.
  SECTION("but not to one that is much more loaded") {
    view.backends[7].running = 8;
    for (int i = 0; i < 100; ++i) {
      CHECK(choose(42) != "engine-7");
    }
  }
}
