#include "standins/vm_list_standin.h"

namespace qp::standins {

namespace {

constexpr std::size_t kMaxVersions = 1024;

const nlohmann::json& EmptyList() {
  static const nlohmann::json kEmpty = nlohmann::json::array();
  return kEmpty;
}

}  // namespace

VmListStandin::VmListStandin(Clock& time, VmListOptions settings)
    : Standin(time), options(settings) {}

Task<void> VmListStandin::Serve(http::Request request,
                                http::Responder& responder) {
  http::Response response =
      ErrorResponse(http::Status::not_found, "not_found", "no such request");
  if (http::PathOf(request) == "/v1/vms") {
    if (request.method() == http::Verb::put) {
      auto vms = nlohmann::json::parse(request.body());
      this->versions.push_back({this->clock.Now(), std::move(vms)});
      if (this->versions.size() > kMaxVersions) {
        this->versions.pop_front();
      }
      response = JsonResponse({{"accepted", true}});
    } else {
      ++this->reads;
      response = JsonResponse(this->Visible());
    }
  }
  co_await Answer(responder, std::move(response));
}

const nlohmann::json& VmListStandin::Visible() const {
  const TimePoint until =
      this->clock.Now() - this->options.lag - this->switches().load_lag;
  for (auto version = this->versions.rbegin(); version != this->versions.rend();
       ++version) {
    if (version->at <= until) {
      return version->vms;
    }
  }
  return EmptyList();
}

nlohmann::json VmListStandin::Record(std::size_t) const {
  return {{"versions", this->versions.size()}, {"reads", this->reads}};
}

}  // namespace qp::standins
