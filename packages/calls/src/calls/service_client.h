#pragma once

#include <string>

#include "foundation/asio.h"
#include "foundation/clock.h"
#include "foundation/error.h"

namespace qp {

struct ServiceCall {
  std::string operation;
  std::string request_id;
  std::string idempotency_key;  ///< Empty if the caller sent none.
  std::string body;             ///< JSON.
};

struct ServiceReply {
  int status = 0;  ///< HTTP status.
  std::string body;
};

/// Client of plain services. Errors: kUnavailable if nothing was sent, kRefused
/// if the service responded that it did not start the call (503),
/// kUnknownEffect if the call was sent and has no response.
class ServiceClient {
 public:
  virtual ~ServiceClient() = default;
  virtual Task<Result<ServiceReply>> Call(std::string address, ServiceCall call,
                                          Duration timeout) = 0;
};

}  // namespace qp
