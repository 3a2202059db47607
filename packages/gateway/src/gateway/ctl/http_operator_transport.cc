#include "gateway/ctl/http_operator_transport.h"

#include <exception>
#include <optional>

namespace qp::ctl {

namespace {

Task<void> SendOnce(http::Client& client, std::string daemon,
                    http::Request request,
                    std::optional<Result<http::Response>>& answer) {
  answer.emplace(co_await client.Send(std::move(daemon), std::move(request),
                                      HttpOperatorTransport::kBound,
                                      http::Connection::kFresh));
}

}  // namespace

HttpOperatorTransport::HttpOperatorTransport(Clock& time, std::string bearer)
    : clock(time), token(std::move(bearer)) {}

Result<OperatorReply> HttpOperatorTransport::Exchange(
    const std::string& daemon, const OperatorRequest& request) {
  http::Request message =
      http::MakeRequest(request.verb, request.target, request.body);
  if (!this->token.empty()) {
    message.set(boost::beast::http::field::authorization,
                "Bearer " + this->token);
  }
  asio::io_context io;
  http::Client client(io, this->clock);
  std::optional<Result<http::Response>> answer;
  asio::co_spawn(io, SendOnce(client, daemon, std::move(message), answer),
                 [&io](const std::exception_ptr&) { io.stop(); });
  // The bound of the exchange is a timer of the clock and not of the context,
  // which must therefore not run out of work.
  const auto work = asio::make_work_guard(io);
  io.run();
  if (!answer) {
    return Error{ErrorCode::kUnknownEffect, "operator.exchange", daemon,
                 "the exchange ended unexpectedly"};
  }
  if (!*answer) {
    return answer->error();
  }
  http::Response& response = answer->value();
  OperatorReply reply;
  reply.status = static_cast<int>(response.result_int());
  reply.body = std::move(response.body());
  return reply;
}

}  // namespace qp::ctl
