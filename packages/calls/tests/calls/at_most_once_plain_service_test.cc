#include "calls/at_most_once_plain_service.h"

#include <catch2/catch.hpp>

#include "calls/claim_simulation.h"

using namespace std::chrono_literals;
using qp::ErrorCode;
using qp::Outcome;
using qp::testing::ClaimSimulation;
using qp::testing::InjectedContractViolation;
using qp::testing::MakeServiceRequest;
using qp::testing::ServiceFault;
using qp::testing::TableFault;

namespace {

/// Index of the daemon that gets the repeated request. It never pauses or dies.
constexpr std::size_t kFinalDaemon = 2;

/// Choices for the given faults first and no faults afterwards.
qp::testing::Choices FirstFault(TableFault fault) {
  return {static_cast<std::uint16_t>(fault)};
}
qp::testing::Choices FirstFault(TableFault table, ServiceFault service) {
  return {static_cast<std::uint16_t>(table),
          static_cast<std::uint16_t>(service)};
}

/// Sends one to four requests with the same key to two daemons at random times.
/// The daemons pause and die at random.
void RunFaults(ClaimSimulation& simulation, std::vector<std::string>& ids) {
  auto& reader = simulation.state.reader;
  const auto requests = 1 + reader.Next(4);
  for (std::uint32_t i = 0; i < requests; ++i) {
    const auto daemon = reader.Next(2);
    const auto deadline = std::chrono::milliseconds(2000 - reader.Next(1950));
    const std::string id = "r" + std::to_string(i);
    if (!simulation.daemons[daemon]->dead) {
      ids.push_back(id);
      simulation.Start(daemon, MakeServiceRequest(id, "hold", "k", deadline));
    }
    simulation.Advance(std::chrono::milliseconds(reader.Next(30)));
    auto& faulty_daemon = *simulation.daemons[reader.Next(2)];
    const auto event = reader.Next(6);
    if (event == 1 && !faulty_daemon.paused()) {
      faulty_daemon.Pause(std::chrono::milliseconds(1 + reader.Next(3000)));
    }
    faulty_daemon.dead = faulty_daemon.dead || event == 2;
    simulation.Advance(std::chrono::milliseconds(reader.Next(400)));
  }
  simulation.Advance(6s, 2ms);
}

qp::testing::Violation CheckResponses(const ClaimSimulation& simulation,
                                      const std::vector<std::string>& ids) {
  const bool died = simulation.daemons[0]->dead || simulation.daemons[1]->dead;
  for (const auto& id : ids) {
    const auto found = simulation.responses.find(id);
    if (found == simulation.responses.end()) {
      if (!died) {
        return "a request has no outcome";
      }
      continue;
    }
    const auto outcome = found->second.result.outcome;
    if (outcome == Outcome::kNotRun &&
        simulation.state.runs_by_request.count(id)) {
      return "a request that ran was reported as not run";
    }
    if (outcome == Outcome::kComplete &&
        found->second.body != R"(run 1 of {"item":"mirror"})") {
      return "a request got a response other than that of its call";
    }
  }
  return std::nullopt;
}

/// Repeats the request after the faults. A repeat of a key that ran must not be
/// reported as not run. If no daemon died and no call was lost, the repeat must
/// complete if an earlier request completed or the key never ran.
qp::testing::Violation CheckRepeat(ClaimSimulation& simulation,
                                   bool any_complete) {
  const bool ran = simulation.state.runs_by_key["k"] > 0;
  const bool state_known = !simulation.daemons[0]->dead &&
                           !simulation.daemons[1]->dead &&
                           simulation.state.unresolved_sends == 0;
  simulation.Start(kFinalDaemon, MakeServiceRequest("final", "hold", "k", 5s));
  simulation.Advance(2s, 2ms);
  const auto found = simulation.responses.find("final");
  if (found == simulation.responses.end()) {
    return "the repeated request has no outcome";
  }
  if (found->second.result.outcome == Outcome::kNotRun && ran) {
    return "a repeat of a key that ran was reported as not run";
  }
  const bool complete = found->second.result.outcome == Outcome::kComplete;
  if (state_known && (any_complete || !ran) && !complete) {
    return "a repeat of a key with a known state does not complete";
  }
  return std::nullopt;
}

qp::testing::Violation CheckAtMostOnce(InjectedContractViolation injected,
                                       const qp::testing::Choices& choices) {
  ClaimSimulation simulation(choices, injected, kFinalDaemon + 1);
  std::vector<std::string> ids;
  RunFaults(simulation, ids);
  simulation.state.faults_over = true;
  simulation.Advance(12s, 5ms);
  if (simulation.pending_claim_writes() > 0) {
    return "a claim write is still pending after the faults";
  }
  if (auto violation = CheckResponses(simulation, ids)) {
    return violation;
  }
  bool any_complete = false;
  for (const auto& [id, response] : simulation.responses) {
    any_complete =
        any_complete || response.result.outcome == Outcome::kComplete;
  }
  if (auto violation = CheckRepeat(simulation, any_complete)) {
    return violation;
  }
  for (const auto& [key, runs] : simulation.state.runs_by_key) {
    if (runs > 1) {
      return "key " + key + " ran " + std::to_string(runs) + " times";
    }
  }
  return simulation.state.violation;
}

}  // namespace

