#pragma once

#include <string>

#include "calls/outcome.h"
#include "foundation/asio.h"

namespace qp {

/// A call of a plain service, as accepted from a caller.
struct ServiceRequest {
  std::string request_id;
  std::string workspace;
  std::string service;
  std::string operation;
  std::string idempotency_key;  ///< Empty for idempotent operations.
  std::string body;             ///< JSON, handed on as it is.
  Duration deadline{};          ///< Time left when the request arrived.
};

struct ServiceResponse {
  CallResult result;
  int status = 0;    ///< HTTP status of the service's answer, if any.
  std::string body;  ///< Of the service's answer.
};

/// Serves calls of plain services; those that are not idempotent at most once.
class PlainService {
 public:
  virtual ~PlainService() = default;
  virtual Task<ServiceResponse> Run(ServiceRequest request) = 0;
};

}  // namespace qp
