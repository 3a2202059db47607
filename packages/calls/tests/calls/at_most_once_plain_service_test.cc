#include "calls/at_most_once_plain_service.h"

#include <catch2/catch.hpp>

#include "calls/claim_world.h"

using namespace std::chrono_literals;
using qp::ErrorCode;
using qp::Outcome;
using qp::testing::ClaimWorld;
using qp::testing::MakeServiceRequest;
using qp::testing::ServiceFate;
using qp::testing::TableFate;
using qp::testing::WorldMutation;

namespace {

constexpr std::size_t kFinalDaemon = 2;

/// Choice of the first fate drawn, before those without a fault.
qp::testing::Choices First(TableFate fate) {
  return {static_cast<std::uint16_t>(fate)};
}
qp::testing::Choices First(TableFate table, ServiceFate service) {
  return {static_cast<std::uint16_t>(table),
          static_cast<std::uint16_t>(service)};
}

/// The two daemons get the same key at drawn times; each may pause or die.
void RunFaults(ClaimWorld& world, std::vector<std::string>& ids) {
  auto& reader = world.state.reader;
  const auto requests = 1 + reader.Next(4);
  for (std::uint32_t i = 0; i < requests; ++i) {
    const auto daemon = reader.Next(2);
    const auto deadline = std::chrono::milliseconds(2000 - reader.Next(1950));
    const std::string id = "r" + std::to_string(i);
    if (!world.daemons[daemon]->dead) {
      ids.push_back(id);
      world.Start(daemon, MakeServiceRequest(id, "hold", "k", deadline));
    }
    world.Advance(std::chrono::milliseconds(reader.Next(30)));
    auto& victim = *world.daemons[reader.Next(2)];
    const auto event = reader.Next(6);
    if (event == 1 && !victim.paused()) {
      victim.Pause(std::chrono::milliseconds(1 + reader.Next(3000)));
    }
    victim.dead = victim.dead || event == 2;
    world.Advance(std::chrono::milliseconds(reader.Next(400)));
  }
  world.Advance(6s, 2ms);
}

qp::testing::Violation CheckResponses(const ClaimWorld& world,
                                      const std::vector<std::string>& ids) {
  const bool died = world.daemons[0]->dead || world.daemons[1]->dead;
  for (const auto& id : ids) {
    const auto found = world.responses.find(id);
    if (found == world.responses.end()) {
      if (!died) {
        return "a request has no outcome";
      }
      continue;
    }
    const auto outcome = found->second.result.outcome;
    if (outcome == Outcome::kNotRun && world.state.runs_by_request.count(id)) {
      return "a request that ran was called not run";
    }
    if (outcome == Outcome::kComplete &&
        found->second.body != R"(run 1 of {"item":"mirror"})") {
      return "a request got another answer than its call's";
    }
  }
  return std::nullopt;
}

/// After the faults, the key has its answer, or can be used if nothing ran.
qp::testing::Violation CheckRepeat(ClaimWorld& world, bool any_complete) {
  const bool ran = world.state.runs_by_key["k"] > 0;
  const bool certain = !world.daemons[0]->dead && !world.daemons[1]->dead &&
                       world.state.unresolved_sends == 0;
  world.Start(kFinalDaemon, MakeServiceRequest("final", "hold", "k", 5s));
  world.Advance(2s, 2ms);
  const auto found = world.responses.find("final");
  if (found == world.responses.end()) {
    return "the repeated request has no outcome";
  }
  if (found->second.result.outcome == Outcome::kNotRun && ran) {
    return "a key that ran was called not run in a repeat";
  }
  const bool complete = found->second.result.outcome == Outcome::kComplete;
  if (certain && (any_complete || !ran) && !complete) {
    return "a settled key does not serve a repeat";
  }
  return std::nullopt;
}

qp::testing::Violation CheckOnce(WorldMutation mutation,
                                 const qp::testing::Choices& choices) {
  ClaimWorld world(choices, mutation, kFinalDaemon + 1);
  std::vector<std::string> ids;
  RunFaults(world, ids);
  world.state.faults_over = true;
  world.Advance(12s, 5ms);
  if (world.unsettled() > 0) {
    return "a claim was not settled after the faults";
  }
  if (auto violation = CheckResponses(world, ids)) {
    return violation;
  }
  bool any_complete = false;
  for (const auto& [id, response] : world.responses) {
    any_complete =
        any_complete || response.result.outcome == Outcome::kComplete;
  }
  if (auto violation = CheckRepeat(world, any_complete)) {
    return violation;
  }
  for (const auto& [key, runs] : world.state.runs_by_key) {
    if (runs > 1) {
      return "key " + key + " ran " + std::to_string(runs) + " times";
    }
  }
  return world.state.violation;
}

}  // namespace