TEST_CASE("A non-idempotent call runs once and its response is stored",
          "[once]") {
  ClaimSimulation simulation({}, InjectedContractViolation::kNone, 2);
  simulation.Start(0, MakeServiceRequest("r1", "hold", "k", 2s));
  simulation.Advance(50ms);
  REQUIRE(simulation.responses.count("r1") == 1);
  CHECK(simulation.responses["r1"].result.outcome == Outcome::kComplete);

  SECTION("a repeat through another daemon gets the stored response") {
    simulation.Start(1, MakeServiceRequest("r2", "hold", "k", 2s));
    simulation.Advance(100ms);
    CHECK(simulation.responses["r2"].result.outcome == Outcome::kComplete);
    CHECK(simulation.responses["r2"].body == simulation.responses["r1"].body);
    CHECK(simulation.state.runs_by_key["k"] == 1);
  }
  SECTION("the key with another body is an invalid argument") {
    auto other = MakeServiceRequest("r2", "hold", "k", 2s);
    other.body = "{}";
    simulation.Start(1, std::move(other));
    simulation.Advance(100ms);
    CHECK(simulation.responses["r2"].result.outcome == Outcome::kNotRun);
    CHECK(simulation.responses["r2"].result.error->code ==
          ErrorCode::kInvalidArgument);
    CHECK_FALSE(simulation.responses["r2"].result.retry_after.has_value());
  }
}

TEST_CASE("A key sent through two daemons concurrently runs once", "[once]") {
  ClaimSimulation simulation({}, InjectedContractViolation::kNone, 2);
  simulation.Start(0, MakeServiceRequest("r1", "hold", "k", 2s));
  simulation.Start(1, MakeServiceRequest("r2", "hold", "k", 2s));
  simulation.Advance(200ms);
  CHECK(simulation.state.runs_by_key["k"] == 1);
  CHECK(simulation.responses["r1"].result.outcome == Outcome::kComplete);
  CHECK(simulation.responses["r2"].result.outcome == Outcome::kComplete);
}

TEST_CASE("A table outage is reported immediately as not run", "[once]") {
  ClaimSimulation simulation(FirstFault(TableFault::kUnavailable),
                             InjectedContractViolation::kNone, 1);
  simulation.Start(0, MakeServiceRequest("r1", "hold", "k", 2s));
  simulation.Advance(10ms);
  REQUIRE(simulation.responses.count("r1") == 1);
  CHECK(simulation.responses["r1"].result.outcome == Outcome::kNotRun);
  CHECK(simulation.responses["r1"].result.retry_after.has_value());
  CHECK(simulation.state.runs_by_key.empty());
}

TEST_CASE("A claim is read back if the response to its write was lost",
          "[once]") {
  ClaimSimulation simulation(FirstFault(TableFault::kLoseResponse),
                             InjectedContractViolation::kNone, 1);
  simulation.Start(0, MakeServiceRequest("r1", "hold", "k", 2s));
  simulation.Advance(100ms);
  CHECK(simulation.responses["r1"].result.outcome == Outcome::kComplete);
  CHECK(simulation.state.runs_by_key["k"] == 1);
}

