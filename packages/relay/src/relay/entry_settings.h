#pragma once

#include <string>
#include <string_view>

#include "foundation/clock.h"
#include "foundation/error.h"
#include "relay/response_limits.h"
#include "relay/retry_budget.h"

namespace qp::relay {

/// Settings of a process that relays a deployment's requests. Addresses are
/// "IP:port".
struct EntrySettings {
  std::string node;
  std::string availability_zone;
  std::string caller_address;
  std::string readiness_address;
  std::string metrics_address;
  std::string peer_address;  ///< For datagrams between the processes.
  std::string store_address;
  /// Time from the request to stop until the process is killed.
  Duration grace_period{};
  RetryBudget::Limits retry;
  ResponseLimits response_limits;
  std::string log_level = "info";  ///< debug, info, warning or error.
};

/// kInvalidArgument with every mistake, one a line, as its detail.
Result<EntrySettings> ParseEntrySettings(std::string_view text);

}  // namespace qp::relay
