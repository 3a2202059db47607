#pragma once

#include <string>

#include "gateway/ctl/operator_transport.h"
#include "http/client.h"

namespace qp::ctl {

/// OperatorTransport over HTTP. Runs its own io_context during Exchange.
class HttpOperatorTransport : public OperatorTransport {
 public:
  /// Bound on one exchange. A daemon waits up to 9 s for the acknowledgements
  /// of a change before it answers, and a write to the table before that.
  static constexpr Duration kBound = std::chrono::seconds(20);

  HttpOperatorTransport(Clock& clock, std::string token);

  Result<OperatorReply> Exchange(const std::string& daemon,
                                 const OperatorRequest& request) override;

 private:
  Clock& clock;
  std::string token;
};

}  // namespace qp::ctl