TEST_CASE("A call that was refused before its start can be sent again",
          "[once]") {
  ClaimSimulation simulation(
      FirstFault(TableFault::kNone, ServiceFault::kRefuse),
      InjectedContractViolation::kNone, 1);

  SECTION("to another server under the same claim") {
    simulation.Start(0, MakeServiceRequest("r1", "hold", "k", 2s));
    simulation.Advance(100ms);
    CHECK(simulation.responses["r1"].result.outcome == Outcome::kComplete);
  }
  SECTION("by the caller, once the claim is released") {
    while (simulation.daemons[0]->deployment.retries.TryAcquire()) {
    }
    simulation.Start(0, MakeServiceRequest("r1", "hold", "k", 2s));
    simulation.Advance(100ms);
    CHECK(simulation.responses["r1"].result.outcome == Outcome::kNotRun);
    simulation.Start(0, MakeServiceRequest("r2", "hold", "k", 2s));
    simulation.Advance(100ms);
    CHECK(simulation.responses["r2"].result.outcome == Outcome::kComplete);
  }
  CHECK(simulation.state.runs_by_key["k"] == 1);
}

TEST_CASE("The outcome stays unknown after the service's response was lost",
          "[once]") {
  ClaimSimulation simulation(
      FirstFault(TableFault::kNone, ServiceFault::kLoseResponse),
      InjectedContractViolation::kNone, 2);
  simulation.Start(0, MakeServiceRequest("r1", "hold", "k", 2s));
  simulation.Advance(100ms);
  CHECK(simulation.responses["r1"].result.outcome == Outcome::kUnknown);
  simulation.Start(1, MakeServiceRequest("r2", "hold", "k", 2s));
  simulation.Advance(qp::ClaimProtocol::kBusyWait + 100ms);
  REQUIRE(simulation.responses.count("r2") == 1);
  CHECK(simulation.responses["r2"].result.outcome == Outcome::kUnknown);
  CHECK(simulation.state.runs_by_key["k"] == 1);
}

TEST_CASE("A refused repeat of a key reports the state of the key", "[once]") {
  // A caller that got `unknown` and then `not_run` would conclude that the call
  // did not run.
  const bool responded = GENERATE(false, true);
  const auto fault =
      responded ? ServiceFault::kNone : ServiceFault::kLoseResponse;
  ClaimSimulation simulation(FirstFault(TableFault::kNone, fault),
                             InjectedContractViolation::kNone, 2);
  simulation.Start(0, MakeServiceRequest("r1", "hold", "k", 2s));
  simulation.Advance(100ms);
  auto& other = simulation.daemons[1]->deployment;

  SECTION("where the class has no share") {
    other.RemoveShares(qp::TimePoint{});
  }
  SECTION("where no server is routable") { other.RemoveBackends(); }
  simulation.Start(1, MakeServiceRequest("r2", "hold", "k", 2s));
  simulation.Start(1, MakeServiceRequest("r3", "hold", "new", 2s));
  simulation.Advance(qp::ClaimProtocol::kBusyWait + 100ms);
  CHECK(simulation.responses["r2"].result.outcome ==
        (responded ? Outcome::kComplete : Outcome::kUnknown));
  CHECK(simulation.responses["r3"].result.outcome == Outcome::kNotRun);
  CHECK(simulation.state.runs_by_key["k"] == 1);
}

TEST_CASE("A refused repeat waits for the response to a call in progress",
          "[once]") {
  ClaimSimulation simulation({}, InjectedContractViolation::kNone, 2);
  simulation.daemons[1]->deployment.RemoveShares(qp::TimePoint{});
  simulation.Start(0, MakeServiceRequest("r1", "hold", "k", 2s));
  // The claim is written, but its call has no response yet.
  simulation.Advance(6ms);
  simulation.Start(1, MakeServiceRequest("r2", "hold", "k", 2s));
  simulation.Advance(200ms);
  REQUIRE(simulation.responses.count("r2") == 1);
  CHECK(simulation.responses["r2"].result.outcome == Outcome::kComplete);
  CHECK(simulation.state.runs_by_key["k"] == 1);
}

