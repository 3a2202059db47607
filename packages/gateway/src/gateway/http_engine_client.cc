#include "gateway/http_engine_client.h"

#include <tuple>

#include "foundation/spawn.h"
#include "gateway/engine_messages.h"
#include "gateway/responses.h"
#include "gateway/url.h"

namespace qp {

namespace {

/// Bound on the notice to an engine that a stream is no longer wanted. The
/// engine also sees its connection closed, so the notice may be lost.
constexpr Duration kCancelBound = std::chrono::seconds(1);

/// Longest part of a peer's error body that is kept in an error.
constexpr std::size_t kMaxDetailBytes = 256;

Error StatusError(http::Status status, std::string step, std::string peer,
                  std::string_view body) {
  ErrorCode code = ErrorCode::kProtocol;
  if (status == http::Status::service_unavailable) {
    code = ErrorCode::kRefused;
  } else if (status == http::Status::not_found) {
    code = ErrorCode::kNotFound;
  }
  std::string detail =
      "status " + std::to_string(static_cast<unsigned>(status));
  if (!body.empty()) {
    detail += ": " + std::string(body.substr(0, kMaxDetailBytes));
  }
  return {code, std::move(step), std::move(peer), std::move(detail)};
}

Error AtStep(Error error, std::string step, const std::string& peer) {
  error.step = std::move(step);
  error.peer = peer;
  return error;
}

/// A coroutine of its own, since the stream that it belongs to may be gone.
Task<void> SendCancel(http::Client& client, std::string address,
                      std::string body) {
  http::Request request =
      http::MakeRequest(http::Verb::post, "/v1/engine/cancel", std::move(body));
  std::ignore = co_await client.Send(std::move(address), std::move(request),
                                     kCancelBound);
}

class HttpTokenStream : public TokenStream {
 public:
  HttpTokenStream(asio::io_context& context, http::Client& sender,
                  std::unique_ptr<http::ResponseStream> source,
                  const StreamRequest& opened)
      : io(context),
        client(sender),
        body(std::move(source)),
        request(opened.request),
        attempt(opened.attempt),
        address(opened.route.front().address) {}

  ~HttpTokenStream() override { this->body->Close(); }

  Task<Result<StreamItem>> Next(Duration bound) override {
    // Lines that arrived before the cancellation are still buffered.
    if (this->cancelled) {
      co_return Error{ErrorCode::kCancelled, "engine.stream", this->address,
                      "the stream was cancelled"};
    }
    Result<std::optional<std::string>> line =
        co_await this->body->ReadLine(bound);
    if (!line) {
      co_return AtStep(std::move(line).error(), "engine.stream", this->address);
    }
    if (!line.value()) {
      co_return Error{ErrorCode::kProtocol, "engine.stream", this->address,
                      "the stream ended without a finish record"};
    }
    Result<StreamItem> item = ReadStreamItem(*line.value(), this->address);
    if (item) {
      this->ended = !std::holds_alternative<TokenRecord>(item.value());
    }
    co_return item;
  }

  void Cancel() override {
    this->cancelled = true;
    this->body->Close();
    if (std::exchange(this->ended, true)) {
      return;
    }
    const nlohmann::json notice = {{"request", this->request},
                                   {"attempt", this->attempt}};
    Spawn(this->io, "engine.cancel",
          SendCancel(this->client, this->address, Dump(notice)));
  }

 private:
  asio::io_context& io;
  http::Client& client;
  std::unique_ptr<http::ResponseStream> body;
  std::string request;
  std::uint32_t attempt;
  std::string address;
  bool cancelled = false;
  bool ended = false;  ///< The engine has nothing left to cancel.
};

}  // namespace

HttpEngineClient::HttpEngineClient(asio::io_context& context, const Clock& time,
                                   http::Client& sender)
    : io(context), clock(time), client(sender) {}

Task<Result<std::unique_ptr<TokenStream>>> HttpEngineClient::Open(
    StreamRequest request, Duration bound) {
  if (request.route.empty()) {
    co_return Error{ErrorCode::kInvalidArgument, "engine.open", "",
                    "the route has no stage"};
  }
  const std::string address = request.route.front().address;
  const TimePoint started = this->clock.Now();
  http::Request message = http::MakeRequest(
      http::Verb::post, "/v1/engine/streams", Dump(ToJson(request)));
  Result<std::unique_ptr<http::ResponseStream>> opened =
      co_await this->client.Open(address, std::move(message), bound);
  if (!opened) {
    co_return AtStep(std::move(opened).error(), "engine.open", address);
  }
  std::unique_ptr<http::ResponseStream> body = std::move(opened).value();
  const http::Status status = body->status();
  if (status != http::Status::ok) {
    const Duration left = bound - (this->clock.Now() - started);
    const auto detail = co_await body->ReadLine(left);
    body->Close();
    const std::string text =
        detail ? detail.value().value_or("") : std::string();
    co_return StatusError(status, "engine.open", address, text);
  }
  co_return std::make_unique<HttpTokenStream>(this->io, this->client,
                                              std::move(body), request);
}

Task<Result<void>> HttpEngineClient::TransferKv(std::string request,
                                                RouteStage from, RouteStage to,
                                                Duration bound) {
  const bool same_layers =
      from.first_layer == to.first_layer && from.last_layer == to.last_layer;
  if (!same_layers) {
    co_return Error{ErrorCode::kInvalidArgument, "engine.kv", to.address,
                    "the engines hold different layers"};
  }
  const TimePoint started = this->clock.Now();
  http::Request fetch = http::MakeRequest(
      http::Verb::get, "/v1/engine/kv?request=" + UrlEncode(request));
  Result<http::Response> exported =
      co_await this->client.Send(from.address, std::move(fetch), bound);
  if (!exported) {
    co_return AtStep(std::move(exported).error(), "engine.kv.export",
                     from.address);
  }
  if (exported.value().result() != http::Status::ok) {
    co_return StatusError(exported.value().result(), "engine.kv.export",
                          from.address, exported.value().body());
  }
  const Duration left = bound - (this->clock.Now() - started);
  if (left <= Duration::zero()) {
    co_return Error{ErrorCode::kTimeout, "engine.kv.import", to.address,
                    "the export took the whole bound"};
  }
  http::Request store = http::MakeRequest(http::Verb::put, "/v1/engine/kv",
                                          std::move(exported.value().body()));
  const Result<http::Response> imported =
      co_await this->client.Send(to.address, std::move(store), left);
  if (!imported) {
    co_return AtStep(imported.error(), "engine.kv.import", to.address);
  }
  if (imported.value().result_int() / 100 != 2) {
    co_return StatusError(imported.value().result(), "engine.kv.import",
                          to.address, imported.value().body());
  }
  co_return Ok();
}

}  // namespace qp
