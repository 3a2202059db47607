#include "standins/standin.h"

#include <charconv>
#include <tuple>

#include "foundation/wait.h"

namespace qp::standins {

namespace {

constexpr Duration kHoldPoll = std::chrono::milliseconds(20);

/// Takes an answer and never sends it; the connection stays open until the
/// client gives up.
class LosingResponder : public http::Responder {
 public:
  LosingResponder(Clock& time, http::Responder& lost)
      : clock(time), inner(lost) {}

  Task<Result<void>> Send(http::Response) override {
    co_await this->Hold();
    co_return Ok();
  }
  Task<Result<void>> BeginStream(http::Response) override { co_return Ok(); }
  Task<Result<void>> Write(std::string_view) override { co_return Ok(); }
  Task<Result<void>> End() override {
    co_await this->Hold();
    co_return Ok();
  }
  void Abort() override { this->inner.Abort(); }
  bool disconnected() const override { return this->inner.disconnected(); }

 private:
  Task<void> Hold() {
    while (!this->inner.disconnected()) {
      co_await SleepFor(this->clock, kHoldPoll);
    }
    this->inner.Abort();
  }

  Clock& clock;
  http::Responder& inner;
};

int HexValue(char digit) {
  int value = -1;
  std::from_chars(&digit, &digit + 1, value, 16);
  return value;
}

std::string PercentDecoded(std::string_view text) {
  std::string decoded;
  for (std::size_t index = 0; index < text.size(); ++index) {
    const bool escape = text[index] == '%' && index + 2 < text.size() &&
                        HexValue(text[index + 1]) >= 0 &&
                        HexValue(text[index + 2]) >= 0;
    if (!escape) {
      decoded += text[index];
      continue;
    }
    decoded += static_cast<char>(16 * HexValue(text[index + 1]) +
                                 HexValue(text[index + 2]));
    index += 2;
  }
  return decoded;
}

}  // namespace

http::Response ErrorResponse(http::Status status, std::string_view code,
                             std::string_view message) {
  const nlohmann::json body = {
      {"error", {{"code", code}, {"message", message}}}};
  return http::MakeResponse(status, body.dump());
}

http::Response JsonResponse(const nlohmann::json& body) {
  return http::MakeResponse(http::Status::ok, body.dump());
}

Task<void> Answer(http::Responder& responder, http::Response response) {
  std::ignore = co_await responder.Send(std::move(response));
}

std::string PathAfter(const http::Request& request, std::string_view prefix) {
  return PercentDecoded(http::PathOf(request).substr(prefix.size()));
}

std::size_t SinceOf(const http::Request& request) {
  const std::string text = http::QueryParameter(request, "since");
  std::size_t since = 0;
  std::from_chars(text.data(), text.data() + text.size(), since);
  return since;
}

Standin::Standin(Clock& time) : clock(time) {}

void Standin::OnSwitches(OnChange callback) {
  this->on_switches = std::move(callback);
}

bool Standin::WriteExecutionsTo(const std::string& path) {
  this->execution_file.open(path, std::ios::app);
  return this->execution_file.is_open();
}

void Standin::OnExecution(const nlohmann::json& execution) {
  if (this->execution_file.is_open()) {
    this->execution_file << execution.dump() + "\n" << std::flush;
  }
}

Task<void> Standin::Handle(http::Request request, http::Responder& responder) {
  if (http::PathOf(request).starts_with(kControlPrefix)) {
    co_await this->ServeControl(request, responder);
    co_return;
  }
  if (this->current.down) {
    responder.Abort();
    co_return;
  }
  if (this->current.delay > Duration{0}) {
    co_await SleepFor(this->clock, this->current.delay);
  }
  // Answers to reads are not lost: a client that lost the answer to a write
  // must be able to read back what happened.
  if (this->current.lose_answer && request.method() != http::Verb::get) {
    LosingResponder losing(this->clock, responder);
    co_await this->ServeGuarded(std::move(request), losing);
    co_return;
  }
  co_await this->ServeGuarded(std::move(request), responder);
}

Task<void> Standin::ServeGuarded(http::Request request,
                                 http::Responder& responder) {
  std::string mistake;
  try {
    co_await this->Serve(std::move(request), responder);
  } catch (const nlohmann::json::exception& failure) {
    mistake = failure.what();
  }
  if (!mistake.empty()) {
    auto response =
        ErrorResponse(http::Status::bad_request, "invalid_argument", mistake);
    co_await Answer(responder, std::move(response));
  }
}

Task<void> Standin::ServeControl(const http::Request& request,
                                 http::Responder& responder) {
  const std::string_view path = http::PathOf(request);
  http::Response response = ErrorResponse(http::Status::not_found, "not_found",
                                          "no such control request");
  if (path == "/v1/standin/switches") {
    response = request.method() == http::Verb::put
                   ? this->ChangeSwitches(request)
                   : JsonResponse(ToJson(this->current));
  } else if (path == "/v1/standin/record") {
    response = JsonResponse(this->Record(SinceOf(request)));
  }
  co_await Answer(responder, std::move(response));
}

http::Response Standin::ChangeSwitches(const http::Request& request) {
  const Switches before = this->current;
  try {
    this->current =
        Changed(this->current, nlohmann::json::parse(request.body()));
  } catch (const nlohmann::json::exception& failure) {
    return ErrorResponse(http::Status::bad_request, "invalid_argument",
                         failure.what());
  }
  if (this->on_switches) {
    this->on_switches(before, this->current);
  }
  return JsonResponse(ToJson(this->current));
}

}  // namespace qp::standins
