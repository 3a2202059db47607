#pragma once

#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "foundation/clock.h"
#include "http/server.h"
#include "standins/switches.h"

namespace qp::standins {

/// Target prefix of the requests that control a stand-in. Faults never apply
/// to them.
inline constexpr std::string_view kControlPrefix = "/v1/standin/";

/// Answers `{"error":{"code","message"}}`.
http::Response ErrorResponse(http::Status status, std::string_view code,
                             std::string_view message);

http::Response JsonResponse(const nlohmann::json& body);

/// Sends a whole answer. A client that is gone needs none, so that errors are
/// ignored.
Task<void> Answer(http::Responder& responder, http::Response response);

/// Rest of a target's path after `prefix`, percent-decoded.
std::string PathAfter(const http::Request& request, std::string_view prefix);

/// Value of the query parameter `since`, 0 without one.
std::size_t SinceOf(const http::Request& request);

/// What all stand-ins have in common: switches and records over HTTP, and the
/// faults that concern whole exchanges.
///
/// `PUT /v1/standin/switches` changes switches, `GET` reads them;
/// `GET /v1/standin/record?since=N` reads what was done, from entry N on.
class Standin : public http::Handler {
 public:
  explicit Standin(Clock& clock);

  Task<void> Handle(http::Request request, http::Responder& responder) final;

  using OnChange =
      std::function<void(const Switches& before, const Switches& after)>;

  /// Called after each change of the switches, before it is answered.
  void OnSwitches(OnChange callback);

  /// Also writes each execution to a file, one JSON object a line, so that the
  /// record of a killed stand-in is not lost. False if it cannot be opened.
  bool WriteExecutionsTo(const std::string& path);

 protected:
  virtual Task<void> Serve(http::Request request,
                           http::Responder& responder) = 0;
  virtual nlohmann::json Record(std::size_t since) const = 0;

  /// To be called before the execution is answered.
  void OnExecution(const nlohmann::json& execution);

  const Switches& switches() const { return this->current; }

  Clock& clock;

 private:
  Task<void> ServeControl(const http::Request& request,
                          http::Responder& responder);
  http::Response ChangeSwitches(const http::Request& request);
  Task<void> ServeGuarded(http::Request request, http::Responder& responder);

  Switches current;
  OnChange on_switches;
  std::ofstream execution_file;
};

}  // namespace qp::standins
