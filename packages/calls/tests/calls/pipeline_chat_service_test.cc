#include "calls/pipeline_chat_service.h"

#include <catch2/catch.hpp>

#include "calls/fake_engines.h"
#include "testing/test_runtime.h"

using namespace std::chrono_literals;
using qp::ErrorCode;
using qp::Outcome;
using qp::testing::InjectedProtocolViolation;
using qp::testing::StreamStep;

namespace {

/// One daemon with its engines and one caller.
struct Fixture {
  explicit Fixture(
      const qp::testing::Choices& choices = {},
      InjectedProtocolViolation injected = InjectedProtocolViolation::kNone)
      : deployment(runtime.clock().Now()),
        reader(choices),
        engines(runtime.clock(), runtime.io(), sink, reader, injected),
        service(runtime.clock(), deployment.blackboard, engines,
                deployment.admission, deployment.chains, deployment.retries,
                deployment.events, 7) {}

  std::optional<qp::CallResult> RunRequest(qp::Duration deadline = 20s,
                                           qp::Duration timeout = 30s) {
    qp::ChatRequest request;
    request.request_id = "r1";
    request.workspace = "w";
    request.class_name = "chat";
    request.prompt = "prompt";
    request.max_tokens = 8;
    request.deadline = deadline;
    auto task = this->service.Run(std::move(request), this->sink);
    return this->runtime.RunFor(std::move(task), timeout);
  }

  qp::testing::TestRuntime runtime;
  qp::testing::Deployment deployment;
  qp::testing::CollectingSink sink;
  qp::testing::ChoiceReader reader;
  qp::testing::FakeEngines engines;
  qp::PipelineChatService service;
};

std::vector<std::string> Tokens(std::size_t count) {
  std::vector<std::string> tokens;
  for (std::size_t i = 0; i < count; ++i) {
    tokens.push_back("t" + std::to_string(i));
  }
  return tokens;
}

qp::testing::Violation CheckResponse(InjectedProtocolViolation injected,
                                     const qp::testing::Choices& choices) {
  Fixture fixture(choices, injected);
  const auto start = fixture.runtime.clock().Now();
  const auto result = fixture.RunRequest();
  if (!result) {
    return "the call has no outcome";
  }
  if (fixture.engines.violation) {
    return fixture.engines.violation;
  }
  const auto& delivered = fixture.sink.tokens;
  if (delivered != Tokens(delivered.size())) {
    return "the response has a foreign, late, repeated or missing token";
  }
  const bool complete = delivered.size() == fixture.engines.response_length;
  if (result->outcome == Outcome::kComplete && !complete) {
    return "an incomplete response was reported as complete";
  }
  if (result->outcome == Outcome::kNotRun && fixture.engines.started) {
    return "a started request was reported as not run";
  }
  if (fixture.engines.live_streams > 0) {
    return "a stream was left open";
  }
  if (fixture.runtime.clock().Now() - start > 20s) {
    return "the outcome came after the deadline";
  }
  return std::nullopt;
}

}  // namespace

TEST_CASE("A chat request without faults completes", "[chat]") {
  Fixture fixture;
  const auto result = fixture.RunRequest();
  REQUIRE(result);
  CHECK(result->outcome == Outcome::kComplete);
  CHECK(fixture.sink.tokens == Tokens(6));
  CHECK(fixture.engines.opened.size() == 1);
}

TEST_CASE("A chat request that is not admitted is reported as not run",
          "[chat]") {
  Fixture fixture;

  SECTION("without a configuration") {
    fixture.deployment.RemoveConfiguration();
  }
  SECTION("without a chain") { fixture.deployment.RemoveBackends(); }
  SECTION("by admission") {
    qp::BudgetsView none;
    none.shares["chat"] = {};
    const auto view = fixture.deployment.blackboard.configuration.Read();
    fixture.deployment.admission.Update(*view->value.configuration, none,
                                        fixture.runtime.clock().Now());
  }
  const auto result = fixture.RunRequest();
  REQUIRE(result);
  CHECK(result->outcome == Outcome::kNotRun);
  CHECK(result->retry_after.has_value());
  CHECK(fixture.engines.opened.empty());
}

TEST_CASE("A failed stage is excluded and the response continues", "[chat]") {
  Fixture fixture;
  fixture.engines.scripted = {StreamStep::kNext, StreamStep::kNext};

  SECTION("the cache of an unavailable stage is rebuilt") {
    fixture.engines.scripted.push_back(StreamStep::kStageFails);
    const auto result = fixture.RunRequest();
    REQUIRE(result);
    CHECK(result->outcome == Outcome::kComplete);
    for (const auto& transfer : fixture.engines.transfers) {
      CHECK(transfer.from.engine !=
            fixture.engines.opened[0].route.back().engine);
    }
  }
  SECTION("the cache of a refusing stage is imported by its replacement") {
    fixture.engines.scripted.push_back(StreamStep::kStageRefuses);
    const auto result = fixture.RunRequest();
    REQUIRE(result);
    CHECK(result->outcome == Outcome::kComplete);
    REQUIRE_FALSE(fixture.engines.transfers.empty());
    const auto& transfer = fixture.engines.transfers.back();
    CHECK(transfer.from.engine ==
          fixture.engines.opened[0].route.back().engine);
    CHECK(transfer.to.first_layer == transfer.from.first_layer);
    CHECK(transfer.to.last_layer == transfer.from.last_layer);
  }
  CHECK(fixture.sink.tokens == Tokens(6));
  REQUIRE(fixture.engines.opened.size() == 2);
  CHECK(fixture.engines.opened[1].tokens == Tokens(2));
  CHECK_FALSE(fixture.engines.violation);
}

