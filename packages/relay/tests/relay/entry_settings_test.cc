#include "relay/entry_settings.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <nlohmann/json.hpp>

namespace qp::relay::testing {

namespace {

using std::chrono::milliseconds;
using Json = nlohmann::json;

Json MakeValidSettings() {
  return Json::parse(R"({
    "node": "entry-1", "availability_zone": "north-a",
    "caller_address": "127.0.0.1:8080", "readiness_address": "127.0.0.1:8081",
    "metrics_address": "127.0.0.1:8082", "peer_address": "127.0.0.1:8083",
    "store": {"address": "127.0.0.1:9000"}, "grace_period_s": 8,
    "retry_budget": {"ratio": 0.2, "extra": 24, "window_s": 10}})");
}

std::string MistakesIn(const Json& settings) {
  const auto parsed = ParseEntrySettings(settings.dump());
  return parsed ? "" : parsed.error().detail;
}

}  // namespace

TEST_CASE("Response limits that are not set have defaults",
          "[relay][settings]") {
  const auto parsed = ParseEntrySettings(MakeValidSettings().dump());
  REQUIRE(parsed);
  CHECK(parsed.value().grace_period == std::chrono::seconds(8));
  CHECK(parsed.value().response_limits.head_bytes == 64 * 1024);
  CHECK(parsed.value().response_limits.skipped_bytes == 256 * 1024);
}

TEST_CASE("Response limits are parsed from the settings", "[relay][settings]") {
  Json settings = MakeValidSettings();
  settings["answer_limits"] = {{"head_bytes", 8192},
                               {"event_bytes", 16384},
                               {"held_bytes", 32768},
                               {"unsent_bytes", 4096},
                               {"skipped_bytes", 1000000}};
  const auto parsed = ParseEntrySettings(settings.dump());
  REQUIRE(parsed);
  const ResponseLimits& limits = parsed.value().response_limits;
  CHECK(limits.head_bytes == 8192);
  CHECK(limits.event_bytes == 16384);
  CHECK(limits.buffered_bytes == 32768);
  CHECK(limits.unsent_bytes == 4096);
  CHECK(limits.skipped_bytes == 1000000);
}

TEST_CASE("The bound on the age of the configuration is checked",
          "[relay][settings]") {
  Json settings = MakeValidSettings();
  const auto parsed = ParseEntrySettings(settings.dump());
  REQUIRE(parsed);
  CHECK(parsed.value().configuration_bound == kDefaultConfigurationBound);
  settings["configuration_bound_ms"] = 4000;
  const auto given = ParseEntrySettings(settings.dump());
  REQUIRE(given);
  CHECK(given.value().configuration_bound == std::chrono::seconds(4));
  settings["configuration_bound_ms"] = 4;
  CHECK(MistakesIn(settings).find("configuration_bound_ms") !=
        std::string::npos);
}

// Guards against hedging that is on without the operators' decision, and
// against a share given in percent.
TEST_CASE("The limits on hedged requests are checked", "[relay][settings]") {
  Json settings = MakeValidSettings();
  const auto absent = ParseEntrySettings(settings.dump());
  REQUIRE(absent);
  CHECK(absent.value().hedging.max_share == 0);
  CHECK(absent.value().hedging.quantile == 0.95);
  settings["hedging"] = {{"max_share", 0.03}, {"quantile", 0.9}};
  const auto given = ParseEntrySettings(settings.dump());
  REQUIRE(given);
  CHECK(given.value().hedging.max_share == 0.03);
  CHECK(given.value().hedging.quantile == 0.9);
  settings["hedging"] = {{"max_share", 5}, {"quantile", 95}, {"delay", 1}};
  const std::string mistakes = MistakesIn(settings);
  CHECK(mistakes.find("/hedging/max_share") != std::string::npos);
  CHECK(mistakes.find("/hedging/quantile") != std::string::npos);
  CHECK(mistakes.find("delay") != std::string::npos);
}

