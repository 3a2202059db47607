#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "standins/load_history.h"
#include "standins/standin.h"

namespace qp::standins {

struct ServiceOptions {
  std::string service;
  std::uint32_t slots = 64;  ///< Calls at once; more are refused with 503.
  Duration service_time{0};  ///< Of each call.
  std::uint64_t incarnation = 0;
};

/// Plain service. It does not recognise a repeated key, so that a call that
/// runs twice shows in its record. Answers can be computed independently:
/// `result` is DigestOf({service, operation, request body}).
class ServiceStandin : public Standin {
 public:
  ServiceStandin(Clock& clock, ServiceOptions options);

 protected:
  Task<void> Serve(http::Request request, http::Responder& responder) override;
  nlohmann::json Record(std::size_t since) const override;

 private:
  struct Execution {
    std::string key;  ///< Idempotency key, may be empty.
    std::string request;
    std::string operation;
    WallMillis time = 0;
  };

  static nlohmann::json ToJson(const Execution& execution);

  nlohmann::json Status() const;
  nlohmann::json Execute(const http::Request& request);
  void ChangeRunning(int change);

  ServiceOptions options;
  LoadHistory load;
  std::vector<Execution> executions;
  std::map<std::string, std::uint64_t> executions_by_key;
};

}  // namespace qp::standins
