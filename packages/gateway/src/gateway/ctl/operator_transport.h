#pragma once

#include <string>

#include "foundation/error.h"
#include "http/message.h"

namespace qp::ctl {

struct OperatorRequest {
  http::Verb verb = http::Verb::get;
  std::string target;
  std::string body;
};

struct OperatorReply {
  int status = 0;  ///< HTTP status.
  std::string body;
};

/// Sends one request to the operator listener of a daemon and waits for its
/// answer. Errors as of http::Client.
class OperatorTransport {
 public:
  virtual ~OperatorTransport() = default;
  virtual Result<OperatorReply> Exchange(const std::string& daemon,
                                         const OperatorRequest& request) = 0;
};

}  // namespace qp::ctl
