#include "gateway/caller_api.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>
#include <nlohmann/json.hpp>

#include "gateway/bearer_token.h"
#include "gateway/recorded_responder.h"
#include "testing/test_runtime.h"

using namespace std::chrono_literals;
using trompeloeil::_;

namespace {

class ChatMock : public qp::ChatService {
 public:
  MAKE_MOCK2(Run, qp::Task<qp::CallResult>(qp::ChatRequest, qp::TokenSink&),
             override);
};

class PlainMock : public qp::PlainService {
 public:
  MAKE_MOCK1(Run, qp::Task<qp::ServiceResponse>(qp::ServiceRequest), override);
};

qp::Task<qp::CallResult> Answer(qp::TokenSink& sink,
                                std::vector<std::string> tokens,
                                qp::CallResult result) {
  for (const std::string& token : tokens) {
    const auto written = co_await sink.Write(token);
    if (!written) {
      result = {qp::Outcome::kUnknown, written.error(), std::nullopt};
      break;
    }
  }
  co_return result;
}

qp::Task<qp::ServiceResponse> Reply(qp::ServiceResponse response) {
  co_return response;
}

const qp::CallResult kComplete{qp::Outcome::kComplete, std::nullopt,
                               std::nullopt};

qp::CallResult NotRun(qp::Duration retry_after) {
  return {qp::Outcome::kNotRun,
          qp::Error{qp::ErrorCode::kUnavailable, "chat.admit", "", ""},
          retry_after};
}

qp::Configuration TestConfiguration() {
  qp::Configuration configuration;
  configuration.classes = {{"questions", "desk-assist", "", "", true, {}},
                           {"look-ups", "", "stock-book", "price", true, {}},
                           {"bookings", "", "stock-book", "hold", false, {}}};
  configuration.workspaces = {{"members", qp::Sha256Hex("secret")}};
  return configuration;
}

struct Fixture {
  Fixture() {
    this->configuration->Publish({TestConfiguration()});
    this->readiness->Publish({true, false, ""});
  }

  qp::testing::RecordedResponder Handle(qp::http::Request request) {
    qp::testing::RecordedResponder responder;
    auto task = [&]() -> qp::Task<bool> {
      co_await this->api.Handle(std::move(request), responder);
      co_return true;
    };
    REQUIRE(this->runtime.RunFor(task(), 1s));
    REQUIRE(responder.answers == 1);
    return responder;
  }

  static qp::http::Request Post(std::string_view target, std::string body) {
    auto request = qp::http::MakeRequest(qp::http::Verb::post, target, body);
    request.set("Authorization", "Bearer secret");
    request.set("X-Request-Id", "req-1");
    return request;
  }

  static qp::http::Request Chat(bool stream) {
    return Post("/v1/chat/completions",
                nlohmann::json(
                    {{"model", "questions"},
                     {"stream", stream},
                     {"max_tokens", 8},
                     {"messages", {{{"role", "user"}, {"content", "Why?"}}}}})
                    .dump());
  }

  qp::testing::TestRuntime runtime;
  qp::Blackboard blackboard;
  std::unique_ptr<qp::Writer<qp::ConfigurationView>> configuration =
      blackboard.configuration.Claim();
  std::unique_ptr<qp::Writer<qp::ReadinessView>> readiness =
      blackboard.readiness.Claim();
  ChatMock chat;
  PlainMock plain;
  qp::Metrics metrics;
  qp::NullEventSink events;
  qp::CallerApi api{{blackboard, chat, plain, metrics, events, runtime.clock()},
                    7};
};

}  // namespace

// Guards against chat work for strangers and against a missing outcome.
TEST_CASE("A request without a known token is not run", "[caller_api]") {
  Fixture fixture;
  auto request = Fixture::Chat(false);
  SECTION("no token") { request.erase("Authorization"); }
  SECTION("another token") { request.set("Authorization", "Bearer guess"); }
  SECTION("the digest itself") {
    request.set("Authorization", "Bearer " + qp::Sha256Hex("secret"));
  }
  const auto responder = fixture.Handle(std::move(request));
  CHECK(responder.status() == 401);
  CHECK(responder.Header("Quetzalpost-Outcome") == "not_run");
}

// Guards against answers of another shape than the clients' libraries read.
TEST_CASE("A whole answer has the usual shape", "[caller_api]") {
  Fixture fixture;
  REQUIRE_CALL(fixture.chat, Run(_, _))
      .WITH(_1.workspace == "members" && _1.class_name == "questions" &&
            _1.prompt == "user: Why?\n" && _1.max_tokens == 8)
      .LR_RETURN(Answer(_2, {"Be", "cause"}, kComplete));
  const auto responder = fixture.Handle(Fixture::Chat(false));
  CHECK(responder.status() == 200);
  CHECK(responder.Header("Quetzalpost-Outcome") == "complete");
  CHECK(responder.Header("X-Request-Id") == "req-1");
  const auto body = nlohmann::json::parse(responder.response.body());
  CHECK(body["choices"][0]["message"]["content"] == "Because");
  CHECK(body["choices"][0]["finish_reason"] == "stop");
  CHECK(body["usage"]["completion_tokens"] == 2);
}

