#include "gateway/http_service_client.h"

#include "gateway/url.h"

namespace qp {

namespace {

constexpr const char* kStep = "service.call";

http::Request MakeCall(const ServiceCall& call) {
  http::Request request = http::MakeRequest(
      http::Verb::post, "/" + UrlEncode(call.operation), call.body);
  if (!call.request_id.empty()) {
    request.set("X-Request-Id", call.request_id);
  }
  if (!call.idempotency_key.empty()) {
    request.set("Idempotency-Key", call.idempotency_key);
  }
  return request;
}

/// A call with an idempotency key must not run twice. A kept connection that
/// the service closes meanwhile would lose the write without telling whether
/// the service read it, so such a call takes a fresh one.
http::Connection ConnectionFor(const ServiceCall& call) {
  return call.idempotency_key.empty() ? http::Connection::kReuse
                                      : http::Connection::kFresh;
}

/// A server that was not reached and an address that is not one were sent
/// nothing; every other failure may have come after the write.
Error FromExchange(const Error& error, const std::string& address) {
  const bool nothing_sent = error.code == ErrorCode::kUnavailable ||
                            error.code == ErrorCode::kInvalidArgument;
  const ErrorCode code =
      nothing_sent ? ErrorCode::kUnavailable : ErrorCode::kUnknownEffect;
  return {code, kStep, address, error.detail};
}

}  // namespace

HttpServiceClient::HttpServiceClient(http::Client& sender) : client(sender) {}

Task<Result<ServiceReply>> HttpServiceClient::Call(std::string address,
                                                   ServiceCall call,
                                                   Duration bound) {
  http::Request request = MakeCall(call);
  const http::Connection connection = ConnectionFor(call);
  Result<http::Response> answer = co_await this->client.Send(
      address, std::move(request), bound, connection);
  if (!answer) {
    co_return FromExchange(answer.error(), address);
  }
  http::Response& response = answer.value();
  if (response.result() == http::Status::service_unavailable) {
    co_return Error{ErrorCode::kRefused, kStep, address, response.body()};
  }
  ServiceReply reply;
  reply.status = static_cast<int>(response.result_int());
  reply.body = std::move(response.body());
  co_return reply;
}

}  // namespace qp
