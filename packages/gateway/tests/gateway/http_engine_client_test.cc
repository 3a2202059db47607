#include "gateway/http_engine_client.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "gateway/engine_messages.h"
#include "gateway/loopback_server.h"

using namespace std::chrono_literals;
using qp::ErrorCode;
using qp::http::Status;

namespace {

constexpr const char* kStreams = "/v1/engine/streams";

const std::string kTokenLine =
    R"({"request":"r","attempt":2,"position":1,"token":"","first_layer":0,)"
    R"("last_layer":7})"
    "\n";

struct Fixture {
  qp::StreamRequest Request() const {
    qp::StreamRequest request;
    request.request = "r";
    request.attempt = 2;
    request.model = "desk-assist";
    request.prompt = "user: Why?\n";
    request.tokens = {"Be"};
    request.max_tokens = 8;
    request.deadline = 1500ms;
    request.route = {{"e1", this->server.address, 0, 3},
                     {"e2", "127.0.0.1:9", 4, 7}};
    return request;
  }

  auto Open() {
    auto opened = this->runtime.RunFor(client.Open(Request(), 5s), 10s);
    REQUIRE(opened);
    return std::move(*opened);
  }

  auto Next(qp::TokenStream& stream) {
    auto item = this->runtime.RunFor(stream.Next(5s), 10s);
    REQUIRE(item);
    return std::move(*item);
  }

  auto TransferKv(std::uint32_t last_layer = 3) {
    const qp::RouteStage from{"e1", this->server.address, 0, 3};
    const qp::RouteStage to{"e2", this->target.address, 0, last_layer};
    auto done =
        this->runtime.RunFor(client.TransferKv("a/b&c", from, to, 5s), 10s);
    REQUIRE(done);
    return *done;
  }

  qp::testing::TestRuntime runtime;
  qp::testing::LoopbackServer server{runtime};
  qp::testing::LoopbackServer target{runtime};
  qp::http::Client http{runtime.io(), runtime.clock()};
  qp::HttpEngineClient client{runtime.io(), runtime.clock(), http};
};

}  // namespace

// Guards against a request or a record that differs from the design page, and
// against dropping the empty token, which is a token like others.
TEST_CASE("A stream is opened and read as the design page says",
          "[http_engine_client]") {
  Fixture fixture;
  fixture.server.Answer(
      kStreams, Status::ok,
      kTokenLine + R"({"request":"r","attempt":2,"finish":"stop"})" + "\n");
  auto opened = fixture.Open();
  REQUIRE(opened.has_value());
  const auto sent = nlohmann::json::parse(fixture.server.requests[0].body());
  CHECK(sent["tokens"] == nlohmann::json({"Be"}));
  CHECK(sent["deadline_ms"] == 1500);
  CHECK(sent["route"][1]["last_layer"] == 7);
  CHECK(sent["attempt"] == 2);

  auto& stream = *opened.value();
  const auto first = fixture.Next(stream);
  REQUIRE(first.has_value());
  const auto& token = std::get<qp::TokenRecord>(first.value());
  CHECK(token.position == 1);
  CHECK(token.token.empty());
  CHECK(token.last_layer == 7);
  const auto last = fixture.Next(stream);
  REQUIRE(last.has_value());
  CHECK(std::get<qp::StreamFinish>(last.value()).reason == "stop");
}

// Guards against a stream that stops early and is taken for a whole answer.
TEST_CASE("A stream without its end is an error", "[http_engine_client]") {
  Fixture fixture;
  const bool cut = GENERATE(false, true);
  fixture.server.Answer(kStreams, Status::ok, kTokenLine, cut);
  auto opened = fixture.Open();
  REQUIRE(opened.has_value());
  CHECK(fixture.Next(*opened.value()).has_value());
  const auto end = fixture.Next(*opened.value());
  REQUIRE(end.has_error());
  CHECK(end.error().peer == fixture.server.address);
}

// Guards against a refusal that is retried at the same engine or counted as
// started.
TEST_CASE("A refusal and a missing engine are told apart",
          "[http_engine_client]") {
  Fixture fixture;
  fixture.server.Answer(kStreams, Status::service_unavailable,
                        R"({"error":{"code":"leaving"}})");
  const auto refused = fixture.Open();
  REQUIRE(refused.has_error());
  CHECK(refused.error().code == ErrorCode::kRefused);
  CHECK(refused.error().detail.find("leaving") != std::string::npos);
}

