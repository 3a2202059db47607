#pragma once

#include <string>

#include "foundation/asio.h"
#include "foundation/clock.h"
#include "foundation/error.h"

namespace qp {

struct ServiceCall {
  std::string operation;
  std::string request_id;
  std::string idempotency_key;  ///< May be empty.
  std::string body;             ///< JSON.
};

struct ServiceReply {
  int status = 0;  ///< HTTP status.
  std::string body;
};

/// Towards plain services. kUnavailable: nothing was sent. kRefused: the
/// service answered that it did not start the call (503). kUnknownEffect: the
/// call was sent and has no answer.
class ServiceClient {
 public:
  virtual ~ServiceClient() = default;
  virtual Task<Result<ServiceReply>> Call(std::string address, ServiceCall call,
                                          Duration timeout) = 0;
};

}  // namespace qp