TEST_CASE("A call that may not be repeated runs once and keeps its answer",
          "[once]") {
  ClaimWorld world({}, WorldMutation::kNone, 2);
  world.Start(0, MakeServiceRequest("r1", "hold", "k", 2s));
  world.Advance(50ms);
  REQUIRE(world.responses.count("r1") == 1);
  CHECK(world.responses["r1"].result.outcome == Outcome::kComplete);

  SECTION("a repeat through another daemon gets the stored answer") {
    world.Start(1, MakeServiceRequest("r2", "hold", "k", 2s));
    world.Advance(100ms);
    CHECK(world.responses["r2"].result.outcome == Outcome::kComplete);
    CHECK(world.responses["r2"].body == world.responses["r1"].body);
    CHECK(world.state.runs_by_key["k"] == 1);
  }
  SECTION("the key with another body is an invalid argument") {
    auto other = MakeServiceRequest("r2", "hold", "k", 2s);
    other.body = "{}";
    world.Start(1, std::move(other));
    world.Advance(100ms);
    CHECK(world.responses["r2"].result.outcome == Outcome::kNotRun);
    CHECK(world.responses["r2"].result.error->code ==
          ErrorCode::kInvalidArgument);
    CHECK_FALSE(world.responses["r2"].result.retry_after.has_value());
  }
}

TEST_CASE("The same key through two daemons at once runs once", "[once]") {
  ClaimWorld world({}, WorldMutation::kNone, 2);
  world.Start(0, MakeServiceRequest("r1", "hold", "k", 2s));
  world.Start(1, MakeServiceRequest("r2", "hold", "k", 2s));
  world.Advance(200ms);
  CHECK(world.state.runs_by_key["k"] == 1);
  CHECK(world.responses["r1"].result.outcome == Outcome::kComplete);
  CHECK(world.responses["r2"].result.outcome == Outcome::kComplete);
}

TEST_CASE("A table outage is reported as not run at once", "[once]") {
  ClaimWorld world(First(TableFate::kUnavailable), WorldMutation::kNone, 1);
  world.Start(0, MakeServiceRequest("r1", "hold", "k", 2s));
  world.Advance(10ms);
  REQUIRE(world.responses.count("r1") == 1);
  CHECK(world.responses["r1"].result.outcome == Outcome::kNotRun);
  CHECK(world.responses["r1"].result.retry_after.has_value());
  CHECK(world.state.runs_by_key.empty());
}

TEST_CASE("A claim whose answer was lost is read back", "[once]") {
  ClaimWorld world(First(TableFate::kLoseAnswer), WorldMutation::kNone, 1);
  world.Start(0, MakeServiceRequest("r1", "hold", "k", 2s));
  world.Advance(100ms);
  CHECK(world.responses["r1"].result.outcome == Outcome::kComplete);
  CHECK(world.state.runs_by_key["k"] == 1);
}

TEST_CASE("A refusal before the start may be sent elsewhere", "[once]") {
  ClaimWorld world(First(TableFate::kApply, ServiceFate::kRefuse),
                   WorldMutation::kNone, 1);

  SECTION("to another server under the same claim") {
    world.Start(0, MakeServiceRequest("r1", "hold", "k", 2s));
    world.Advance(100ms);
    CHECK(world.responses["r1"].result.outcome == Outcome::kComplete);
  }
  SECTION("by the caller, once the claim is released") {
    while (world.daemons[0]->deployment.retries.TryTake()) {
    }
    world.Start(0, MakeServiceRequest("r1", "hold", "k", 2s));
    world.Advance(100ms);
    CHECK(world.responses["r1"].result.outcome == Outcome::kNotRun);
    world.Start(0, MakeServiceRequest("r2", "hold", "k", 2s));
    world.Advance(100ms);
    CHECK(world.responses["r2"].result.outcome == Outcome::kComplete);
  }
  CHECK(world.state.runs_by_key["k"] == 1);
}

TEST_CASE("A lost answer of the service is unknown and stays so", "[once]") {
  ClaimWorld world(First(TableFate::kApply, ServiceFate::kLoseAnswer),
                   WorldMutation::kNone, 2);
  world.Start(0, MakeServiceRequest("r1", "hold", "k", 2s));
  world.Advance(100ms);
  CHECK(world.responses["r1"].result.outcome == Outcome::kUnknown);
  world.Start(1, MakeServiceRequest("r2", "hold", "k", 2s));
  world.Advance(qp::ClaimProtocol::kBusyWait + 100ms);
  REQUIRE(world.responses.count("r2") == 1);
  CHECK(world.responses["r2"].result.outcome == Outcome::kUnknown);
  CHECK(world.state.runs_by_key["k"] == 1);
}

TEST_CASE("A refused repeat of a key is told what became of the key",
          "[once]") {
  // A caller who was told `unknown` and then `not_run` would believe that the
  // call did not run.
  const bool answered = GENERATE(false, true);
  const auto fate = answered ? ServiceFate::kAnswer : ServiceFate::kLoseAnswer;
  ClaimWorld world(First(TableFate::kApply, fate), WorldMutation::kNone, 2);
  world.Start(0, MakeServiceRequest("r1", "hold", "k", 2s));
  world.Advance(100ms);
  auto& other = world.daemons[1]->deployment;

  SECTION("where the class has no share") {
    other.RemoveShares(qp::TimePoint{});
  }
  SECTION("where no server is routable") { other.RemoveBackends(); }
  world.Start(1, MakeServiceRequest("r2", "hold", "k", 2s));
  world.Start(1, MakeServiceRequest("r3", "hold", "new", 2s));
  world.Advance(qp::ClaimProtocol::kBusyWait + 100ms);
  CHECK(world.responses["r2"].result.outcome ==
        (answered ? Outcome::kComplete : Outcome::kUnknown));
  CHECK(world.responses["r3"].result.outcome == Outcome::kNotRun);
  CHECK(world.state.runs_by_key["k"] == 1);
}

