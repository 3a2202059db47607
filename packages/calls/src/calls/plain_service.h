#pragma once

#include <string>

#include "calls/outcome.h"
#include "foundation/asio.h"

namespace qp {

/// A call of a plain service accepted from a caller.
struct ServiceRequest {
  std::string request_id;
  std::string workspace;
  std::string service;
  std::string operation;
  /// Required unless the operation is idempotent.
  std::string idempotency_key;
  std::string body;     ///< JSON, forwarded unchanged.
  Duration deadline{};  ///< Time left when the request arrived.
};

struct ServiceResponse {
  CallResult result;
  int status = 0;    ///< HTTP status of the service's response; 0 if none.
  std::string body;  ///< Body of the service's response.
};

/// Serves calls of plain services. Calls that are not idempotent run at most
/// once.
class PlainService {
 public:
  virtual ~PlainService() = default;
  virtual Task<ServiceResponse> Run(ServiceRequest request) = 0;
};

}  // namespace qp
