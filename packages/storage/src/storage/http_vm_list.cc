#include "storage/http_vm_list.h"

#include <nlohmann/json.hpp>
#include <optional>

#include "http/client.h"

namespace qp {

namespace {

using nlohmann::json;

std::optional<Vm> ParseVm(const json& entry) {
  if (!entry.is_object()) {
    return std::nullopt;
  }
  for (const char* key : {"vm", "role", "address"}) {
    if (!entry.contains(key) || !entry[key].is_string()) {
      return std::nullopt;
    }
  }
  Vm vm;
  vm.name = entry["vm"];
  vm.role = entry["role"];
  vm.address = entry["address"];
  vm.region = entry.value("region", "");
  vm.availability_zone = entry.value("zone", "");
  vm.state = entry.value("state", "live") == "leaving" ? VmState::kLeaving
                                                       : VmState::kLive;
  return vm;
}

}  // namespace

HttpVmList::HttpVmList(http::Client& http_client, std::string server)
    : client(http_client), address(std::move(server)) {}

Task<Result<std::vector<Vm>>> HttpVmList::Fetch() {
  auto response = co_await this->client.Send(
      this->address, http::MakeRequest(http::Verb::get, "/v1/vms"),
      kCallTimeout);
  if (!response || response.value().result() != http::Status::ok) {
    co_return Error{ErrorCode::kUnavailable, "vm_list.fetch", this->address,
                    response ? "refused" : response.error().detail};
  }
  const json document = json::parse(response.value().body(), nullptr, false);
  if (!document.is_array()) {
    co_return Error{ErrorCode::kProtocol, "vm_list.fetch", this->address,
                    "expected an array"};
  }
  std::vector<Vm> vms;
  for (const json& entry : document) {
    if (auto vm = ParseVm(entry)) {
      vms.push_back(std::move(*vm));
    }
  }
  co_return vms;
}

}  // namespace qp
