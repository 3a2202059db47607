#include "daemon/backend_status.h"

#include <nlohmann/json.hpp>

namespace qp {

namespace {

using nlohmann::json;

std::string StringOf(const json& status, const char* key) {
  const auto found = status.find(key);
  return found != status.end() && found->is_string() ? found->get<std::string>()
                                                     : std::string();
}

std::uint64_t NumberOf(const json& status, const char* key) {
  const auto found = status.find(key);
  return found != status.end() && found->is_number_unsigned()
             ? found->get<std::uint64_t>()
             : 0;
}

std::uint32_t CountOf(const json& status, const char* key) {
  return static_cast<std::uint32_t>(NumberOf(status, key));
}

}  // namespace

std::string_view StatusTarget(std::string_view role) {
  return role == "engine" ? "/v1/engine/status" : "/status";
}

std::optional<Observation> ObservationOf(const Vm& vm, std::string_view body) {
  const json status = json::parse(body, nullptr, false);
  if (!status.is_object()) {
    return std::nullopt;
  }
  Observation observation;
  observation.backend = vm.name;
  observation.incarnation = NumberOf(status, "incarnation");
  observation.kind = StringOf(status, "kind");
  observation.model = StringOf(status, "model");
  observation.service = StringOf(status, "service");
  observation.first_layer = CountOf(status, "first_layer");
  observation.last_layer = CountOf(status, "last_layer");
  observation.slots = CountOf(status, "slots");
  observation.running = CountOf(status, "running");
  observation.queued = CountOf(status, "queued");
  const auto leaving = status.find("leaving");
  observation.leaving =
      leaving != status.end() && leaving->is_boolean() && leaving->get<bool>();
  return observation;
}

}  // namespace qp
