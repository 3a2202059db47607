#include "daemon/backend_status.h"

#include <catch2/catch.hpp>

namespace {

const qp::Vm kEngine{"engine-1", "engine", "127.0.0.1:1",
                     "sindh",    "kar-a",  qp::VmState::kLive};

}  // namespace

TEST_CASE("An engine's status becomes an observation", "[backend]") {
  const auto seen = qp::ObservationOf(
      kEngine,
      R"({"engine":"e","model":"m","kind":"t4","first_layer":2,)"
      R"("last_layer":5,"slots":8,"running":3,"queued":1,"leaving":true,)"
      R"("incarnation":9,"added_later":1})");
  REQUIRE(seen);
  CHECK(seen->backend == "engine-1");
  CHECK(seen->model == "m");
  CHECK(seen->first_layer == 2);
  CHECK(seen->last_layer == 5);
  CHECK(seen->running == 3);
  CHECK(seen->queued == 1);
  CHECK(seen->incarnation == 9);
  CHECK(seen->leaving);
}

// A server must not enter the routing by an answer that says nothing of it.
TEST_CASE("A status that is no object is no observation", "[backend]") {
  CHECK_FALSE(qp::ObservationOf(kEngine, "[]"));
  CHECK_FALSE(qp::ObservationOf(kEngine, "<html>"));
}

TEST_CASE("Engines and services have different status paths", "[backend]") {
  CHECK(qp::StatusTarget("engine") == "/v1/engine/status");
  CHECK(qp::StatusTarget("service") == "/status");
}
