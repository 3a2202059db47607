#include "relay/callers/request_access.h"

#include <catch2/catch.hpp>

#include "relay/relay_harness.h"

namespace qp::relay::testing {

namespace {

ActiveConfiguration MakeActive(bool has_unreadable_workspace = false) {
  Route open = MakeRoute("/open/", RetryPolicy::kNever);
  open.anonymous = true;
  DeploymentConfiguration configuration;
  configuration.routes =
      ShareRoutes({MakeRoute("/a/", RetryPolicy::kNever), open});
  configuration.has_workspaces = true;
  configuration.workspaces_by_key["k1"].name = "w1";
  configuration.has_unreadable_workspace = has_unreadable_workspace;
  return ActiveConfiguration(std::move(configuration));
}

RequestMetadata MakeMetadata(std::string path, std::string key) {
  RequestMetadata metadata;
  metadata.host = "shop.example";
  metadata.path = std::move(path);
  metadata.key = std::move(key);
  return metadata;
}

/// Part of a request, without the end of its body.
std::string Unfinished(const std::string& path, const std::string& key) {
  return "POST " + path + " HTTP/1.1\r\nHost: shop.example\r\nKey: " + key +
         "\r\nContent-Length: 100\r\nExpect: 100-continue\r\n\r\nabc";
}

}  // namespace

TEST_CASE("A request has access by its route and its key",
          "[relay][request_access]") {
  const ActiveConfiguration active = MakeActive();
  const auto known = CheckAccess(MakeMetadata("/a/1", "k1"), active);
  CHECK_FALSE(known.refusal);
  REQUIRE(known.workspace != nullptr);
  CHECK(known.workspace->name == "w1");
  CHECK(known.route->prefix == "/a/");
  const auto anonymous = CheckAccess(MakeMetadata("/open/1", "k2"), active);
  CHECK_FALSE(anonymous.refusal);
  CHECK(anonymous.workspace == nullptr);
  CHECK(CheckAccess(MakeMetadata("/a/1", "k2"), active).refusal->status == 401);
  CHECK(CheckAccess(MakeMetadata("/b/1", "k1"), active).refusal->status == 404);
}

TEST_CASE("An unknown key is refused for a time while keys are unreadable",
          "[relay][request_access]") {
  const auto access = CheckAccess(MakeMetadata("/a/1", "k2"), MakeActive(true));
  REQUIRE(access.refusal);
  CHECK(access.refusal->status == 503);
  CHECK(access.refusal->retry_after);
}

TEST_CASE("A request that its head excludes is refused before its body",
          "[relay][request_access]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  CHECK(harness.Receives(harness.Call(Unfinished("/a/1", "unknown")),
                         "HTTP/1.1 401"));
  CHECK(
      harness.Receives(harness.Call(Unfinished("/b/1", "k1")), "HTTP/1.1 404"));
  Peer& sound = harness.Call(Unfinished("/a/1", "k1"));
  CHECK(harness.Receives(sound, "HTTP/1.1 100 Continue"));
  CHECK(sound.received.find("HTTP/1.1 4") == std::string::npos);
  for (const auto& caller : harness.callers) {
    CHECK((caller.get() == &sound ||
           caller->received.find("100 Continue") == std::string::npos));
  }
}

// Guards against requests that are lost behind a refused one.
TEST_CASE("A request behind a refused one is served",
          "[relay][request_access]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  auto& server = harness.AddServer("s1");
  const std::string body(1000, 'x');
  Peer& caller = harness.Call(
      "POST /b/1 HTTP/1.1\r\nHost: shop.example\r\nKey: k1\r\n"
      "Content-Length: 1000\r\n\r\n" +
      body.substr(0, 10));
  REQUIRE(harness.Receives(caller, "HTTP/1.1 404"));
  CHECK(harness.relay.input_budget.held() < 200);
  caller.channel->Write(body.substr(10) + RelayHarness::Request("/a/2"));
  CHECK(harness.Gets(server, 1));
  CHECK_FALSE(caller.ended);
}

TEST_CASE("A refused request that does not end gets no second response",
          "[relay][request_access]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  Peer& caller = harness.Call(
      "POST /b/1 HTTP/1.1\r\nHost: shop.example\r\nKey: k1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n");
  REQUIRE(harness.Receives(caller, "HTTP/1.1 404"));
  SECTION("at the timeout") {
    for (int step = 0; step < 50; ++step) {
      harness.runtime.Advance(std::chrono::milliseconds(100));
    }
  }
  SECTION("when the rest can't be read") {
    caller.channel->Write("no chunk\r\n");
  }
  SECTION("when it makes room") {
    harness.relay.input_budget.SetLimit(1);
    caller.channel->Write("4\r\nbo");
  }
  CHECK(harness.Until([&] {
    harness.runtime.Advance(std::chrono::milliseconds(100));
    return caller.ended;
  }));
  CHECK(caller.received.rfind("HTTP/1.1") == 0);
}

TEST_CASE("A request is not refused by its head without a configuration",
          "[relay][request_access]") {
  RelayHarness harness;
  Peer& caller = harness.Call(Unfinished("/a/1", "k1"));
  REQUIRE(harness.Receives(caller, "100 Continue"));
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  auto& server = harness.AddServer("s1");
  caller.channel->Write(std::string(97, 'x'));
  CHECK(harness.Gets(server, 1));
}

}  // namespace qp::relay::testing
