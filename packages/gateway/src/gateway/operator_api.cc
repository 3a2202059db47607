#include "gateway/operator_api.h"

#include <charconv>
#include <optional>
#include <tuple>

#include "gateway/bearer_token.h"
#include "gateway/responses.h"
#include "storage/configuration_store.h"

namespace qp {

namespace {

constexpr std::string_view kChangesPrefix = "/v1/configuration/changes/";

http::Response PlainText(http::Status status, std::string body) {
  http::Response response = http::MakeResponse(status, std::move(body));
  response.set(boost::beast::http::field::content_type,
               "text/plain; version=0.0.4; charset=utf-8");
  return response;
}

http::Response Refused(http::Status status, std::string code,
                       std::string message) {
  return ToResponse(
      InvalidRequest(status, std::move(code), std::move(message)));
}

http::Response WrongMethod(const char* allowed) {
  http::Response response =
      Refused(http::Status::method_not_allowed, "wrong_method",
              std::string("this path takes ") + allowed);
  response.set(boost::beast::http::field::allow, allowed);
  return response;
}

http::Response Reported(const Result<nlohmann::json>& report) {
  if (report) {
    return CompleteResponse(http::Status::ok, Dump(report.value()));
  }
  return ToResponse(
      FromResult({Outcome::kNotRun, report.error(), std::nullopt}));
}

http::Status StatusOf(ChangeStatus status) {
  switch (status) {
    case ChangeStatus::kInForce:
      return http::Status::ok;
    case ChangeStatus::kPending:
      return http::Status::accepted;
    case ChangeStatus::kRefused:
      return http::Status::conflict;
    case ChangeStatus::kInvalid:
      return http::Status::bad_request;
    case ChangeStatus::kUnknown:
      return http::Status::gateway_timeout;
    case ChangeStatus::kUnavailable:
      return http::Status::service_unavailable;
  }
  return http::Status::internal_server_error;
}

Outcome OutcomeOf(ChangeStatus status) {
  switch (status) {
    case ChangeStatus::kInForce:
    case ChangeStatus::kPending:
      return Outcome::kComplete;
    case ChangeStatus::kRefused:
    case ChangeStatus::kInvalid:
    case ChangeStatus::kUnavailable:
      return Outcome::kNotRun;
    case ChangeStatus::kUnknown:
      return Outcome::kUnknown;
  }
  return Outcome::kUnknown;
}

http::Response Reported(const ChangeReport& report) {
  http::Response response =
      http::MakeResponse(StatusOf(report.status), Dump(ToJson(report)));
  response.set(kOutcomeHeader, std::string(ToString(OutcomeOf(report.status))));
  if (report.status == ChangeStatus::kUnavailable) {
    response.set(boost::beast::http::field::retry_after,
                 RetryAfterSeconds(std::chrono::seconds(1)));
  }
  return response;
}

std::optional<std::uint64_t> ReadVersion(std::string_view text) {
  std::uint64_t version = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, version);
  if (parsed.ec != std::errc{} || parsed.ptr != end) {
    return std::nullopt;
  }
  return version;
}

/// Pages that need no token; empty for other paths.
std::optional<http::Response> PublicPage(const http::Request& request,
                                         OperatorService& service) {
  const std::string_view path = http::PathOf(request);
  if (path == "/metrics") {
    return PlainText(http::Status::ok, service.MetricsText());
  }
  if (path == "/healthz") {
    return PlainText(http::Status::ok, "ok\n");
  }
  if (path == "/readyz") {
    return service.IsReady()
               ? PlainText(http::Status::ok, "ready\n")
               : PlainText(http::Status::service_unavailable, "not ready\n");
  }
  return std::nullopt;
}

}  // namespace

nlohmann::json ToJson(const ChangeReport& report) {
  return {{"status", ToString(report.status)}, {"change_id", report.change_id},
          {"version", report.version},         {"pending", report.pending},
          {"difference", report.difference},   {"detail", report.detail}};
}

OperatorApi::OperatorApi(OperatorService& target, std::string digest,
                         EventSink& sink, std::uint64_t seed)
    : service(target),
      token_sha256(std::move(digest)),
      events(sink),
      random(seed) {}

