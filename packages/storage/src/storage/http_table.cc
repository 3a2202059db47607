#include "storage/http_table.h"

#include "http/client.h"

namespace qp {

namespace {

using nlohmann::json;

constexpr std::string_view kTransactTarget = "/v1/table/transact";
constexpr std::string_view kItemsTarget = "/v1/table/items";

json ToJson(const Unconditional&) { return nullptr; }
json ToJson(const IfAbsent&) { return {{"absent", true}}; }
json ToJson(const IfVersion& condition) {
  return {{"version", condition.version}};
}
json ToJson(const IfField& condition) {
  json value = {{"field", condition.field}, {"equals", condition.value}};
  if (condition.or_absent) {
    value["or_absent"] = true;
  }
  return value;
}

json ToJson(const TableOperation& operation) {
  json value;
  if (operation.put) {
    value["put"] = {{"key", operation.key}, {"value", *operation.put}};
  } else {
    value["delete"] = {{"key", operation.key}};
  }
  json condition =
      std::visit([](const auto& alternative) { return ToJson(alternative); },
                 operation.condition);
  if (!condition.is_null()) {
    value["if"] = std::move(condition);
  }
  return value;
}

/// Percent-encodes a key but keeps the slashes that separate its parts.
std::string EncodeKey(std::string_view key) {
  constexpr std::string_view kHex = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : key) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || c == '/' || c == '-' || c == '_' ||
        c == '.') {
      encoded += c;
    } else {
      encoded += '%';
      encoded += kHex[byte >> 4];
      encoded += kHex[byte & 15];
    }
  }
  return encoded;
}

std::optional<TableItem> ParseItem(const json& value) {
  const bool valid = value.is_object() && value.contains("key") &&
                     value["key"].is_string() && value.contains("value") &&
                     value.contains("version") &&
                     value["version"].is_number_unsigned();
  if (!valid) {
    return std::nullopt;
  }
  return TableItem{value["key"], value["value"], value["version"]};
}

/// Empty if the document is malformed or does not contain `expected` results.
std::optional<std::vector<OperationResult>> ParseResults(const json& document,
                                                         std::size_t expected) {
  const bool valid = document.is_object() && document.contains("results") &&
                     document["results"].is_array() &&
                     document["results"].size() == expected;
  if (!valid) {
    return std::nullopt;
  }
  std::vector<OperationResult> results;
  for (const json& entry : document["results"]) {
    if (!entry.is_object() || !entry.contains("applied") ||
        !entry["applied"].is_boolean()) {
      return std::nullopt;
    }
    results.push_back({entry["applied"], entry.value("version", 0ULL)});
  }
  return results;
}

}  // namespace

HttpTable::HttpTable(http::Client& http_client, std::string server)
    : client(http_client), address(std::move(server)) {}

Task<Result<std::optional<TableItem>>> HttpTable::Read(std::string key) {
  const std::string step = "table.read";
  auto response = co_await this->client.Send(
      this->address,
      http::MakeRequest(http::Verb::get,
                        std::string(kItemsTarget) + "/" + EncodeKey(key)),
      kCallTimeout);
  if (!response) {
    co_return Error{ErrorCode::kUnavailable, step, this->address,
                    response.error().detail};
  }
  if (response.value().result() == http::Status::not_found) {
    co_return std::optional<TableItem>();
  }
  if (response.value().result() != http::Status::ok) {
    co_return Error{ErrorCode::kUnavailable, step, this->address,
                    "status " + std::to_string(response.value().result_int())};
  }
  auto item = ParseItem(json::parse(response.value().body(), nullptr, false));
  if (!item) {
    co_return Error{ErrorCode::kProtocol, step, this->address,
                    "malformed item"};
  }
  co_return item;
}

Task<Result<std::vector<TableItem>>> HttpTable::Scan(std::string prefix) {
  const std::string step = "table.scan";
  auto response = co_await this->client.Send(
      this->address,
      http::MakeRequest(http::Verb::get, std::string(kItemsTarget) +
                                             "?prefix=" + EncodeKey(prefix)),
      kCallTimeout);
  if (!response || response.value().result() != http::Status::ok) {
    co_return Error{ErrorCode::kUnavailable, step, this->address,
                    response ? "refused" : response.error().detail};
  }
  const json document = json::parse(response.value().body(), nullptr, false);
  const json& entries = document.is_object() && document.contains("items")
                            ? document["items"]
                            : document;
  std::vector<TableItem> items;
  for (const json& entry : entries) {
    auto item = ParseItem(entry);
    if (!item) {
      co_return Error{ErrorCode::kProtocol, step, this->address,
                      "malformed item"};
    }
    items.push_back(std::move(*item));
  }
  co_return items;
}

Task<Result<std::vector<OperationResult>>> HttpTable::Transact(
    TransactMode mode, std::vector<TableOperation> operations) {
  const std::string step = "table.transact";
  json body = {{"mode", mode == TransactMode::kAll ? "all" : "each"},
               {"operations", json::array()}};
  for (const TableOperation& operation : operations) {
    body["operations"].push_back(ToJson(operation));
  }
  auto response = co_await this->client.Send(
      this->address,
      http::MakeRequest(http::Verb::post, kTransactTarget, body.dump()),
      kCallTimeout);
  if (!response) {
    Error error = response.error();
    error.step = step;
    co_return error;
  }
  // The service responds 503 only if it did not start the write.
  if (response.value().result() == http::Status::service_unavailable) {
    co_return Error{ErrorCode::kUnavailable, step, this->address, "refused"};
  }
  if (response.value().result() != http::Status::ok) {
    co_return Error{ErrorCode::kUnknownEffect, step, this->address,
                    "status " + std::to_string(response.value().result_int())};
  }
  auto results = ParseResults(
      json::parse(response.value().body(), nullptr, false), operations.size());
  if (!results) {
    co_return Error{ErrorCode::kUnknownEffect, step, this->address,
                    "malformed results"};
  }
  co_return std::move(*results);
}

}  // namespace qp
