#include "standins/table_standin.h"

#include <algorithm>

namespace qp::standins {

namespace {

constexpr std::string_view kItemsPath = "/v1/table/items";

std::int64_t SecondOf(TimePoint now) {
  return std::chrono::duration_cast<std::chrono::seconds>(
             now.time_since_epoch())
      .count();
}

nlohmann::json ItemJson(const std::string& key, const nlohmann::json& value,
                        std::uint64_t version) {
  return {{"key", key}, {"value", value}, {"version", version}};
}

}  // namespace

void RateCount::Add(TimePoint now) {
  const std::int64_t current = SecondOf(now);
  this->in_second = current == this->second ? this->in_second + 1 : 1;
  this->second = current;
  this->greatest = std::max(this->greatest, this->in_second);
  ++this->count;
}

std::uint64_t RateCount::InSecondOf(TimePoint now) const {
  return SecondOf(now) == this->second ? this->in_second : 0;
}

TableStandin::TableStandin(Clock& time, TableOptions settings)
    : Standin(time), options(settings) {}

Task<void> TableStandin::Serve(http::Request request,
                               http::Responder& responder) {
  const std::string_view path = http::PathOf(request);
  const bool get = request.method() == http::Verb::get;
  http::Response response =
      ErrorResponse(http::Status::not_found, "not_found", "no such request");
  if (!get && path == "/v1/table/transact") {
    response = this->Transact(nlohmann::json::parse(request.body()));
  } else if (get && path == kItemsPath) {
    response = this->Scan(http::QueryParameter(request, "prefix"));
  } else if (get && path.starts_with(std::string(kItemsPath) + "/")) {
    response = this->Read(PathAfter(request, std::string(kItemsPath) + "/"));
  }
  co_await Answer(responder, std::move(response));
}

http::Response TableStandin::Transact(const nlohmann::json& body) {
  const TimePoint now = this->clock.Now();
  const std::uint64_t limit = this->options.writes_per_second;
  if (limit > 0 && this->writes.InSecondOf(now) >= limit) {
    return ErrorResponse(http::Status::service_unavailable, "rate_limited",
                         "the write rate is exceeded");
  }
  const auto mode = body.at("mode").get<std::string>();
  if (mode != "all" && mode != "each") {
    return ErrorResponse(http::Status::bad_request, "invalid_argument",
                         "mode must be all or each");
  }
  std::vector<Operation> operations;
  for (const auto& document : body.at("operations")) {
    operations.push_back(ReadOperation(document));
  }
  this->writes.Add(now);
  const bool all_hold =
      std::all_of(operations.begin(), operations.end(),
                  [this](const auto& item) { return this->Holds(item); });
  nlohmann::json results = nlohmann::json::array();
  for (const Operation& operation : operations) {
    const bool applies = mode == "all" ? all_hold : this->Holds(operation);
    if (applies) {
      this->Apply(operation);
    }
    results.push_back(
        {{"applied", applies}, {"version", this->VersionOf(operation.key)}});
  }
  return JsonResponse({{"results", results}});
}

TableStandin::Operation TableStandin::ReadOperation(
    const nlohmann::json& document) {
  Operation operation;
  if (document.contains("put")) {
    document.at("put").at("key").get_to(operation.key);
    operation.put = document.at("put").at("value");
  } else {
    document.at("delete").at("key").get_to(operation.key);
  }
  operation.condition = document.value("if", nlohmann::json());
  return operation;
}

bool TableStandin::Holds(const Operation& operation) const {
  const nlohmann::json& condition = operation.condition;
  const auto found = this->items.find(operation.key);
  const bool absent = found == this->items.end();
  if (condition.is_null() || condition.empty()) {
    return true;
  }
  if (condition.contains("absent")) {
    return absent == condition.at("absent").get<bool>();
  }
  if (condition.contains("version")) {
    return !absent && found->second.version ==
                          condition.at("version").get<std::uint64_t>();
  }
  const auto field = condition.at("field").get<std::string>();
  const nlohmann::json& wanted = condition.at("equals");
  if (absent) {
    return condition.value("or_absent", false);
  }
  const nlohmann::json& value = found->second.value;
  return value.is_object() && value.contains(field) && value[field] == wanted;
}

void TableStandin::Apply(const Operation& operation) {
  if (operation.put) {
    this->items[operation.key] = {*operation.put, ++this->last_version};
  } else {
    this->items.erase(operation.key);
  }
}

std::uint64_t TableStandin::VersionOf(const std::string& key) const {
  const auto found = this->items.find(key);
  return found == this->items.end() ? 0 : found->second.version;
}

http::Response TableStandin::Read(const std::string& key) {
  this->reads.Add(this->clock.Now());
  const auto found = this->items.find(key);
  if (found == this->items.end()) {
    return ErrorResponse(http::Status::not_found, "not_found",
                         "no item " + key);
  }
  return JsonResponse(
      ItemJson(key, found->second.value, found->second.version));
}

http::Response TableStandin::Scan(const std::string& prefix) {
  this->reads.Add(this->clock.Now());
  nlohmann::json found = nlohmann::json::array();
  for (auto item = this->items.lower_bound(prefix);
       item != this->items.end() && item->first.starts_with(prefix); ++item) {
    found.push_back(
        ItemJson(item->first, item->second.value, item->second.version));
  }
  return JsonResponse({{"items", found}});
}

nlohmann::json TableStandin::Record(std::size_t) const {
  const TimePoint now = this->clock.Now();
  return {{"writes", this->writes.total()},
          {"writes_this_second", this->writes.InSecondOf(now)},
          {"peak_writes_per_second", this->writes.peak()},
          {"reads", this->reads.total()},
          {"peak_reads_per_second", this->reads.peak()}};
}

}  // namespace qp::standins