TEST_CASE("A silent stream is replaced within the target for resumption",
          "[chat]") {
  Fixture fixture;
  fixture.engines.scripted = {StreamStep::kNext, StreamStep::kSilent};
  const auto result = fixture.RunRequest(20s, 1s);
  REQUIRE(result);
  CHECK(result->outcome == Outcome::kComplete);
  CHECK(fixture.sink.tokens == Tokens(6));
  // Any stage can be the silent one, since the first stage also sends nothing
  // while it waits for the others. So all engines of the chain are replaced.
  REQUIRE(fixture.engines.opened.size() == 2);
  for (const auto& before : fixture.engines.opened[0].route) {
    for (const auto& after : fixture.engines.opened[1].route) {
      CHECK(before.engine != after.engine);
    }
  }
}

TEST_CASE("Repeated silence does not end the response", "[chat]") {
  // Three chains without a common engine fall silent in turn; after that, the
  // engines respond again.
  Fixture fixture;
  fixture.engines.scripted = {StreamStep::kNext, StreamStep::kSilent,
                              StreamStep::kSilent, StreamStep::kSilent};
  const auto result = fixture.RunRequest(20s, 5s);
  REQUIRE(result);
  CHECK(result->outcome == Outcome::kComplete);
  CHECK(fixture.sink.tokens == Tokens(6));
}

TEST_CASE("A request that is given up reports whether it may have run",
          "[chat]") {
  Fixture fixture;
  while (fixture.deployment.retries.TryAcquire()) {
  }

  SECTION("the outcome is unknown at once after a token") {
    fixture.engines.scripted = {StreamStep::kNext, StreamStep::kConnectionLost};
    const auto result = fixture.RunRequest(20s, 100ms);
    REQUIRE(result);
    CHECK(result->outcome == Outcome::kUnknown);
    CHECK(result->retry_after.has_value());
  }
  SECTION("the outcome is not run if no engine was reached") {
    Fixture refused({1});
    while (refused.deployment.retries.TryAcquire()) {
    }
    // The first try adds a tenth of a retry to the budget, which is not enough
    // for a retry.
    const auto result = refused.RunRequest(20s, 100ms);
    REQUIRE(result);
    CHECK(result->outcome == Outcome::kNotRun);
    CHECK(result->retry_after.has_value());
  }
}

TEST_CASE("Engines stop soon after the caller disconnects", "[chat]") {
  Fixture fixture;
  fixture.engines.scripted = {StreamStep::kNext, StreamStep::kSilent};
  fixture.runtime.clock().Schedule(fixture.runtime.clock().Now() + 50ms,
                                   [&] { fixture.sink.caller_gone = true; });
  const auto result = fixture.RunRequest(20s, 250ms);
  REQUIRE(result);
  CHECK(result->outcome == Outcome::kUnknown);
  CHECK(result->error->code == ErrorCode::kCancelled);
  CHECK(fixture.engines.live_streams == 0);
  CHECK(fixture.engines.opened.size() == 1);
}

TEST_CASE("A chat request ends by its deadline", "[chat]") {
  Fixture fixture;
  fixture.engines.scripted = {StreamStep::kNext, StreamStep::kSilent};
  const auto result = fixture.RunRequest(200ms, 201ms);
  REQUIRE(result);
  CHECK(result->outcome == Outcome::kUnknown);
}

TEST_CASE(
    "Responses have no wrong token and outcomes are correct for any faults",
    "[chat][property]") {
  CHECK(qp::testing::HoldsForAll(
      "no wrong token and correct outcomes", [](const auto& choices) {
        return CheckResponse(InjectedProtocolViolation::kNone, choices);
      }));
}

TEST_CASE(
    "The check on responses detects each violation of the engine protocol",
    "[chat][counter-proof]") {
  const auto injected = GENERATE(InjectedProtocolViolation::kLateAsCurrent,
                                 InjectedProtocolViolation::kCrossedAsOwn,
                                 InjectedProtocolViolation::kSkipsPosition,
                                 InjectedProtocolViolation::kPartialAsFull,
                                 InjectedProtocolViolation::kFinishesTooEarly);
  const auto violation = qp::testing::FindViolation(
      [&](const auto& choices) { return CheckResponse(injected, choices); });
  CAPTURE(static_cast<int>(injected), violation.value_or("none"));
  CHECK(violation.has_value());
  // The same search must find no violation without an injected violation.
  CHECK_FALSE(qp::testing::FindViolation([](const auto& choices) {
    return CheckResponse(InjectedProtocolViolation::kNone, choices);
  }));
}
