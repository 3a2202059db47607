#include "relay/entry_settings.h"

#include <array>
#include <chrono>
#include <vector>

#include "config/json_reader.h"
#include "http/endpoint.h"

namespace qp::relay {

namespace {

/// Maximum of a duration in the settings, in milliseconds.
constexpr double kMaxDurationMs = 600'000;
constexpr double kMaxDurationS = kMaxDurationMs / 1000;
/// Shortest window of the retry budget, in seconds.
constexpr double kMinRetryWindowS = 0.1;
/// Highest share of hedged requests; it catches a share given in percent.
constexpr double kMaxHedgeShare = 0.5;
/// Range of the quantile of answers after which a request is hedged. Below the
/// median most requests would count as slow, above 0.999 a process rarely has
/// enough answers in the window.
constexpr double kMinHedgeQuantile = 0.5;
constexpr double kMaxHedgeQuantile = 0.999;
/// Shortest time within which a change in the store can be required to be in
/// force, in milliseconds: a call to the store takes up to 400 ms during a
/// disruption.
constexpr double kMinBoundMs = 500;
/// Range of a limit on responses, in bytes; it catches mistaken units. Heads of
/// normal responses fit into the minimum. A few requests that use the maximum
/// fill the memory of a small VM.
constexpr std::uint64_t kMinLimitBytes = 4 * 1024;
constexpr std::uint64_t kMaxLimitBytes = 16 * 1024 * 1024;
/// Range of the bytes that are held for all callers together. Less than the
/// minimum would refuse ordinary callers that send at the same time.
constexpr std::uint64_t kMinHeldBytes = 1024 * 1024;
constexpr std::uint64_t kMaxHeldBytes = 64ULL * 1024 * 1024 * 1024;
/// Range of the memory of a machine, in MB; it catches mistaken units.
constexpr double kMinMemoryMb = 16;
constexpr double kMaxMemoryMb = 16'000'000;
constexpr double kBytesPerMegabyte = 1e6;
/// Range of the file descriptors of a process.
constexpr double kMinDescriptors = 64;
constexpr double kMaxDescriptors = 1e9;
/// Range of the connections of callers.
constexpr std::uint64_t kMinConnections = 16;
constexpr std::uint64_t kMaxConnections = 1'000'000;

Duration FromMillis(double value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(value));
}

Duration FromSeconds(double value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(value));
}

/// Time from a change in the store until it must be in force.
Duration ParseBound(JsonReader& reader, const char* key, Duration fallback) {
  return FromMillis(reader.NumberOr(
      key, kMinBoundMs, kMaxDurationMs,
      std::chrono::duration<double, std::milli>(fallback).count()));
}

std::string ParseAddress(JsonReader& reader, const char* key) {
  std::string address = reader.String(key);
  if (!address.empty() && !http::ParseEndpoint(address)) {
    reader.Report(key, "an address of the form IP:port");
  }
  return address;
}

void ParseRetry(JsonReader& reader, RetryBudget::Limits& limits) {
  if (!reader.Has("retry_budget")) {
    return;
  }
  reader.Object("retry_budget", [&limits](JsonReader& retry) {
    limits.ratio = retry.NumberOr("ratio", 0, 10, limits.ratio);
    limits.extra = retry.NumberOr("extra", 0, 1e9, limits.extra);
    limits.window = FromSeconds(
        retry.NumberOr("window_s", kMinRetryWindowS, kMaxDurationS,
                       std::chrono::duration<double>(limits.window).count()));
  });
}

void ParseHedging(JsonReader& reader, HedgeSettings& hedging) {
  if (!reader.Has("hedging")) {
    return;
  }
  reader.Object("hedging", [&hedging](JsonReader& given) {
    hedging.max_share =
        given.NumberOr("max_share", 0, kMaxHedgeShare, hedging.max_share);
    hedging.quantile = given.NumberOr("quantile", kMinHedgeQuantile,
                                      kMaxHedgeQuantile, hedging.quantile);
  });
}

void ParseResponseLimits(JsonReader& reader, ResponseLimits& limits) {
  if (!reader.Has("answer_limits")) {
    return;
  }
  reader.Object("answer_limits", [&limits](JsonReader& given) {
    const auto read = [&given](const char* key, std::size_t& bytes) {
      bytes = given.IntegerOr(key, kMinLimitBytes, kMaxLimitBytes, bytes);
    };
    read("head_bytes", limits.head_bytes);
    read("event_bytes", limits.event_bytes);
    read("held_bytes", limits.buffered_bytes);
    read("unsent_bytes", limits.unsent_bytes);
    read("skipped_bytes", limits.skipped_bytes);
  });
}

