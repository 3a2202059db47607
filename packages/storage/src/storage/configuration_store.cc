#include "storage/configuration_store.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

#include "config/configuration_json.h"
#include "foundation/wait.h"
#include "storage/table.h"

namespace qp {

namespace {

constexpr std::string_view kHeadKey = "configuration/head";
constexpr std::string_view kCurrentKey = "configuration/current";
constexpr std::string_view kHistoryPrefix = "configuration/history/";

std::string HistoryKey(std::uint64_t version) {
  return std::string(kHistoryPrefix) + std::to_string(version);
}

/// Expected version in a change id; empty if the id is malformed.
std::optional<std::uint64_t> ParseExpectedVersion(std::string_view change_id) {
  std::uint64_t expected = 0;
  const auto dash = change_id.find('-');
  if (dash == std::string_view::npos) {
    return std::nullopt;
  }
  const char* end = change_id.data() + dash;
  const auto parsed = std::from_chars(change_id.data(), end, expected);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return expected;
}

std::vector<TableOperation> MakeWrites(const Configuration& next,
                                       std::uint64_t expected) {
  const nlohmann::json content = ToJson(next);
  TableCondition current_condition = IfAbsent{};
  if (expected > 0) {
    current_condition = IfField{"version", expected};
  }
  return {
      {std::string(kCurrentKey), content, current_condition},
      {std::string(kHeadKey),
       nlohmann::json{{"version", next.version}, {"change_id", next.change_id}},
       Unconditional{}},
      {HistoryKey(next.version), content, Unconditional{}}};
}

Result<Configuration> ParseStoredConfiguration(const TableItem& item) {
  std::vector<Mistake> mistakes;
  Configuration configuration = ParseConfiguration(item.value, mistakes);
  if (!mistakes.empty()) {
    return Error{ErrorCode::kProtocol, "configuration_store.read", item.key,
                 ToString(mistakes)};
  }
  return configuration;
}

}  // namespace

ConfigurationStore::ConfigurationStore(Table& service, Clock& time)
    : table(service), clock(time) {}

std::string ConfigurationStore::MakeChangeId(std::uint64_t expected,
                                             std::uint64_t random) {
  char digits[17];
  std::snprintf(digits, sizeof digits, "%016llx",
                static_cast<unsigned long long>(random));
  return std::to_string(expected) + "-" + digits;
}

Task<Result<std::optional<ConfigurationHead>>> ConfigurationStore::ReadHead() {
  const auto item = co_await this->table.Read(std::string(kHeadKey));
  if (!item) {
    co_return item.error();
  }
  if (item.value()) {
    const nlohmann::json& value = item.value()->value;
    co_return ConfigurationHead{value.value("version", std::uint64_t{0}),
                                value.value("change_id", "")};
  }
  // A configuration that an operator wrote directly into the table has no head.
  const auto current = co_await this->ReadCurrent();
  if (!current) {
    co_return current.error();
  }
  if (!current.value()) {
    co_return std::optional<ConfigurationHead>();
  }
  co_return ConfigurationHead{current.value()->version,
                              current.value()->change_id};
}

Task<Result<std::optional<Configuration>>> ConfigurationStore::ReadCurrent() {
  const auto item = co_await this->table.Read(std::string(kCurrentKey));
  if (!item) {
    co_return item.error();
  }
  if (!item.value()) {
    co_return std::optional<Configuration>();
  }
  auto configuration = ParseStoredConfiguration(*item.value());
  if (!configuration) {
    co_return configuration.error();
  }
  co_return std::optional(std::move(configuration).value());
}

Task<StoreReport> ConfigurationStore::Change(Configuration next,
                                             std::uint64_t expected) {
  next.version = expected + 1;
  const std::string change_id = next.change_id;
  const auto written = co_await this->table.Transact(
      TransactMode::kAll, MakeWrites(next, expected));
  if (written) {
    if (written.value().front().applied) {
      co_return StoreReport{StoreStatus::kAccepted, next.version, ""};
    }
    const auto head = co_await this->ReadHead();
    const bool known = head && head.value();
    co_return StoreReport{StoreStatus::kRefused,
                          known ? head.value()->version : 0,
                          "another version is in force"};
  }
  if (written.error().code == ErrorCode::kUnavailable) {
    co_return StoreReport{StoreStatus::kUnavailable, 0,
                          ToString(written.error())};
  }
  for (int attempt = 0; attempt < kReadBackTries; ++attempt) {
    const StoreReport report = co_await this->Resolve(change_id);
    if (report.status == StoreStatus::kAccepted ||
        report.status == StoreStatus::kRefused) {
      co_return report;
    }
    co_await SleepFor(this->clock, kReadBackInterval);
  }
  co_return StoreReport{StoreStatus::kUnknown, 0, ToString(written.error())};
}

Task<StoreReport> ConfigurationStore::Resolve(std::string change_id) {
  const auto expected = ParseExpectedVersion(change_id);
  if (!expected) {
    co_return StoreReport{StoreStatus::kRefused, 0, "malformed change id"};
  }
  const auto stored = co_await this->table.Read(HistoryKey(*expected + 1));
  if (!stored) {
    co_return StoreReport{StoreStatus::kUnknown, 0, ToString(stored.error())};
  }
  // Only one change can create a version, so this outcome is final.
  if (stored.value()) {
    const bool own = stored.value()->value.value("change_id", "") == change_id;
    co_return StoreReport{own ? StoreStatus::kAccepted : StoreStatus::kRefused,
                          *expected + 1,
                          own ? "" : "another change made this version"};
  }
  co_return StoreReport{StoreStatus::kUnknown, *expected,
                        "not found; it may still arrive"};
}

Task<Result<std::vector<Configuration>>> ConfigurationStore::History() {
  const auto items = co_await this->table.Scan(std::string(kHistoryPrefix));
  if (!items) {
    co_return items.error();
  }
  std::vector<Configuration> versions;
  for (const TableItem& item : items.value()) {
    auto configuration = ParseStoredConfiguration(item);
    if (!configuration) {
      co_return configuration.error();
    }
    versions.push_back(std::move(configuration).value());
  }
  std::sort(versions.begin(), versions.end(),
            [](const Configuration& left, const Configuration& right) {
              return left.version < right.version;
            });
  co_return versions;
}

}  // namespace qp
