#include "config/daemon_settings.h"

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>

namespace qp {

namespace {

constexpr std::uint64_t kMaxDrainGraceMillis = 600'000;
constexpr std::uint64_t kDefaultDrainGraceMillis = 5'000;

bool IsAddress(std::string_view text) {
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  boost::system::error_code failure;
  boost::asio::ip::make_address(std::string(text.substr(0, colon)), failure);
  const auto port = text.substr(colon + 1);
  const bool digits =
      !port.empty() && port.size() <= 5 &&
      port.find_first_not_of("0123456789") == std::string_view::npos;
  return !failure && digits && std::stoul(std::string(port)) <= 65535;
}

std::string ParseAddress(JsonReader& reader, const char* key) {
  std::string address = reader.String(key);
  if (!address.empty() && !IsAddress(address)) {
    reader.Report(key, "an address of the form IP:port");
  }
  return address;
}

std::string ParseChoice(JsonReader& reader, const char* key,
                        std::initializer_list<std::string_view> choices,
                        std::string fallback) {
  std::string value = reader.StringOr(key, fallback);
  std::string expected = "one of";
  for (std::string_view choice : choices) {
    if (value == choice) {
      return value;
    }
    expected += " " + std::string(choice);
  }
  reader.Report(key, expected);
  return fallback;
}

}  // namespace

DaemonSettings ParseDaemonSettings(const nlohmann::json& document,
                                   std::vector<Mistake>& mistakes) {
  DaemonSettings settings;
  JsonReader reader(document, "", mistakes);
  settings.node = reader.String("node");
  settings.region = reader.String("region");
  settings.availability_zone = reader.String("availability_zone");
  settings.caller_address = ParseAddress(reader, "caller_address");
  settings.operator_address = ParseAddress(reader, "operator_address");
  settings.peer_address = ParseAddress(reader, "peer_address");
  settings.table_address = ParseAddress(reader, "table_address");
  settings.object_store_address = ParseAddress(reader, "object_store_address");
  settings.vm_list_address = ParseAddress(reader, "vm_list_address");
  settings.seeds = reader.Strings("seeds");
  settings.operator_token_sha256 = reader.String("operator_token_sha256");
  settings.log_format =
      ParseChoice(reader, "log_format", {"human", "json"}, settings.log_format);
  settings.log_level =
      ParseChoice(reader, "log_level", {"debug", "info", "warning", "error"},
                  settings.log_level);
  settings.drain_grace = std::chrono::milliseconds(reader.IntegerOr(
      "drain_grace_ms", 0, kMaxDrainGraceMillis, kDefaultDrainGraceMillis));
  reader.Finish();
  return settings;
}

Result<DaemonSettings> ParseDaemonSettings(std::string_view text) {
  const auto document = nlohmann::json::parse(text, nullptr, false);
  if (document.is_discarded()) {
    return Error{ErrorCode::kInvalidArgument, "settings.parse", "",
                 "the document is not valid JSON"};
  }
  std::vector<Mistake> mistakes;
  DaemonSettings settings = ParseDaemonSettings(document, mistakes);
  if (!mistakes.empty()) {
    return Error{ErrorCode::kInvalidArgument, "settings.parse", "",
                 ToString(mistakes)};
  }
  return settings;
}

}  // namespace qp
