#include "relay/caller_session.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "relay/relay_harness.h"

namespace qp::relay::testing {

namespace {

std::string OkResponse(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::size_t CountOf(const std::string& text, const std::string& part) {
  std::size_t count = 0;
  for (auto at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

}  // namespace

TEST_CASE("Pipelined requests are answered in order", "[relay][session]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  auto& server = harness.AddServer("s1");
  Peer& caller = harness.Call(RelayHarness::Request("/a/1") +
                              RelayHarness::Request("/a/2"));
  REQUIRE(harness.Gets(server, 1));
  server.last().channel->Write(OkResponse("one"));
  REQUIRE(harness.Gets(server, 2));
  server.last().channel->Write(OkResponse("two"));
  REQUIRE(harness.Receives(caller, "two"));
  CHECK(caller.received.find("one") < caller.received.find("two"));
}

TEST_CASE("A chunked request body is forwarded whole, with its length",
          "[relay][session]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  auto& server = harness.AddServer("s1");
  harness.Call(
      "POST /a/1 HTTP/1.1\r\nHost: shop.example\r\nKey: k1\r\nAttempt: a1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  REQUIRE(harness.Gets(server, 1));
  CHECK(harness.Receives(server.last(), "Content-Length: 5\r\n\r\nabcde"));
}

TEST_CASE(
    "A request that is too large or too slow is answered with an error status",
    "[relay][session]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  SECTION("headers over the limit") {
    Peer& caller = harness.Call(
        "GET /a/ HTTP/1.1\r\nX: " + std::string(20000, 'x') + "\r\n\r\n");
    CHECK(harness.Receives(caller, "HTTP/1.1 431"));
  }
  SECTION("a body over the limit") {
    Peer& caller = harness.Call(
        "POST /a/ HTTP/1.1\r\nHost: shop.example\r\n"
        "Content-Length: 99999999\r\n\r\n");
    CHECK(harness.Receives(caller, "HTTP/1.1 413"));
  }
  SECTION("headers that do not end in time") {
    Peer& caller = harness.Call("GET /a/ HTTP/1.1\r\n");
    harness.Until([&] { return harness.listener.sessions() == 1; });
    harness.runtime.Settle();
    REQUIRE(harness.Until([&] {
      harness.runtime.Advance(milliseconds(100));
      return !caller.received.empty();
    }));
    CHECK(caller.received.find("HTTP/1.1 408") == 0);
  }
}

namespace {

constexpr std::size_t kOldLimit = 4096;
constexpr std::size_t kNewLimit = 65536;
constexpr std::size_t kLongPart = 20000;

void Configure(RelayHarness& harness, CallerLimits limits) {
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  DeploymentConfiguration configuration =
      harness.relay.active_configuration->configuration;
  configuration.limits = limits;
  harness.relay.active_configuration =
      std::make_shared<const ActiveConfiguration>(configuration);
  harness.listener.ApplyTimeouts();
}

CallerLimits LimitsOf(std::size_t bytes) {
  CallerLimits limits;
  limits.max_header_bytes = static_cast<std::uint32_t>(bytes);
  limits.max_body_bytes = bytes;
  return limits;
}

CallerLimits Timeouts(Duration header_timeout, Duration idle_timeout) {
  CallerLimits limits;
  limits.header_timeout = header_timeout;
  limits.idle_timeout = idle_timeout;
  return limits;
}

/// A connection that is open before the configuration changes, with or without
/// an earlier request.
Peer& OpenConnection(RelayHarness& harness, ScriptedServer& server,
                     bool has_served) {
  Peer& caller = harness.Call(has_served ? RelayHarness::Request("/a/1") : "");
  if (has_served) {
    REQUIRE(harness.Gets(server, 1));
    server.last().channel->Write(OkResponse("one"));
    REQUIRE(harness.Receives(caller, "one"));
    caller.received.clear();
  }
  REQUIRE(harness.Until([&] { return harness.listener.sessions() == 1; }));
  return caller;
}

/// Advances the clock in steps, so that expired timers run.
void Pass(RelayHarness& harness, Duration time) {
  for (Duration passed{0}; passed < time; passed += milliseconds(100)) {
    harness.runtime.Advance(milliseconds(100));
  }
}

}  // namespace

// Guards against a parser that keeps the limits that were in force when the
// request before ended.
TEST_CASE("A request on an open connection is held to the newest size limits",
          "[relay][session][limits]") {
  RelayHarness harness;
  const bool has_served = GENERATE(false, true);
  const bool is_raised = GENERATE(false, true);
  Configure(harness, LimitsOf(is_raised ? kOldLimit : kNewLimit));
  auto& server = harness.AddServer("s1");
  Peer& caller = OpenConnection(harness, server, has_served);
  Configure(harness, LimitsOf(is_raised ? kNewLimit : kOldLimit));
  const std::string part(kLongPart, 'x');
  SECTION("of bodies") {
    caller.channel->Write(
        "POST /a/2 HTTP/1.1\r\nHost: shop.example\r\nAttempt: a1\r\nKey: k1\r\n"
        "Content-Length: " +
        std::to_string(part.size()) + "\r\n\r\n" + part);
    CHECK((is_raised ? harness.Gets(server, has_served ? 2 : 1)
                     : harness.Receives(caller, "HTTP/1.1 413")));
  }
  SECTION("of headers") {
    caller.channel->Write(
        RelayHarness::Request("/a/2", "Long: " + part + "\r\n"));
    CHECK((is_raised ? harness.Gets(server, has_served ? 2 : 1)
                     : harness.Receives(caller, "HTTP/1.1 431")));
  }
}

// Guards against a timer that keeps the timeout that was in force when the
// connection became idle.
TEST_CASE("An open connection is held to the newest idle timeout",
          "[relay][session][limits]") {
  RelayHarness harness;
  const Duration header_timeout = std::chrono::seconds(3);
  const bool has_served = GENERATE(false, true);
  auto& server = harness.AddServer("s1");
  SECTION("a longer one counts from the begin of the idle time") {
    Configure(harness, Timeouts(header_timeout, std::chrono::seconds(5)));
    Peer& caller = OpenConnection(harness, server, has_served);
    Pass(harness, std::chrono::seconds(4));
    Configure(harness, Timeouts(header_timeout, std::chrono::seconds(15)));
    Pass(harness, std::chrono::seconds(10));
    CHECK_FALSE(caller.ended);
    Pass(harness, std::chrono::seconds(2));
    CHECK(harness.Until([&] { return caller.ended; }));
  }
  SECTION("a shorter one counts from the change") {
    Configure(harness, Timeouts(header_timeout, std::chrono::seconds(15)));
    Peer& caller = OpenConnection(harness, server, has_served);
    Pass(harness, std::chrono::seconds(6));
    Configure(harness, Timeouts(header_timeout, std::chrono::seconds(5)));
    Pass(harness, std::chrono::seconds(4));
    CHECK_FALSE(caller.ended);
    Pass(harness, std::chrono::seconds(2));
    CHECK(harness.Until([&] { return caller.ended; }));
  }
}

TEST_CASE("A request that is arriving is held to the newest timeout",
          "[relay][session][limits]") {
  RelayHarness harness;
  const Duration idle_timeout = std::chrono::seconds(15);
  Configure(harness, Timeouts(std::chrono::seconds(2), idle_timeout));
  auto& server = harness.AddServer("s1");
  Peer& caller = OpenConnection(harness, server, true);
  caller.channel->Write("GET /a/ HTTP/1.1\r\n");
  harness.runtime.Settle();
  Pass(harness, std::chrono::seconds(1));
  Configure(harness, Timeouts(std::chrono::seconds(6), idle_timeout));
  Pass(harness, std::chrono::seconds(3));
  CHECK(caller.received.empty());
  Pass(harness, std::chrono::seconds(3));
  CHECK(harness.Receives(caller, "HTTP/1.1 408"));
}

TEST_CASE("While the process drains, a connection closes after its response",
          "[relay][session]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  auto& server = harness.AddServer("s1");
  Peer& caller = harness.Call(RelayHarness::Request("/a/1"));
  REQUIRE(harness.Gets(server, 1));
  harness.relay.draining = true;
  harness.listener.CloseIdle();
  server.last().channel->Write(OkResponse("one"));
  REQUIRE(harness.Receives(caller, "one"));
  CHECK(caller.received.find("Connection: close") != std::string::npos);
  CHECK(harness.Until([&] { return caller.ended; }));
  CHECK(CountOf(caller.received, "HTTP/1.1 200") == 1);
}

TEST_CASE(
    "CloseIdle closes idle connections and keeps those with a running request",
    "[relay][session]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  auto& server = harness.AddServer("s1");
  Peer& idle = harness.Call(RelayHarness::Request("/a/1"));
  REQUIRE(harness.Gets(server, 1));
  server.last().channel->Write(OkResponse("one"));
  REQUIRE(harness.Receives(idle, "one"));
  Peer& busy = harness.Call(RelayHarness::Request("/a/2"));
  REQUIRE(harness.Gets(server, 2));
  REQUIRE(harness.Until([&] { return harness.listener.sessions() == 2; }));
  harness.listener.CloseIdle();
  CHECK(harness.Until([&] { return idle.ended; }));
  CHECK_FALSE(busy.ended);
}

// Guards against lost requests: a planned stop once closed new connections
// whose callers were about to send their first request.
TEST_CASE(
    "A planned stop leaves a new connection time to send its first request",
    "[relay][session][stop]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  auto& server = harness.AddServer("s1");
  Peer& caller = harness.Call("");
  REQUIRE(harness.Until([&] { return harness.listener.sessions() == 1; }));
  harness.relay.draining = true;
  harness.listener.StopAccepting();
  harness.listener.CloseIdle();
  SECTION("a request within that time is answered") {
    caller.channel->Write(RelayHarness::Request("/a/1"));
    harness.listener.CloseIdle();
    REQUIRE(harness.Gets(server, 1));
    server.last().channel->Write(OkResponse("one"));
    CHECK(harness.Receives(caller, "one"));
  }
  SECTION("a connection without a request is closed after that time") {
    harness.runtime.Advance(milliseconds(1010));
    harness.listener.CloseIdle();
    CHECK(harness.Until([&] { return caller.ended; }));
  }
}

// Guards against lost requests: connections in the accept queue were reset when
// a planned stop closed the listening socket.
TEST_CASE("A planned stop serves connections that wait to be accepted",
          "[relay][session][stop]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  auto& server = harness.AddServer("s1");
  asio::ip::tcp::socket waiting(harness.runtime.io());
  waiting.connect({asio::ip::address_v4::loopback(), harness.listener.port()});
  const std::string request = RelayHarness::Request("/a/1");
  asio::write(waiting, asio::buffer(request));
  harness.relay.draining = true;
  harness.listener.StopAccepting();
  harness.listener.CloseIdle();
  REQUIRE(harness.Gets(server, 1));
  server.last().channel->Write(OkResponse("one"));
  std::string received;
  waiting.non_blocking(true);
  CHECK(harness.Until([&] {
    char buffer[1024];
    boost::system::error_code failure;
    const auto count = waiting.read_some(asio::buffer(buffer), failure);
    received.append(buffer, count);
    return received.find("one") != std::string::npos;
  }));
}

// Guards against truncated responses: a session closed while bytes were still
// in the buffers of the process, and the process ends when no session is left.
TEST_CASE(
    "A session stays open until its caller has received the last response",
    "[relay][session][stop]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  auto& server = harness.AddServer("s1");
  Peer& caller = harness.Call(RelayHarness::Request("/a/1"));
  REQUIRE(harness.Gets(server, 1));
  harness.relay.draining = true;
  caller.channel->Pause();
  const std::string body(24 << 20, 'x');
  server.last().channel->Write(OkResponse(body));
  harness.Until([&] { return server.last().channel->unsent() == 0; });
  CHECK(harness.listener.sessions() == 1);
  caller.channel->Resume();
  CHECK(harness.Until([&] { return caller.ended; }));
  CHECK(CountOf(caller.received, "x") >= (24 << 20));
  CHECK(harness.Until([&] { return harness.listener.sessions() == 0; }));
}

// Guards against lost requests: when a process began to stop, requests that it
// had read behind another one on the same connection were dropped.
TEST_CASE("A planned stop answers requests that were read before it",
          "[relay][session][stop]") {
  RelayHarness harness;
  Route stream = MakeRoute("/s/", RetryPolicy::kNever);
  stream.streaming = true;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever), stream});
  auto& server = harness.AddServer("s1");
  std::string first = "/a/1";
  SECTION("behind a plain request") {}
  SECTION("behind a stream whose response has begun") { first = "/s/1"; }
  Peer& caller = harness.Call(RelayHarness::Request(first) +
                              RelayHarness::Request("/a/2"));
  REQUIRE(harness.Gets(server, 1));
  if (first == "/s/1") {
    server.last().channel->Write(
        "HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n"
        "Transfer-Encoding: chunked\r\n\r\nb\r\ndata: one\n\n\r\n");
    REQUIRE(harness.Receives(caller, "one"));
  }
  harness.relay.draining = true;
  harness.listener.CloseIdle();
  server.last().channel->Write(first == "/s/1" ? "0\r\n\r\n"
                                               : OkResponse("one"));
  REQUIRE(harness.Gets(server, 2));
  harness.listener.CloseIdle();
  server.last().channel->Write(OkResponse("two"));
  CHECK(harness.Receives(caller, "two"));
  CHECK(CountOf(caller.received, "Connection: close") == 1);
  CHECK(harness.Until([&] { return caller.ended; }));
}

// Guards against truncated responses: a planned stop closed a connection whose
// caller had not yet received all of the last response.
TEST_CASE("A planned stop keeps a connection until its response is written",
          "[relay][session][stop]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  harness.relay.response_limits.unsent_bytes = 64 << 20;
  auto& server = harness.AddServer("s1");
  Peer& caller = harness.Call(RelayHarness::Request("/a/1"));
  REQUIRE(harness.Gets(server, 1));
  caller.channel->Pause();
  server.last().channel->Write(OkResponse(std::string(24 << 20, 'x')));
  REQUIRE(harness.Until(
      [&] { return harness.relay.servers.Find("s1")->in_flight == 0; }));
  harness.relay.draining = true;
  harness.listener.CloseIdle();
  CHECK(harness.listener.sessions() == 1);
  caller.channel->Resume();
  CHECK(harness.Until([&] {
    harness.listener.CloseIdle();
    return caller.ended;
  }));
  CHECK(CountOf(caller.received, "x") >= (24 << 20));
}

// Guards against an error response that the caller never reads: closing the
// connection while the request's body was still arriving reset the connection.
TEST_CASE("An error response in the middle of a request is not lost to a reset",
          "[relay][session]") {
  RelayHarness harness;
  harness.Configure({MakeRoute("/a/", RetryPolicy::kNever)});
  asio::ip::tcp::socket caller(harness.runtime.io());
  caller.connect({asio::ip::address_v4::loopback(), harness.listener.port()});
  const std::string head =
      "POST /a/ HTTP/1.1\r\nHost: shop.example\r\n"
      "Content-Length: 99999999\r\n\r\n";
  asio::write(caller, asio::buffer(head));
  REQUIRE(harness.Until([&] { return caller.available() > 0; }));
  const std::string body(1024, 'x');
  for (int count = 0; count < 8; ++count) {
    asio::write(caller, asio::buffer(body));
    harness.runtime.Settle();
  }
  std::string received(12, ' ');
  asio::read(caller, asio::buffer(received));
  CHECK(received == "HTTP/1.1 413");
  CHECK(harness.listener.sessions() == 1);
  harness.runtime.Advance(milliseconds(1010));
  CHECK(harness.Until([&] { return harness.listener.sessions() == 0; }));
}

}  // namespace qp::relay::testing
