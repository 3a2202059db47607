#include "relay/callers/workspace_memory.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "relay/relay_harness.h"

namespace qp::relay::testing {

namespace {

constexpr std::size_t kLimit = 1000;
using Shares = std::vector<std::unique_ptr<WorkspaceMemory::Share>>;

bool Take(WorkspaceMemory& memory, Shares& shares, std::string_view workspace,
          std::size_t bytes) {
  auto share = std::make_unique<WorkspaceMemory::Share>(memory);
  if (!share->Acquire(workspace, bytes, kLimit)) {
    return false;
  }
  shares.push_back(std::move(share));
  return true;
}

}  // namespace

TEST_CASE("One workspace leaves a fifth of the memory to others",
          "[relay][workspace_memory]") {
  WorkspaceMemory memory;
  Shares large;
  while (Take(memory, large, "large", 10)) {
  }
  CHECK(memory.held() == 800);
  Shares other;
  CHECK(Take(memory, other, "other", 100));
  CHECK_FALSE(Take(memory, large, "large", 10));
  other.clear();
  large.clear();
  CHECK(memory.held() == 0);
}

TEST_CASE("The only running request of a workspace is never refused",
          "[relay][workspace_memory]") {
  WorkspaceMemory memory;
  Shares shares;
  REQUIRE(Take(memory, shares, "", 900));
  CHECK(Take(memory, shares, "other", kLimit));
  CHECK_FALSE(Take(memory, shares, "other", 1));
}

TEST_CASE("Each workspace that holds nothing finds memory left",
          "[relay][workspace_memory]") {
  REQUIRE(rc::check([] {
    WorkspaceMemory memory;
    Shares shares;
    const int workspaces = *rc::gen::inRange(1, 6);
    std::size_t first_requests = 0;
    for (int count = *rc::gen::inRange(1, 200); count > 0; --count) {
      const auto name = std::to_string(*rc::gen::inRange(0, workspaces));
      const auto bytes = *rc::gen::inRange<std::size_t>(1, 20);
      Take(memory, shares, name, bytes);
      first_requests = static_cast<std::size_t>(workspaces) * 20;
    }
    // What each workspace may take beyond the first request obeys the
    // thresholds, which never use up the memory.
    RC_ASSERT(memory.held() < kLimit + first_requests);
    const std::size_t before = memory.held();
    Shares newcomer;
    RC_ASSERT(Take(memory, newcomer, "new", 1));
    newcomer.clear();
    RC_ASSERT(memory.held() == before);
  }));
}

TEST_CASE("A workspace over its share is refused with 503, others are served",
          "[relay][workspace_memory]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  auto configuration = harness.relay.active_configuration->configuration;
  configuration.workspaces_by_key["k2"].name = "w2";
  harness.relay.active_configuration =
      std::make_shared<const ActiveConfiguration>(configuration);
  harness.relay.input_budget.SetLimit(500'000);
  auto& server = harness.AddServer("s1");
  const std::string body(50'000, 'x');
  const auto request = [&body](std::string key) {
    return "POST /a/1 HTTP/1.1\r\nHost: shop.example\r\nKey: " + key +
           "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  };
  for (int count = 1; count <= 3; ++count) {
    harness.Call(request("k1"));
    REQUIRE(harness.Gets(server, count));
  }
  Peer& fourth = harness.Call(request("k1"));
  CHECK(harness.Receives(fourth, "HTTP/1.1 503"));
  CHECK(fourth.received.find("Retry-After") != std::string::npos);
  harness.Call(request("k2"));
  CHECK(harness.Gets(server, 4));
}

}  // namespace qp::relay::testing
