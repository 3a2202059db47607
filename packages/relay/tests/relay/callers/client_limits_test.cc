#include "relay/callers/client_limits.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "relay/recording_event_sink.h"
#include "relay/relay_harness.h"

namespace qp::relay::testing {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kChunkedHead =
    "POST /a/1 HTTP/1.1\r\nHost: shop.example\r\nKey: k1\r\nAttempt: a1\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

}  // namespace

TEST_CASE("The limits follow from the machine unless they are set",
          "[relay][client_limits]") {
  const MachineLimits smallest{112ULL * 1024 * 1024, 2870};
  const ClientLimits limits = ComputeClientLimits(smallest, {});
  CHECK(limits.held_bytes == 112ULL * 1024 * 1024 / 3);
  CHECK(limits.connections == 1700);
  CHECK(ComputeClientLimits(smallest, {5, 0}).held_bytes == 5);
  CHECK(ComputeClientLimits(smallest, {0, 7}).connections == 7);
  CHECK(ComputeClientLimits({0, 20}, {}).connections == 16);
}

TEST_CASE("What the kernel buffers follows from the other limits",
          "[relay][client_limits]") {
  const auto compute = [](std::size_t held_bytes, std::size_t connections) {
    return ComputeClientLimits({}, {held_bytes, connections});
  };
  CHECK(compute(37 << 20, 1700).socket_buffer_bytes == 17'115);
  CHECK(compute(37 << 20, 1700).backlog == 850);
  CHECK(compute(37 << 20, 1700).buffered_response_bytes == 37 << 18);
  CHECK(compute(1 << 20, 1700).socket_buffer_bytes == 16 * 1024);
  CHECK(compute(1 << 30, 16).socket_buffer_bytes == 256 * 1024);
  CHECK(compute(1 << 30, 16).backlog == 128);
}

TEST_CASE("The lower limit of the machine counts, whoever names it",
          "[relay][client_limits]") {
  const MachineLimits host{24'000'000'000, 20'000};
  CHECK(CombineMachineLimits(host, {112'000'000, 2870}).memory_bytes ==
        112'000'000);
  CHECK(CombineMachineLimits(host, {112'000'000, 2870}).descriptors == 2870);
  CHECK(CombineMachineLimits({64'000'000, 500}, host).memory_bytes ==
        64'000'000);
  CHECK(CombineMachineLimits({64'000'000, 500}, host).descriptors == 500);
  CHECK(CombineMachineLimits(host, {}).memory_bytes == host.memory_bytes);
  CHECK(CombineMachineLimits({}, host).descriptors == host.descriptors);
}

TEST_CASE("Connections give way by use, then by age",
          "[relay][client_limits]") {
  const TimePoint now{};
  const ConnectionState idle{ConnectionUse::kIdle, now};
  CHECK(
      GivesWayBefore({ConnectionUse::kAnswered, now + milliseconds(1)}, idle));
  CHECK(
      GivesWayBefore(idle, {ConnectionUse::kArriving, now - milliseconds(1)}));
  CHECK(GivesWayBefore({ConnectionUse::kIdle, now - milliseconds(1)}, idle));
  CHECK_FALSE(GivesWayBefore(idle, idle));
}

TEST_CASE("A part of a request that does not end is refused",
          "[relay][client_limits]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  const std::string filler(64 * 1024, '0');
  const auto part = GENERATE(as<std::string>(), "0\r\nX-Long: ", "4;x=", "0");
  Peer& caller = harness.Call(std::string(kChunkedHead) + part + filler);
  CHECK(harness.Receives(caller, "HTTP/1.1 431"));
  CHECK(harness.relay.input_budget.held() == 0);
}

TEST_CASE("Trailers do not become headers of the request",
          "[relay][client_limits]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  auto& server = harness.AddServer("s1");
  harness.Call(std::string(kChunkedHead) +
               "3\r\nabc\r\n0\r\nAttempt: other\r\nKey: other\r\n\r\n");
  REQUIRE(harness.Gets(server, 1));
  CHECK(harness.Receives(server.last(), "Content-Length: 3\r\n\r\nabc"));
  CHECK(server.last().received.find("Attempt: a1") != std::string::npos);
}

// Guards against a request that ran under the id of its trailer: what arrived
// in one read was parsed up to its end before the head was taken.
TEST_CASE("Trailers that arrive together with the head are discarded",
          "[relay][client_limits]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  auto& server = harness.AddServer("s1");
  Peer& caller = harness.Call(
      "POST /a/1 HTTP/1.1\r\nHost: shop.example\r\nKey: k1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n"
      "3\r\nabc\r\n0\r\nAttempt: other\r\nDeadline-Ms: 1\r\n\r\n");
  REQUIRE(harness.Gets(server, 1));
  CHECK(harness.Receives(server.last(), "Content-Length: 3\r\n\r\nabc"));
  CHECK(server.last().received.find("Attempt: other") == std::string::npos);
  CHECK(caller.received.empty());
}

// Guards against buffers that kept their memory: assigning an empty string to a
// std::string frees nothing.
TEST_CASE("The input buffer of an arriving request is freed once it is parsed",
          "[relay][client_limits]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  harness.Call(std::string(kChunkedHead) + "c350\r\n" +
               std::string(50'000, 'x') + "\r\n");
  REQUIRE(harness.Until(
      [&] { return harness.relay.input_budget.held() >= 50'000; }));
  // A body keeps up to a quarter more than it needs.
  CHECK(harness.relay.input_budget.held() < 70'000);
}

TEST_CASE("A write buffer is freed once it is sent", "[relay][client_limits]") {
  qp::testing::TestRuntime runtime;
  asio::ip::tcp::acceptor acceptor(runtime.io(),
                                   {asio::ip::address_v4::loopback(), 0});
  auto channel = std::make_shared<Channel>(Channel::Socket(runtime.io()));
  channel->Connect(acceptor.local_endpoint(), [](boost::system::error_code) {});
  Peer reader(std::make_shared<Channel>(acceptor.accept()));
  runtime.Settle();
  constexpr std::size_t kBytes = 8 << 20;
  const bool owned = GENERATE(false, true);
  if (owned) {
    channel->WriteOwned(std::string(kBytes, 'x'));
  } else {
    channel->Write(std::string(kBytes, 'x'));
  }
  REQUIRE(channel->unsent() > 0);
  reader.channel->SetReader(&reader);
  while (reader.received.size() < kBytes) {
    runtime.Settle();
  }
  runtime.Settle();
  CHECK(channel->unsent() == 0);
  CHECK(channel->buffer_bytes() < 64);
  channel->Close();
}

TEST_CASE("The oldest arriving request is refused with 503 for a newer one",
          "[relay][client_limits]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  harness.relay.input_budget.SetLimit(120'000);
  const std::string chunk = "c350\r\n" + std::string(50'000, 'x');
  Peer& oldest = harness.Call(std::string(kChunkedHead) + chunk);
  REQUIRE(harness.Until(
      [&] { return harness.relay.input_budget.held() >= 50'000; }));
  harness.Call(std::string(kChunkedHead) + chunk);
  REQUIRE(harness.Receives(oldest, "HTTP/1.1 503"));
  CHECK(harness.relay.input_budget.held() >= 50'000);
  CHECK(harness.relay.input_budget.held() <= 120'000);
}

// Guards against callers that use up the budget with what they send behind
// their running requests, which cannot give way.
TEST_CASE("Input behind a running request gives way to a request",
          "[relay][client_limits]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  harness.relay.input_budget.SetLimit(150'000);
  auto& server = harness.AddServer("s1");
  Peer& pipelining =
      harness.Call(RelayHarness::Request("/a/1") + std::string(60'000, 'x'));
  REQUIRE(harness.Gets(server, 1));
  REQUIRE(harness.Until(
      [&] { return harness.relay.input_budget.held() >= 60'000; }));
  harness.Call(
      "POST /a/2 HTTP/1.1\r\nHost: shop.example\r\nKey: k1\r\n"
      "Content-Length: 50000\r\n\r\n" +
      std::string(50'000, 'x'));
  CHECK(harness.Gets(server, 2));
  CHECK(harness.Until([&] { return pipelining.ended; }));
  CHECK(pipelining.received.empty());
}

// Guards against responses that slow servers keep incomplete: each was bounded
// by itself, and all together were not.
TEST_CASE("A response is passed on early if too much is buffered",
          "[relay][client_limits]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kAlways)});
  constexpr std::size_t kLimit = 70'000;
  harness.relay.buffered_responses.SetLimit(kLimit);
  auto& server = harness.AddServer("s1");
  const auto part = [](std::size_t length, std::size_t sent) {
    return "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n"
           "Content-Length: " +
           std::to_string(length) + "\r\n\r\n" + std::string(sent, 'x');
  };
  Peer& first = harness.Call(RelayHarness::Request("/a/1"));
  REQUIRE(harness.Gets(server, 1));
  Peer& first_server = server.last();
  first_server.channel->Write(part(40'000, 20'000));
  REQUIRE(harness.Until(
      [&] { return harness.relay.buffered_responses.held() >= 20'000; }));
  Peer& second = harness.Call(RelayHarness::Request("/a/2"));
  REQUIRE(harness.Gets(server, 2));
  server.last().channel->Write(part(60'000, 55'000));
  REQUIRE(harness.Receives(second, "Transfer-Encoding: chunked"));
  CHECK(first.received.empty());
  CHECK(harness.relay.buffered_responses.held() <= kLimit);
  // The first response is whole before it is passed on, with its length.
  first_server.channel->Write(std::string(20'000, 'x'));
  CHECK(harness.Receives(first, "Content-Length: 40000"));
  // What was passed on early and breaks off must not look complete.
  server.last().channel->Close();
  CHECK(harness.Until([&] { return second.ended; }));
  CHECK(second.received.find("\r\n0\r\n\r\n") == std::string::npos);
}

TEST_CASE("An idle connection gives way to a new one at the limit",
          "[relay][client_limits]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  harness.relay.client_limits.connections = 2;
  Peer& idle = harness.Call("");
  REQUIRE(harness.Until([&] { return harness.listener.sessions() == 1; }));
  // The clock is paused; without this, both connections are of the same age.
  harness.runtime.Advance(milliseconds(10));
  harness.Call("");
  REQUIRE(harness.Until([&] { return harness.listener.sessions() == 2; }));
  harness.Call("");
  REQUIRE(harness.Until([&] { return idle.ended; }));
  CHECK(harness.listener.sessions() == 2);
}

}  // namespace qp::relay::testing
