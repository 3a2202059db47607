#include "standins/object_store_standin.h"

namespace qp::standins {

namespace {

constexpr std::string_view kObjectsPath = "/v1/objects/";

}  // namespace

ObjectStoreStandin::ObjectStoreStandin(Clock& time) : Standin(time) {}

Task<void> ObjectStoreStandin::Serve(http::Request request,
                                     http::Responder& responder) {
  http::Response response =
      ErrorResponse(http::Status::not_found, "not_found", "no such object");
  if (http::PathOf(request).starts_with(kObjectsPath)) {
    const std::string key = PathAfter(request, kObjectsPath);
    if (request.method() == http::Verb::put) {
      ++this->writes;
      this->objects[key] = request.body();
      response = JsonResponse({{"key", key}});
    } else if (request.method() == http::Verb::delete_) {
      ++this->writes;
      this->objects.erase(key);
      response = JsonResponse({{"key", key}});
    } else {
      ++this->reads;
      const auto found = this->objects.find(key);
      if (found != this->objects.end()) {
        response = http::MakeResponse(http::Status::ok, found->second);
      }
    }
  }
  co_await Answer(responder, std::move(response));
}

nlohmann::json ObjectStoreStandin::Record(std::size_t) const {
  return {{"writes", this->writes},
          {"reads", this->reads},
          {"objects", this->objects.size()}};
}

}  // namespace qp::standins
