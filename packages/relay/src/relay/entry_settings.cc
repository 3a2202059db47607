#include "relay/entry_settings.h"

#include <array>
#include <chrono>
#include <vector>

#include "config/json_reader.h"
#include "http/endpoint.h"

namespace qp::relay {

namespace {

constexpr double kLongestMs = 600'000;
/// Range of a limit on answers, to find mistakes of units: heads of sound
/// answers fit into the fewest, and a few requests at the most fill a small VM.
constexpr std::uint64_t kFewestBytes = 4 * 1024;
constexpr std::uint64_t kMostBytes = 16 * 1024 * 1024;

Duration Millis(double value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(value));
}

std::string Address(JsonReader& reader, const char* key) {
  std::string address = reader.String(key);
  if (!address.empty() && !http::ParseEndpoint(address)) {
    reader.Report(key, "an address of the form IP:port");
  }
  return address;
}

void ReadRetry(JsonReader& reader, RetryBudget::Limits& limits) {
  reader.Object("retry_budget", [&limits](JsonReader& retry) {
    limits.ratio = retry.Number("ratio", 0, 10);
    limits.extra = retry.Number("extra", 0, 1e9);
    limits.window = Millis(retry.Number("window_ms", 100, kLongestMs));
  });
}

void ReadResponseLimits(JsonReader& reader, ResponseLimits& limits) {
  if (!reader.Has("answer_limits")) {
    return;
  }
  reader.Object("answer_limits", [&limits](JsonReader& given) {
    const auto read = [&given](const char* key, std::size_t& bytes) {
      bytes = given.IntegerOr(key, kFewestBytes, kMostBytes, bytes);
    };
    read("head_bytes", limits.head_bytes);
    read("event_bytes", limits.event_bytes);
    read("held_bytes", limits.buffered_bytes);
    read("unsent_bytes", limits.unsent_bytes);
    read("skipped_bytes", limits.skipped_bytes);
  });
}

std::string ReadLogLevel(JsonReader& reader) {
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
  const auto document = nlohmann::json::parse(text, nullptr, false);
  if (document.is_discarded()) {
    return Error{ErrorCode::kInvalidArgument, "settings.parse", "",
                 "the settings are not JSON\n"};
  }
  EntrySettings settings;
  std::vector<Mistake> mistakes;
  JsonReader reader(document, "", mistakes);
  settings.node = reader.String("node");
  settings.availability_zone = reader.String("availability_zone");
  settings.caller_address = Address(reader, "caller_address");
  settings.readiness_address = Address(reader, "readiness_address");
  settings.metrics_address = Address(reader, "metrics_address");
  settings.peer_address = Address(reader, "peer_address");
  reader.Object("store", [&settings](JsonReader& store) {
    settings.store_address = Address(store, "address");
  });
  settings.grace_period =
      Millis(reader.Number("grace_period_ms", 0, kLongestMs));
  ReadRetry(reader, settings.retry);
  ReadResponseLimits(reader, settings.response_limits);
  settings.log_level = ReadLogLevel(reader);
  reader.Finish();
  if (!mistakes.empty()) {
    return Error{ErrorCode::kInvalidArgument, "settings.check", "",
                 ToString(mistakes)};
  }
  return settings;
}

}  // namespace qp::relay