TEST_CASE("A refused repeat waits for an answer that is on its way", "[once]") {
  ClaimWorld world({}, WorldMutation::kNone, 2);
  world.daemons[1]->deployment.RemoveShares(qp::TimePoint{});
  world.Start(0, MakeServiceRequest("r1", "hold", "k", 2s));
  // The claim is written, its call is not answered yet.
  world.Advance(6ms);
  world.Start(1, MakeServiceRequest("r2", "hold", "k", 2s));
  world.Advance(200ms);
  REQUIRE(world.responses.count("r2") == 1);
  CHECK(world.responses["r2"].result.outcome == Outcome::kComplete);
  CHECK(world.state.runs_by_key["k"] == 1);
}

TEST_CASE("An owner paused between claim and send does not send late",
          "[once]") {
  ClaimWorld world({}, WorldMutation::kNone, 2);
  world.Start(0, MakeServiceRequest("r1", "hold", "k", 100ms));
  // The claim is written after 4 ms of grouping and answered after 5 ms.
  world.Advance(4ms);
  world.daemons[0]->Pause(500ms);
  world.Advance(450ms);
  CHECK(world.state.store.Find("claim/w/desk/k").has_value());
  world.Advance(500ms);
  CHECK(world.responses["r1"].result.outcome == Outcome::kNotRun);
  CHECK(world.state.runs_by_key.empty());

  world.Start(1, MakeServiceRequest("r2", "hold", "k", 2s));
  world.Advance(100ms);
  CHECK(world.responses["r2"].result.outcome == Outcome::kComplete);
}

TEST_CASE("A call without a usable key is refused", "[once]") {
  ClaimWorld world({}, WorldMutation::kNone, 1);
  const auto size = GENERATE(std::size_t{0}, std::size_t{257});
  world.Start(0, MakeServiceRequest("r1", "hold", std::string(size, 'k'), 2s));
  world.Advance(10ms);
  CHECK(world.responses["r1"].result.error->code ==
        ErrorCode::kInvalidArgument);
  CHECK(world.responses["r1"].result.outcome == Outcome::kNotRun);
}

TEST_CASE("An idempotent call is retried on other servers", "[plain]") {
  SECTION("and needs no table") {
    ClaimWorld world({static_cast<std::uint16_t>(ServiceFate::kLoseAnswer)},
                     WorldMutation::kNone, 1);
    world.Start(0, MakeServiceRequest("r1", "lookup", "", 2s));
    world.Advance(50ms);
    CHECK(world.responses["r1"].result.outcome == Outcome::kComplete);
    CHECK_FALSE(world.state.store.Find("claim/w/desk/").has_value());
  }
  SECTION("within the retry budget, then given up truthfully") {
    const auto fate = GENERATE(ServiceFate::kRefuse, ServiceFate::kLoseAnswer);
    ClaimWorld world({static_cast<std::uint16_t>(fate)}, WorldMutation::kNone,
                     1);
    while (world.daemons[0]->deployment.retries.TryTake()) {
    }
    world.Start(0, MakeServiceRequest("r1", "lookup", "", 2s));
    world.Advance(50ms);
    REQUIRE(world.responses.count("r1") == 1);
    CHECK(
        world.responses["r1"].result.outcome ==
        (fate == ServiceFate::kRefuse ? Outcome::kNotRun : Outcome::kUnknown));
    CHECK(world.responses["r1"].result.retry_after.has_value());
  }
}

TEST_CASE("A key runs at most once and outcomes are true for any faults",
          "[once][property]") {
  CHECK(qp::testing::HoldsForAll(
      "a key runs at most once and outcomes are true", [](const auto& choices) {
        return CheckOnce(WorldMutation::kNone, choices);
      }));
}

TEST_CASE("The check on claims reports each broken contract",
          "[once][counter-proof]") {
  const auto mutation =
      GENERATE(WorldMutation::kIgnoresConditions, WorldMutation::kForgesNonce,
               WorldMutation::kOutAfterWrite, WorldMutation::kRefusesAfterRun,
               WorldMutation::kClockStopsInPause);
  const auto violation = qp::testing::FindViolation(
      [&](const auto& choices) { return CheckOnce(mutation, choices); });
  CAPTURE(static_cast<int>(mutation), violation.value_or("none"));
  CHECK(violation.has_value());
  // The same search must not report the unbroken variant.
  CHECK_FALSE(qp::testing::FindViolation([](const auto& choices) {
    return CheckOnce(WorldMutation::kNone, choices);
  }));
}
