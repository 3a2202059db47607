#include "gateway/operator_api.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include "gateway/bearer_token.h"
#include "gateway/recorded_responder.h"
#include "testing/test_runtime.h"

using namespace std::chrono_literals;
using nlohmann::json;
using qp::Result;
using qp::Task;

namespace {

class OperatorMock : public qp::OperatorService {
 public:
  MAKE_MOCK0(CurrentConfiguration, Result<json>(), override);
  MAKE_MOCK3(Change, Task<qp::ChangeReport>(json, std::uint64_t, std::string),
             override);
  MAKE_MOCK0(History, Task<Result<json>>(), override);
  MAKE_MOCK1(ResolveChange, Task<qp::ChangeReport>(std::string), override);
  MAKE_MOCK0(StatusReport, json(), override);
  MAKE_MOCK0(TimelineReport, json(), override);
  MAKE_MOCK1(Forecast, Task<Result<json>>(json), override);
  MAKE_MOCK0(Spending, Task<Result<json>>(), override);
  MAKE_MOCK0(Drain, void(), override);
  MAKE_MOCK0(MetricsText, std::string(), override);
  MAKE_MOCK0(IsReady, bool(), override);
};

template <class T>
Task<T> Ready(T value) {
  co_return value;
}

qp::ChangeReport Report(qp::ChangeStatus status) {
  return {status, "4-00", 5, {"entry-3"}, json::array(), ""};
}

struct Fixture {
  qp::testing::RecordedResponder Handle(qp::http::Verb verb,
                                        std::string_view target,
                                        std::string body = {},
                                        const char* token = "secret") {
    auto request = qp::http::MakeRequest(verb, target, std::move(body));
    request.set("Authorization", std::string("Bearer ") + token);
    qp::testing::RecordedResponder responder;
    auto task = [&]() -> Task<bool> {
      co_await this->api.Handle(std::move(request), responder);
      co_return true;
    };
    REQUIRE(this->runtime.RunFor(task(), 1s));
    return responder;
  }

  qp::testing::TestRuntime runtime;
  OperatorMock service;
  qp::NullEventSink events;
  qp::OperatorApi api{service, qp::Sha256Hex("secret"), events, 7};
};

}  // namespace

// Guards against operations for strangers; the mock fails on any call.
TEST_CASE("Operations need the operators' token", "[operator_api]") {
  Fixture fixture;
  const auto* token = GENERATE("", "guess");
  const auto [verb, target] = GENERATE(table<qp::http::Verb, std::string>({
      {qp::http::Verb::get, "/v1/configuration"},
      {qp::http::Verb::put, "/v1/configuration?expected_version=1"},
      {qp::http::Verb::post, "/v1/drain"},
      {qp::http::Verb::get, "/v1/timeline"},
  }));
  CHECK(fixture.Handle(verb, target, "{}", token).status() == 401);
}

// Guards against a load balancer that is told "ready" or needs a token.
TEST_CASE("Probes and metrics need no token", "[operator_api]") {
  Fixture fixture;
  const auto get = qp::http::Verb::get;
  CHECK(fixture.Handle(get, "/healthz", "", "").status() == 200);
  REQUIRE_CALL(fixture.service, IsReady()).RETURN(false);
  CHECK(fixture.Handle(get, "/readyz", "", "").status() == 503);
  REQUIRE_CALL(fixture.service, MetricsText()).RETURN("quetzalpost_ready 1\n");
  CHECK(fixture.Handle(get, "/metrics", "", "").response.body() ==
        "quetzalpost_ready 1\n");
}

// Guards against an answer that misreports what became of a change.
TEST_CASE("Each result of a change has its own status and outcome",
          "[operator_api]") {
  Fixture fixture;
  using qp::ChangeStatus;
  const auto row =
      GENERATE(table<ChangeStatus, unsigned, std::string, std::string>({
          {ChangeStatus::kInForce, 200, "in_force", "complete"},
          {ChangeStatus::kPending, 202, "pending", "complete"},
          {ChangeStatus::kRefused, 409, "refused", "not_run"},
          {ChangeStatus::kInvalid, 400, "invalid", "not_run"},
          {ChangeStatus::kUnknown, 504, "unknown", "unknown"},
          {ChangeStatus::kUnavailable, 503, "unavailable", "not_run"},
      }));
  REQUIRE_CALL(fixture.service, Change(json({{"a", 1}}), 4U, "4-00"))
      .LR_RETURN(Ready(Report(std::get<0>(row))));
  const auto responder = fixture.Handle(
      qp::http::Verb::put,
      "/v1/configuration?expected_version=4&change_id=4-00", R"({"a":1})");
  CHECK(responder.status() == std::get<1>(row));
  CHECK(responder.Header("Quetzalpost-Outcome") == std::get<3>(row));
  const auto body = json::parse(responder.response.body());
  CHECK(body["status"] == std::get<2>(row));
  CHECK(body["pending"] == json({"entry-3"}));
}

// Guards against a change that overwrites a version its author never saw.
TEST_CASE("A change names the version that it is based on", "[operator_api]") {
  Fixture fixture;
  const auto* query = GENERATE(
      "", "?expected_version=", "?expected_version=x", "?expected_version=-1",
      "?expected_version=4&change_id=x", "?expected_version=4&change_id=5-00");
  const auto responder = fixture.Handle(
      qp::http::Verb::put, std::string("/v1/configuration") + query, "{}");
  CHECK(responder.status() == 400);
}

// Guards against errors reported as success and paths that answer wrongly.
TEST_CASE("Reports, errors and unknown paths", "[operator_api]") {
  Fixture fixture;
  SECTION("a report that cannot be made now") {
    REQUIRE_CALL(fixture.service, Spending())
        .RETURN(Ready(Result<json>(
            qp::Error{qp::ErrorCode::kUnavailable, "table.read", "t", ""})));
    const auto responder = fixture.Handle(qp::http::Verb::get, "/v1/spending");
    CHECK(responder.status() == 503);
    CHECK(responder.Header("Retry-After") == "1");
  }
  SECTION("a forecast without a body is for the configuration in force") {
    REQUIRE_CALL(fixture.service, Forecast(json()))
        .RETURN(Ready(Result<json>(json({{"total", 3}}))));
    CHECK(fixture.Handle(qp::http::Verb::post, "/v1/forecast").status() == 200);
  }
  SECTION("a change is resolved by its id") {
    REQUIRE_CALL(fixture.service, ResolveChange("4-00"))
        .RETURN(Ready(Report(qp::ChangeStatus::kInForce)));
    CHECK(fixture.Handle(qp::http::Verb::get, "/v1/configuration/changes/4-00")
              .status() == 200);
  }
  SECTION("a drain by GET is refused") {
    CHECK(fixture.Handle(qp::http::Verb::get, "/v1/drain").status() == 405);
  }
  SECTION("unknown path") {
    CHECK(fixture.Handle(qp::http::Verb::get, "/v1/other").status() == 404);
  }
}
