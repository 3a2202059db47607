#include "gateway/http_service_client.h"

#include <catch2/catch.hpp>

#include "gateway/loopback_server.h"

using namespace std::chrono_literals;
using qp::ErrorCode;
using qp::http::Status;

namespace {

struct Fixture {
  auto Call(const std::string& address, qp::ServiceCall call) {
    auto reply =
        this->runtime.RunFor(client.Call(address, std::move(call), 5s), 10s);
    REQUIRE(reply);
    return std::move(*reply);
  }

  qp::testing::TestRuntime runtime;
  qp::testing::LoopbackServer server{runtime};
  qp::http::Client http{runtime.io(), runtime.clock()};
  qp::HttpServiceClient client{http};
};

const qp::ServiceCall kHold{"hold", "r", "key-1", R"({"n":1})"};

}  // namespace

// Guards against a call that the service cannot recognize as a repeated one.
TEST_CASE("A call carries its key, id and body", "[http_service_client]") {
  Fixture fixture;
  fixture.server.Answer("/hold", Status::conflict, R"({"held":0})");
  const auto reply = fixture.Call(fixture.server.address, kHold);
  REQUIRE(reply.has_value());
  CHECK(reply.value().status == 409);
  CHECK(reply.value().body == R"({"held":0})");
  const auto& sent = fixture.server.requests.at(0);
  CHECK(qp::http::HeaderOr(sent, "Idempotency-Key") == "key-1");
  CHECK(qp::http::HeaderOr(sent, "X-Request-Id") == "r");
  CHECK(sent.body() == R"({"n":1})");
}

// Guards against reporting a call as not run that was sent, and the reverse.
TEST_CASE("Errors tell whether the call was sent", "[http_service_client]") {
  Fixture fixture;
  SECTION("nobody listens") {
    const auto reply = fixture.Call("127.0.0.1:1", kHold);
    REQUIRE(reply.has_error());
    CHECK(reply.error().code == ErrorCode::kUnavailable);
  }
  SECTION("the service declines before it starts the call") {
    fixture.server.Answer("/hold", Status::service_unavailable, "leaving");
    const auto reply = fixture.Call(fixture.server.address, kHold);
    REQUIRE(reply.has_error());
    CHECK(reply.error().code == ErrorCode::kRefused);
  }
  SECTION("the answer is cut short") {
    fixture.server.Answer("/hold", Status::ok, R"({"he)", true);
    const auto reply = fixture.Call(fixture.server.address, kHold);
    REQUIRE(reply.has_error());
    CHECK(reply.error().code == ErrorCode::kUnknownEffect);
    CHECK(reply.error().peer == fixture.server.address);
  }
}

// Guards against a call that must run at most once on a kept connection, where
// a lost write can't be told from a lost answer.
TEST_CASE("A call with a key never uses a kept connection",
          "[http_service_client]") {
  Fixture fixture;
  fixture.server.Answer("/price", Status::ok, "{}");
  fixture.server.Answer("/hold", Status::ok, "{}");
  const qp::ServiceCall look_up{"price", "r", "", "{}"};
  REQUIRE(fixture.Call(fixture.server.address, look_up).has_value());
  fixture.server.Stop();
  SECTION("with a key: nothing is sent") {
    const auto reply = fixture.Call(fixture.server.address, kHold);
    REQUIRE(reply.has_error());
    CHECK(reply.error().code == ErrorCode::kUnavailable);
    CHECK(fixture.server.requests.size() == 1);
  }
  SECTION("without a key: the kept connection serves") {
    CHECK(fixture.Call(fixture.server.address, look_up).has_value());
  }
}