TEST_CASE("A daemon paused between claim and send does not send late",
          "[once]") {
  ClaimSimulation simulation({}, InjectedContractViolation::kNone, 2);
  simulation.Start(0, MakeServiceRequest("r1", "hold", "k", 100ms));
  // The claim is written after 4 ms of grouping, and the table responds after
  // 5 ms.
  simulation.Advance(4ms);
  simulation.daemons[0]->Pause(500ms);
  simulation.Advance(450ms);
  CHECK(simulation.state.store.Find("claim/w/desk/k").has_value());
  simulation.Advance(500ms);
  CHECK(simulation.responses["r1"].result.outcome == Outcome::kNotRun);
  CHECK(simulation.state.runs_by_key.empty());

  simulation.Start(1, MakeServiceRequest("r2", "hold", "k", 2s));
  simulation.Advance(100ms);
  CHECK(simulation.responses["r2"].result.outcome == Outcome::kComplete);
}

TEST_CASE("A non-idempotent call without a valid key is refused", "[once]") {
  ClaimSimulation simulation({}, InjectedContractViolation::kNone, 1);
  const auto size = GENERATE(std::size_t{0}, std::size_t{257});
  simulation.Start(
      0, MakeServiceRequest("r1", "hold", std::string(size, 'k'), 2s));
  simulation.Advance(10ms);
  CHECK(simulation.responses["r1"].result.error->code ==
        ErrorCode::kInvalidArgument);
  CHECK(simulation.responses["r1"].result.outcome == Outcome::kNotRun);
}

TEST_CASE("An idempotent call is retried on other servers", "[plain]") {
  SECTION("and needs no table") {
    ClaimSimulation simulation(
        {static_cast<std::uint16_t>(ServiceFault::kLoseResponse)},
        InjectedContractViolation::kNone, 1);
    simulation.Start(0, MakeServiceRequest("r1", "lookup", "", 2s));
    simulation.Advance(50ms);
    CHECK(simulation.responses["r1"].result.outcome == Outcome::kComplete);
    CHECK_FALSE(simulation.state.store.Find("claim/w/desk/").has_value());
  }
  SECTION("within the retry budget, then given up with the correct outcome") {
    const auto fault =
        GENERATE(ServiceFault::kRefuse, ServiceFault::kLoseResponse);
    ClaimSimulation simulation({static_cast<std::uint16_t>(fault)},
                               InjectedContractViolation::kNone, 1);
    while (simulation.daemons[0]->deployment.retries.TryAcquire()) {
    }
    simulation.Start(0, MakeServiceRequest("r1", "lookup", "", 2s));
    simulation.Advance(50ms);
    REQUIRE(simulation.responses.count("r1") == 1);
    CHECK(simulation.responses["r1"].result.outcome ==
          (fault == ServiceFault::kRefuse ? Outcome::kNotRun
                                          : Outcome::kUnknown));
    CHECK(simulation.responses["r1"].result.retry_after.has_value());
  }
}

TEST_CASE("A key runs at most once and outcomes are correct for any faults",
          "[once][property]") {
  CHECK(qp::testing::HoldsForAll(
      "a key runs at most once and outcomes are correct",
      [](const auto& choices) {
        return CheckAtMostOnce(InjectedContractViolation::kNone, choices);
      }));
}

TEST_CASE("The check on claims detects each violation of a contract",
          "[once][counter-proof]") {
  const auto injected =
      GENERATE(InjectedContractViolation::kIgnoresConditions,
               InjectedContractViolation::kForgesNonce,
               InjectedContractViolation::kUnavailableAfterWrite,
               InjectedContractViolation::kRefusesAfterRun,
               InjectedContractViolation::kClockStopsInPause);
  const auto violation = qp::testing::FindViolation(
      [&](const auto& choices) { return CheckAtMostOnce(injected, choices); });
  CAPTURE(static_cast<int>(injected), violation.value_or("none"));
  CHECK(violation.has_value());
  // The same search must find no violation without an injected violation.
  CHECK_FALSE(qp::testing::FindViolation([](const auto& choices) {
    return CheckAtMostOnce(InjectedContractViolation::kNone, choices);
  }));
}
