#include "relay/server.h"

#include <catch2/catch.hpp>
#include <chrono>

namespace qp::relay::testing {

namespace {

using std::chrono::milliseconds;

const TimePoint kNow{std::chrono::hours(1)};

}  // namespace

TEST_CASE("Suspicion grows with failures in a row and ends with progress",
          "[relay][servers]") {
  Server server;
  server.RecordFailure(kNow);
  const auto first = server.suspect_until;
  server.RecordFailure(kNow);
  CHECK(server.suspect_until > first);
  server.RecordProgress(kNow);
  CHECK_FALSE(server.IsSuspect(kNow));
  server.RecordFailure(kNow);
  CHECK(server.suspect_until == first);
}

TEST_CASE("Events of running streams don't end a refusal", "[relay][servers]") {
  Server server;
  server.RecordRefusal(kNow, kNow - milliseconds(5));
  server.RecordProgress(kNow + milliseconds(10));
  CHECK(server.IsSuspect(kNow + milliseconds(20)));
}

TEST_CASE("Refusals in a row keep requests away for longer",
          "[relay][servers]") {
  Server server;
  server.RecordRefusal(kNow, kNow - milliseconds(5));
  const Duration first = server.refusing_until - kNow;
  const TimePoint next = server.refusing_until + milliseconds(5);
  SECTION("if the request was sent after the last refusal") {
    server.RecordRefusal(next, next - milliseconds(5));
    CHECK(server.refusing_until - next > first);
  }
  SECTION("but not if several were on their way") {
    server.RecordRefusal(next, kNow - milliseconds(1));
    CHECK(server.refusing_until - next <= first);
  }
  SECTION("until one is accepted again") {
    server.RecordAccepted(next);
    CHECK_FALSE(server.IsSuspect(next));
    server.RecordRefusal(next, next - milliseconds(5));
    CHECK(server.refusing_until - next == first);
  }
}

TEST_CASE("A request that was accepted before a refusal does not end it",
          "[relay][servers]") {
  Server server;
  server.RecordRefusal(kNow, kNow - milliseconds(5));
  server.RecordAccepted(kNow - milliseconds(1));
  CHECK(server.IsSuspect(kNow + milliseconds(20)));
}

TEST_CASE("Refusals that peers report keep requests away", "[relay][servers]") {
  Server server;
  server.RecordPeerRefusal(kNow + milliseconds(300));
  CHECK(server.IsSuspect(kNow + milliseconds(200)));
  CHECK_FALSE(server.IsSuspect(kNow + milliseconds(300)));
  server.RecordPeerRefusal(kNow + milliseconds(100));
  CHECK(server.IsSuspect(kNow + milliseconds(200)));
}

TEST_CASE("A pause that a server asks for lasts to its end",
          "[relay][servers][pause]") {
  Server server;
  server.RecordPause(kNow, milliseconds(2000));
  CHECK(server.IsPaused(kNow + milliseconds(1999)));
  CHECK_FALSE(server.IsPaused(kNow + milliseconds(2000)));
  SECTION("also if a shorter one follows") {
    server.RecordPause(kNow + milliseconds(100), milliseconds(10));
  }
  SECTION("also if it accepts what was sent before") {
    server.RecordAccepted(kNow + milliseconds(100));
    server.RecordProgress(kNow + milliseconds(100));
  }
  CHECK(server.IsPaused(kNow + milliseconds(1999)));
}

TEST_CASE("A server that is leaving is not usable", "[relay][servers]") {
  Server server;
  CHECK(server.IsUsable());
  server.leaving = true;
  CHECK_FALSE(server.IsUsable());
}

}  // namespace qp::relay::testing