void ParseMachine(JsonReader& reader, MachineLimits& machine) {
  if (!reader.Has("machine")) {
    return;
  }
  reader.Object("machine", [&machine](JsonReader& given) {
    machine.memory_bytes = static_cast<std::uint64_t>(
        given.NumberOr("memory_mb", kMinMemoryMb, kMaxMemoryMb, 0) *
        kBytesPerMegabyte);
    machine.descriptors = static_cast<std::uint64_t>(
        given.NumberOr("descriptors", kMinDescriptors, kMaxDescriptors, 0));
  });
}

void ParseClientLimits(JsonReader& reader, ClientLimits& limits) {
  if (!reader.Has("caller_limits")) {
    return;
  }
  reader.Object("caller_limits", [&limits](JsonReader& given) {
    if (given.Has("held_bytes")) {
      limits.held_bytes =
          given.IntegerOr("held_bytes", kMinHeldBytes, kMaxHeldBytes, 0);
    }
    if (given.Has("connections")) {
      limits.connections =
          given.IntegerOr("connections", kMinConnections, kMaxConnections, 0);
    }
  });
}

/// Numbers and flags that the platform fills into a template. A template
/// renders a missing value as nothing, which is valid JSON only within quotes.
constexpr std::array kTemplateMembers = {
    "/grace_period_s",     "/configuration_bound_ms", "/server_list_bound_ms",
    "/first_start",        "/machine/memory_mb",      "/machine/descriptors",
    "/retry_budget/ratio", "/retry_budget/extra",     "/retry_budget/window_s"};

/// Replaces a member that is text by the number or flag in the text. Empty text
/// stands for a missing member. Other text stays and is reported as a mistake.
void ReadTextMember(nlohmann::json& document, const char* pointer) {
  const nlohmann::json::json_pointer member(pointer);
  if (!document.contains(member) || !document[member].is_string()) {
    return;
  }
  const auto text = document[member].get<std::string>();
  if (text.empty()) {
    document[member.parent_pointer()].erase(member.back());
    return;
  }
  auto value = nlohmann::json::parse(text, nullptr, false);
  if (value.is_number() || value.is_boolean()) {
    document[member] = std::move(value);
  }
}

std::string ParseLogLevel(JsonReader& reader) {
  constexpr std::array<std::string_view, 4> kLevels = {"debug", "info",
                                                       "warning", "error"};
  std::string level = reader.StringOr("log_level", "info");
  for (const auto known : kLevels) {
    if (level == known) {
      return level;
    }
  }
  reader.Report("log_level", "one of debug info warning error");
  return "info";
}

}  // namespace

Result<EntrySettings> ParseEntrySettings(std::string_view text) {
  auto document = nlohmann::json::parse(text, nullptr, false);
  for (const char* member : kTemplateMembers) {
    ReadTextMember(document, member);
  }
  if (document.is_discarded()) {
    return Error{ErrorCode::kInvalidArgument, "settings.parse", "",
                 "the settings are not JSON\n"};
  }
  EntrySettings settings;
  std::vector<Mistake> mistakes;
  JsonReader reader(document, "", mistakes);
  settings.node = reader.String("node");
  settings.availability_zone = reader.String("availability_zone");
  settings.caller_address = ParseAddress(reader, "caller_address");
  settings.readiness_address = ParseAddress(reader, "readiness_address");
  settings.metrics_address = ParseAddress(reader, "metrics_address");
  settings.peer_address = ParseAddress(reader, "peer_address");
  reader.Object("store", [&settings](JsonReader& store) {
    settings.store_address = ParseAddress(store, "address");
  });
  settings.grace_period = FromSeconds(reader.NumberOr(
      "grace_period_s", 0, kMaxDurationS,
      std::chrono::duration<double>(kDefaultGracePeriod).count()));
  settings.configuration_bound =
      ParseBound(reader, "configuration_bound_ms", kDefaultConfigurationBound);
  settings.server_list_bound =
      ParseBound(reader, "server_list_bound_ms", kDefaultServerListBound);
  settings.first_start = reader.BoolOr("first_start", false);
  ParseRetry(reader, settings.retry);
  ParseHedging(reader, settings.hedging);
  ParseResponseLimits(reader, settings.response_limits);
  ParseMachine(reader, settings.machine);
  ParseClientLimits(reader, settings.client_limits);
  settings.log_level = ParseLogLevel(reader);
  reader.Finish();
  if (!mistakes.empty()) {
    return Error{ErrorCode::kInvalidArgument, "settings.check", "",
                 ToString(mistakes)};
  }
  return settings;
}

}  // namespace qp::relay
