#include "standins/service_standin.h"

#include "foundation/wait.h"
#include "standins/layer_digest.h"

namespace qp::standins {

ServiceStandin::ServiceStandin(Clock& time, ServiceOptions settings)
    : Standin(time), options(std::move(settings)) {}

Task<void> ServiceStandin::Serve(http::Request request,
                                 http::Responder& responder) {
  http::Response response =
      ErrorResponse(http::Status::not_found, "not_found", "no such request");
  const bool call = request.method() == http::Verb::post;
  if (!call && http::PathOf(request) == "/status") {
    response = JsonResponse(this->Status());
  } else if (call && this->switches().leaving) {
    response = ErrorResponse(http::Status::service_unavailable, "leaving",
                             "the server takes no new calls");
  } else if (call && this->load.current().running >= this->options.slots) {
    response = ErrorResponse(http::Status::service_unavailable, "overloaded",
                             "all slots are taken");
  } else if (call) {
    this->ChangeRunning(+1);
    if (this->options.service_time > Duration{0}) {
      co_await SleepFor(this->clock, this->options.service_time);
    }
    response = JsonResponse(this->Execute(request));
    this->ChangeRunning(-1);
  }
  co_await Answer(responder, std::move(response));
}

nlohmann::json ServiceStandin::Status() const {
  const Load reported =
      this->load.At(this->clock.Now() - this->switches().load_lag);
  return {{"service", this->options.service},
          {"running", reported.running},
          {"slots", this->options.slots},
          {"leaving", this->switches().leaving},
          {"incarnation", this->options.incarnation}};
}

nlohmann::json ServiceStandin::Execute(const http::Request& request) {
  const std::string operation = PathAfter(request, "/");
  const std::string key(http::HeaderOr(request, "Idempotency-Key"));
  const std::string id(http::HeaderOr(request, "X-Request-Id"));
  this->executions.push_back({key, id, operation, this->clock.WallNow()});
  this->OnExecution(ToJson(this->executions.back()));
  const std::uint64_t execution =
      key.empty() ? 1 : ++this->executions_by_key[key];
  return {
      {"service", this->options.service},
      {"operation", operation},
      {"execution", execution},
      {"result", DigestOf({this->options.service, operation, request.body()})}};
}

nlohmann::json ServiceStandin::ToJson(const Execution& execution) {
  return {{"key", execution.key},
          {"request", execution.request},
          {"operation", execution.operation},
          {"time_ms", execution.time}};
}

nlohmann::json ServiceStandin::Record(std::size_t since) const {
  nlohmann::json items = nlohmann::json::array();
  for (std::size_t index = since; index < this->executions.size(); ++index) {
    items.push_back(ToJson(this->executions[index]));
  }
  return {{"service", this->options.service}, {"executions", items}};
}

void ServiceStandin::ChangeRunning(int change) {
  Load changed = this->load.current();
  changed.running += change;
  this->load.Set(this->clock.Now(), changed);
}

}  // namespace qp::standins
