#include "daemon/report_json.h"

#include <nlohmann/json.hpp>

namespace qp {

using nlohmann::json;

json ToJson(const Member& member) {
  return {{"node", member.node},
          {"peer_address", member.peer_address},
          {"region", member.region},
          {"availability_zone", member.availability_zone},
          {"state", ToString(member.state)},
          {"configuration_version", member.configuration_version}};
}

json ToJson(const Backend& backend) {
  json value = {{"vm", backend.name},
                {"address", backend.address},
                {"availability_zone", backend.availability_zone},
                {"running", backend.running},
                {"queued", backend.queued},
                {"slots", backend.slots},
                {"leaving", backend.leaving},
                {"reachable", backend.reachable}};
  if (backend.role == BackendRole::kEngine) {
    value["role"] = "engine";
    value["kind"] = backend.kind;
    value["model"] = backend.model;
    value["first_layer"] = backend.first_layer;
    value["last_layer"] = backend.last_layer;
  } else {
    value["role"] = "service";
    value["service"] = backend.service;
  }
  return value;
}

json ToJson(const BudgetsView& budgets) {
  json shares = json::object();
  for (const auto& [name, share] : budgets.shares) {
    shares[name] = {{"requests_per_second", share.requests_per_second},
                    {"tokens_per_second", share.tokens_per_second}};
  }
  return {{"generation", budgets.generation}, {"shares", std::move(shares)}};
}

}  // namespace qp