// Guards against blaming the first stage for the loss of a later one, and
// against records that are taken although they are malformed.
TEST_CASE("Failures name the stage; malformed records are protocol errors",
          "[http_engine_client]") {
  const auto failure = qp::ReadStreamItem(
      R"({"request":"r","attempt":2,"error":{"code":"peer_lost","peer":"e2",)"
      R"("step":"engine.step"}})",
      "a");
  REQUIRE(failure.has_value());
  const auto& failed = std::get<qp::StreamFailure>(failure.value());
  CHECK(failed.error.peer == "e2");
  CHECK(failed.error.detail == "peer_lost");

  // A member that is not known must not turn a failure into a malformed record.
  const auto extended = qp::ReadStreamItem(
      R"({"request":"r","attempt":2,"more":1,"error":{"code":"kv_missing",)"
      R"("peer":"e2","step":"engine.step","have":3}})",
      "a");
  REQUIRE(extended.has_value());
  CHECK(std::get<qp::StreamFailure>(extended.value()).error.code ==
        ErrorCode::kNotFound);

  const auto* line =
      GENERATE("", "[]", "{", R"({"request":"r","attempt":2})",
               R"({"request":"r","attempt":-1,"position":0,"token":"a",)"
               R"("first_layer":0,"last_layer":7})",
               R"({"request":"r","attempt":2,"position":0,"token":7,)"
               R"("first_layer":0,"last_layer":7})");
  const auto item = qp::ReadStreamItem(line, "a");
  REQUIRE(item.has_error());
  CHECK(item.error().code == ErrorCode::kProtocol);
}

// Guards against an engine that goes on generating for nobody.
TEST_CASE("Cancel tells the engine once and ends the stream",
          "[http_engine_client]") {
  Fixture fixture;
  fixture.server.Answer(kStreams, Status::ok, kTokenLine);
  auto opened = fixture.Open();
  REQUIRE(opened.has_value());
  opened.value()->Cancel();
  opened.value()->Cancel();
  fixture.runtime.Advance(100ms);
  REQUIRE(fixture.server.requests.size() == 2);
  const auto& notice = fixture.server.requests[1];
  CHECK(notice.target() == "/v1/engine/cancel");
  CHECK(nlohmann::json::parse(notice.body()) ==
        nlohmann::json({{"request", "r"}, {"attempt", 2}}));
  CHECK(fixture.Next(*opened.value()).has_error());
}

// Guards against a cache imported for other layers, and against request ids
// from callers that change the query.
TEST_CASE("A KV cache is copied between engines of equal layers",
          "[http_engine_client]") {
  Fixture fixture;
  fixture.server.Answer("/v1/engine/kv", Status::ok, R"({"request":"a/b&c"})");
  fixture.target.Answer("/v1/engine/kv", Status::ok, "{}");
  SECTION("copied as it is") {
    CHECK(fixture.TransferKv().has_value());
    CHECK(qp::http::QueryParameter(fixture.server.requests[0], "request") ==
          "a/b&c");
    CHECK(fixture.target.requests[0].method() == qp::http::Verb::put);
    CHECK(fixture.target.requests[0].body() == R"({"request":"a/b&c"})");
  }
  SECTION("the source no longer has it") {
    fixture.server.Answer("/v1/engine/kv", Status::not_found, "{}");
    const auto done = fixture.TransferKv();
    REQUIRE(done.has_error());
    CHECK(done.error().code == ErrorCode::kNotFound);
    CHECK(fixture.target.requests.empty());
  }
  SECTION("other layers") {
    const auto done = fixture.TransferKv(4);
    REQUIRE(done.has_error());
    CHECK(done.error().code == ErrorCode::kInvalidArgument);
    CHECK(fixture.server.requests.empty());
  }
  SECTION("the target does not take it") {
    fixture.target.Answer("/v1/engine/kv", Status::conflict, "{}");
    CHECK(fixture.TransferKv().has_error());
  }
}