// Guards against a broken stream that looks whole to the caller.
TEST_CASE("A stream ends in [DONE] only if the answer is whole",
          "[caller_api]") {
  Fixture fixture;
  SECTION("whole") {
    REQUIRE_CALL(fixture.chat, Run(_, _))
        .LR_RETURN(Answer(_2, {"Be", "cause"}, kComplete));
    const auto responder = fixture.Handle(Fixture::Chat(true));
    CHECK(responder.Header("Content-Type") == "text/event-stream");
    CHECK(responder.streamed.ends_with("data: [DONE]\n\n"));
    CHECK(responder.streamed.find(R"("outcome":"complete")") !=
          std::string::npos);
    CHECK(responder.streamed.find("event: error") == std::string::npos);
    CHECK(responder.ended);
  }
  SECTION("broken; a started answer is never reported as not run") {
    REQUIRE_CALL(fixture.chat, Run(_, _))
        .LR_RETURN(Answer(_2, {"Be"}, NotRun(3s)));
    const auto responder = fixture.Handle(Fixture::Chat(true));
    CHECK(responder.streamed.find("[DONE]") == std::string::npos);
    const auto event = responder.streamed.find("event: error\ndata: ");
    REQUIRE(event != std::string::npos);
    CHECK(responder.streamed.find(R"("outcome":"unknown")", event) !=
          std::string::npos);
  }
  SECTION("refused before the first token: a status and no stream") {
    REQUIRE_CALL(fixture.chat, Run(_, _)).LR_RETURN(Answer(_2, {}, NotRun(3s)));
    const auto responder = fixture.Handle(Fixture::Chat(true));
    CHECK(responder.status() == 503);
    CHECK(responder.Header("Quetzalpost-Outcome") == "not_run");
    CHECK(responder.Header("Retry-After") == "3");
    CHECK(responder.streamed.empty());
  }
}

// Guards against Retry-After: 0, which makes callers return at once.
TEST_CASE("Retry-After is in whole seconds, rounded up, at least one",
          "[caller_api]") {
  Fixture fixture;
  const auto row = GENERATE(table<qp::Duration, std::string>(
      {{0ms, "1"}, {1ms, "1"}, {1s, "1"}, {1001ms, "2"}, {90s, "90"}}));
  REQUIRE_CALL(fixture.chat, Run(_, _))
      .LR_RETURN(Answer(_2, {}, NotRun(std::get<0>(row))));
  CHECK(fixture.Handle(Fixture::Chat(false)).Header("Retry-After") ==
        std::get<1>(row));
}

// Guards against a mix-up at the engines, which tell streams apart by the
// request id alone: callers may choose the same X-Request-Id.
TEST_CASE("Requests with equal ids are told apart behind the gateway",
          "[caller_api]") {
  Fixture fixture;
  std::vector<std::string> ids;
  REQUIRE_CALL(fixture.chat, Run(_, _))
      .LR_SIDE_EFFECT(ids.push_back(_1.request_id))
      .LR_RETURN(Answer(_2, {}, kComplete))
      .TIMES(2);
  CHECK(fixture.Handle(Fixture::Chat(false)).Header("X-Request-Id") == "req-1");
  CHECK(fixture.Handle(Fixture::Chat(true)).Header("X-Request-Id") == "req-1");
  CHECK(ids[0] != ids[1]);
}

// Guards against an unconfirmed daemon that goes on taking work and against a
// draining one that interrupts callers.
TEST_CASE("An unready daemon refuses work, a draining one serves it",
          "[caller_api]") {
  Fixture fixture;
  SECTION("unready") {
    fixture.readiness->Publish({false, false, "not confirmed"});
    const auto responder = fixture.Handle(Fixture::Chat(false));
    CHECK(responder.status() == 503);
    CHECK(responder.Header("Quetzalpost-Outcome") == "not_run");
    CHECK(responder.Header("Retry-After") == "1");
  }
  SECTION("no configuration") {
    fixture.configuration->Publish({});
    const auto responder = fixture.Handle(Fixture::Chat(false));
    CHECK(responder.status() == 503);
    CHECK(responder.Header("Retry-After") == "1");
  }
  SECTION("draining") {
    fixture.readiness->Publish({false, true, "draining"});
    REQUIRE_CALL(fixture.chat, Run(_, _))
        .LR_RETURN(Answer(_2, {"a"}, kComplete));
    CHECK(fixture.Handle(Fixture::Chat(false)).status() == 200);
  }
}

