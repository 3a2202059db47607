#include "daemon/generation_json.h"

#include <nlohmann/json.hpp>

namespace qp {

namespace {

using nlohmann::json;

json ToJson(const std::vector<policy::BudgetMember>& members) {
  json array = json::array();
  for (const policy::BudgetMember& member : members) {
    array.push_back(
        {{"node", member.node}, {"incarnation", member.incarnation}});
  }
  return array;
}

std::optional<std::vector<policy::BudgetMember>> MembersOf(const json& value,
                                                           const char* key) {
  if (!value.contains(key) || !value[key].is_array()) {
    return std::nullopt;
  }
  std::vector<policy::BudgetMember> members;
  for (const json& entry : value[key]) {
    const bool valid = entry.is_object() && entry.contains("node") &&
                       entry["node"].is_string() &&
                       entry.contains("incarnation") &&
                       entry["incarnation"].is_number_unsigned();
    if (!valid) {
      return std::nullopt;
    }
    members.push_back({entry["node"], entry["incarnation"]});
  }
  return members;
}

}  // namespace

json ToJson(const policy::BudgetGeneration& generation) {
  return {{"number", generation.number},
          {"members", ToJson(generation.members)},
          {"previous_members", ToJson(generation.previous_members)}};
}

std::optional<policy::BudgetGeneration> GenerationOf(const json& value) {
  if (!value.is_object() || !value.contains("number") ||
      !value["number"].is_number_unsigned()) {
    return std::nullopt;
  }
  auto members = MembersOf(value, "members");
  auto previous = MembersOf(value, "previous_members");
  if (!members || !previous) {
    return std::nullopt;
  }
  return policy::BudgetGeneration{value["number"], std::move(*members),
                                  std::move(*previous)};
}

}  // namespace qp