// Guards against a mistyped limit that is silently replaced by its default.
TEST_CASE("An unknown or out-of-range response limit is a mistake",
          "[relay][settings]") {
  Json settings = MakeValidSettings();
  SECTION("too small for a normal response") {
    settings["answer_limits"] = {{"head_bytes", 100}};
    CHECK(MistakesIn(settings).find("/answer_limits/head_bytes") !=
          std::string::npos);
  }
  SECTION("too large to limit anything") {
    settings["answer_limits"] = {{"held_bytes", 1'000'000'000'000}};
    CHECK(MistakesIn(settings).find("/answer_limits/held_bytes") !=
          std::string::npos);
  }
  SECTION("unknown key") {
    settings["answer_limits"] = {{"event_byte", 65536}};
    CHECK(MistakesIn(settings).find("/answer_limits/event_byte") !=
          std::string::npos);
  }
  SECTION("not an object") {
    settings["answer_limits"] = 65536;
    CHECK(MistakesIn(settings).find("/answer_limits") != std::string::npos);
  }
}

TEST_CASE("All mistakes are reported at once", "[relay][settings]") {
  Json settings = MakeValidSettings();
  settings.erase("node");
  settings["caller_address"] = "somewhere";
  settings["retry_budget"]["ratio"] = -1;
  const std::string mistakes = MistakesIn(settings);
  for (const char* pointer :
       {"/node", "/caller_address", "/retry_budget/ratio"}) {
    CHECK(mistakes.find(pointer) != std::string::npos);
  }
}

TEST_CASE("Limits on callers are parsed and checked", "[relay][settings]") {
  Json settings = MakeValidSettings();
  const auto defaults = ParseEntrySettings(settings.dump());
  REQUIRE(defaults);
  CHECK(defaults.value().client_limits.held_bytes == 0);
  CHECK(defaults.value().client_limits.connections == 0);
  settings["caller_limits"] = {{"held_bytes", 8388608}, {"connections", 64}};
  const auto parsed = ParseEntrySettings(settings.dump());
  REQUIRE(parsed);
  CHECK(parsed.value().client_limits.held_bytes == 8388608);
  CHECK(parsed.value().client_limits.connections == 64);
  settings["caller_limits"] = {{"held_bytes", 1}, {"connections", 1}};
  CHECK(MistakesIn(settings).find("/caller_limits/held_bytes") !=
        std::string::npos);
  CHECK(MistakesIn(settings).find("/caller_limits/connections") !=
        std::string::npos);
}

TEST_CASE("Limits of the machine are parsed and checked", "[relay][settings]") {
  Json settings = MakeValidSettings();
  const auto defaults = ParseEntrySettings(settings.dump());
  REQUIRE(defaults);
  CHECK(defaults.value().machine.memory_bytes == 0);
  CHECK(defaults.value().machine.descriptors == 0);
  settings["machine"] = {{"memory_mb", 260}, {"descriptors", 4200}};
  const auto parsed = ParseEntrySettings(settings.dump());
  REQUIRE(parsed);
  CHECK(parsed.value().machine.memory_bytes == 260'000'000);
  CHECK(parsed.value().machine.descriptors == 4200);
  settings["machine"] = {{"memory_mb", 260'000'000}, {"descriptors", 1}};
  const std::string mistakes = MistakesIn(settings);
  CHECK(mistakes.find("/machine/memory_mb") != std::string::npos);
  CHECK(mistakes.find("/machine/descriptors") != std::string::npos);
}

TEST_CASE("Members that a template fills can be text", "[relay][settings]") {
  Json settings = MakeValidSettings();
  settings["grace_period_s"] = "7.5";
  settings["first_start"] = "true";
  settings["machine"] = {{"memory_mb", "260"}, {"descriptors", ""}};
  const auto parsed = ParseEntrySettings(settings.dump());
  REQUIRE(parsed);
  CHECK(parsed.value().grace_period == milliseconds(7500));
  CHECK(parsed.value().first_start);
  CHECK(parsed.value().machine.memory_bytes == 260'000'000);
  CHECK(parsed.value().machine.descriptors == 0);
  settings["grace_period_s"] = "soon";
  settings["first_start"] = "7";
  settings["machine"] = "large";
  settings["retry_budget"]["ratio"] = "-1";
  const std::string mistakes = MistakesIn(settings);
  for (const char* pointer :
       {"/grace_period_s", "/first_start", "/machine", "/retry_budget/ratio"}) {
    CHECK(mistakes.find(pointer) != std::string::npos);
  }
  CHECK_FALSE(ParseEntrySettings("[]"));
  CHECK_FALSE(ParseEntrySettings("5"));
}

}  // namespace qp::relay::testing