// Guards against a second run of a call that must run at most once: without a
// key, a caller's retry cannot be recognized.
TEST_CASE("A call that is not idempotent needs an Idempotency-Key",
          "[caller_api]") {
  Fixture fixture;
  auto request = Fixture::Post("/v1/services/stock-book/hold", R"({"n":1})");
  request.set("Quetzalpost-Deadline-Ms", "250");
  SECTION("missing") {
    const auto responder = fixture.Handle(request);
    CHECK(responder.status() == 400);
    CHECK(responder.Header("Quetzalpost-Outcome") == "not_run");
  }
  SECTION("not visible ASCII") {
    request.set("Idempotency-Key", "a b");
    CHECK(fixture.Handle(request).status() == 400);
  }
  SECTION("given") {
    request.set("Idempotency-Key", "key-1");
    const qp::ServiceResponse held{kComplete, 201, R"({"held":1})"};
    REQUIRE_CALL(fixture.plain, Run(_))
        .WITH(_1.service == "stock-book" && _1.operation == "hold" &&
              _1.idempotency_key == "key-1" && _1.body == R"({"n":1})" &&
              _1.workspace == "members" && _1.deadline == 250ms)
        .LR_RETURN(Reply(held));
    const auto responder = fixture.Handle(request);
    CHECK(responder.status() == 201);
    CHECK(responder.response.body() == R"({"held":1})");
    CHECK(responder.Header("Quetzalpost-Outcome") == "complete");
  }
  SECTION("lost: unknown, and no invitation to retry") {
    request.set("Idempotency-Key", "key-1");
    qp::ServiceResponse lost;
    lost.result.error =
        qp::Error{qp::ErrorCode::kUnknownEffect, "service.call", "", ""};
    REQUIRE_CALL(fixture.plain, Run(_)).LR_RETURN(Reply(lost));
    const auto responder = fixture.Handle(request);
    CHECK(responder.status() == 504);
    CHECK(responder.Header("Quetzalpost-Outcome") == "unknown");
    CHECK(responder.Header("Retry-After").empty());
  }
}

// Guards against a header or body that is taken for something else.
TEST_CASE("Malformed requests are refused and not run", "[caller_api]") {
  Fixture fixture;
  auto request = Fixture::Chat(false);
  unsigned status = 400;
  SECTION("deadline of zero") { request.set("Quetzalpost-Deadline-Ms", "0"); }
  SECTION("deadline with a unit") {
    request.set("Quetzalpost-Deadline-Ms", "5s");
  }
  SECTION("body that is not JSON") { request.body() = "{"; }
  SECTION("no messages") { request.body() = R"({"model":"questions"})"; }
  SECTION("max_tokens of zero") {
    request.body() = R"({"model":"questions","max_tokens":0,)"
                     R"("messages":[{"role":"user","content":"a"}]})";
  }
  SECTION("class of a service") {
    request.body() = R"({"model":"bookings",)"
                     R"("messages":[{"role":"user","content":"a"}]})";
    status = 404;
  }
  SECTION("unknown path") {
    request.target("/v1/chat");
    status = 404;
  }
  SECTION("other method") {
    request.method(qp::http::Verb::get);
    status = 405;
  }
  const auto responder = fixture.Handle(std::move(request));
  CHECK(responder.status() == status);
  CHECK(responder.Header("Quetzalpost-Outcome") == "not_run");
  CHECK(responder.Header("X-Request-Id") == "req-1");
  const auto body = nlohmann::json::parse(responder.response.body());
  CHECK(body["outcome"] == "not_run");
  CHECK(body["error"].contains("code"));
}

// Guards against an answer counted as complete that no caller received.
TEST_CASE("A complete answer that was not delivered counts as unknown",
          "[caller_api]") {
  Fixture fixture;
  const bool stream = GENERATE(false, true);
  qp::testing::RecordedResponder responder;
  responder.gone = true;
  REQUIRE_CALL(fixture.chat, Run(_, _)).LR_RETURN(Answer(_2, {}, kComplete));
  auto task = [&]() -> qp::Task<bool> {
    co_await fixture.api.Handle(Fixture::Chat(stream), responder);
    co_return true;
  };
  REQUIRE(fixture.runtime.RunFor(task(), 1s));
  CHECK(fixture.metrics.Text().find(
            R"({class="questions",outcome="unknown"} 1)") != std::string::npos);
}

// Guards against series without bound: names from callers are no labels.
TEST_CASE("Metrics take class names from the configuration only",
          "[caller_api]") {
  Fixture fixture;
  fixture.Handle(Fixture::Post(
      "/v1/chat/completions",
      R"({"model":"x1","messages":[{"role":"user","content":"a"}]})"));
  const std::string text = fixture.metrics.Text();
  CHECK(text.find("x1") == std::string::npos);
  CHECK(
      text.find(
          R"(quetzalpost_requests_total{class="none",outcome="not_run"} 1)") !=
      std::string::npos);
}