Task<void> OperatorApi::Handle(http::Request request,
                               http::Responder& responder) {
  auto page = PublicPage(request, this->service);
  if (page) {
    http::Response response = std::move(*page);
    std::ignore = co_await responder.Send(std::move(response));
    co_return;
  }
  if (!this->IsAuthorized(request)) {
    this->events.Record(EventId::kAccessDenied, {{"listener", "operators"}});
    http::Response denied = Refused(http::Status::unauthorized, "access_denied",
                                    "the bearer token is missing or not known");
    denied.set(boost::beast::http::field::www_authenticate, "Bearer");
    std::ignore = co_await responder.Send(std::move(denied));
    co_return;
  }
  http::Response response = co_await this->Answer(request);
  std::ignore = co_await responder.Send(std::move(response));
}

Task<http::Response> OperatorApi::Answer(const http::Request& request) {
  const std::string_view path = http::PathOf(request);
  const bool is_get = request.method() == http::Verb::get;
  if (path == "/v1/configuration") {
    co_return co_await this->AnswerConfiguration(request);
  }
  if (path == "/v1/forecast") {
    co_return co_await this->AnswerForecast(request);
  }
  if (path == "/v1/drain") {
    if (request.method() != http::Verb::post) {
      co_return WrongMethod("POST");
    }
    this->service.Drain();
    co_return CompleteResponse(http::Status::accepted,
                               R"({"status":"draining"})");
  }
  const bool is_change = path.starts_with(kChangesPrefix);
  const bool is_known = is_change || path == "/v1/configuration/history" ||
                        path == "/v1/status" || path == "/v1/timeline" ||
                        path == "/v1/spending";
  if (!is_known) {
    co_return Refused(http::Status::not_found, "unknown_path",
                      "there is no such path");
  }
  if (!is_get) {
    co_return WrongMethod("GET");
  }
  if (is_change) {
    std::string change_id(path.substr(kChangesPrefix.size()));
    co_return Reported(
        co_await this->service.ResolveChange(std::move(change_id)));
  }
  if (path == "/v1/configuration/history") {
    co_return Reported(co_await this->service.History());
  }
  if (path == "/v1/spending") {
    co_return Reported(co_await this->service.Spending());
  }
  co_return CompleteResponse(
      http::Status::ok,
      Dump(path == "/v1/status" ? this->service.StatusReport()
                                : this->service.TimelineReport()));
}

Task<http::Response> OperatorApi::AnswerConfiguration(
    const http::Request& request) {
  if (request.method() == http::Verb::get) {
    co_return Reported(this->service.CurrentConfiguration());
  }
  if (request.method() == http::Verb::put) {
    co_return co_await this->AnswerChange(request);
  }
  co_return WrongMethod("GET, PUT");
}

Task<http::Response> OperatorApi::AnswerChange(const http::Request& request) {
  const auto version =
      ReadVersion(http::QueryParameter(request, "expected_version"));
  if (!version) {
    co_return Refused(http::Status::bad_request, "invalid_expected_version",
                      "expected_version must be the version that the change "
                      "is based on, or 0 for the first");
  }
  std::string change_id = http::QueryParameter(request, "change_id");
  if (change_id.empty()) {
    change_id = ConfigurationStore::MakeChangeId(*version, this->random());
  }
  // Such an id could not be resolved after a lost answer of the table.
  if (!change_id.starts_with(std::to_string(*version) + "-")) {
    co_return Refused(http::Status::bad_request, "invalid_change_id",
                      "change_id must begin with the expected version and "
                      "a hyphen");
  }
  auto document = nlohmann::json::parse(request.body(), nullptr, false);
  if (document.is_discarded()) {
    co_return Refused(http::Status::bad_request, "invalid_json",
                      "the body must be a JSON document");
  }
  co_return Reported(co_await this->service.Change(
      std::move(document), *version, std::move(change_id)));
}

Task<http::Response> OperatorApi::AnswerForecast(const http::Request& request) {
  if (request.method() != http::Verb::post) {
    co_return WrongMethod("POST");
  }
  nlohmann::json what_if;
  if (!request.body().empty()) {
    what_if = nlohmann::json::parse(request.body(), nullptr, false);
  }
  if (what_if.is_discarded()) {
    co_return Refused(http::Status::bad_request, "invalid_json",
                      "the body must be a configuration or empty");
  }
  co_return Reported(co_await this->service.Forecast(std::move(what_if)));
}

bool OperatorApi::IsAuthorized(const http::Request& request) const {
  const std::string_view token = BearerToken(request);
  return !token.empty() && EqualDigests(Sha256Hex(token), this->token_sha256);
}

}  // namespace qp
