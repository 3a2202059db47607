#pragma once

#include <random>
#include <string>

#include "foundation/event.h"
#include "gateway/operator_service.h"
#include "http/server.h"

namespace qp {

/// JSON form of a change report.
nlohmann::json ToJson(const ChangeReport& report);

/// Serves operators; see "Messages" on the design page. /metrics, /healthz and
/// /readyz need no token, since load balancers and scrapers read them.
class OperatorApi : public http::Handler {
 public:
  /// `token_sha256` is the digest of the operators' bearer token, lower-case
  /// hex; an empty one admits nobody. `seed` is for the ids of changes that
  /// come without one and must differ between daemons and starts.
  OperatorApi(OperatorService& service, std::string token_sha256,
              EventSink& events, std::uint64_t seed);

  Task<void> Handle(http::Request request, http::Responder& responder) override;

 private:
  Task<http::Response> Answer(const http::Request& request);
  Task<http::Response> AnswerConfiguration(const http::Request& request);
  Task<http::Response> AnswerChange(const http::Request& request);
  Task<http::Response> AnswerForecast(const http::Request& request);
  bool IsAuthorized(const http::Request& request) const;

  OperatorService& service;
  std::string token_sha256;
  EventSink& events;
  std::mt19937_64 random;
};

}  // namespace qp
