#pragma once

#include <chrono>
#include <string>
#include <string_view>

#include "foundation/clock.h"
#include "foundation/error.h"
#include "relay/callers/client_limits.h"
#include "relay/comparison_schedule.h"
#include "relay/hedging/hedge_policy.h"
#include "relay/response_limits.h"
#include "relay/retry_budget.h"

namespace qp::relay {

/// Grace period of a process that is told none.
inline constexpr Duration kDefaultGracePeriod = std::chrono::seconds(8);

/// Settings of an entry process. Addresses have the form "IP:port".
struct EntrySettings {
  std::string node;
  std::string availability_zone;
  std::string caller_address;
  std::string readiness_address;
  std::string metrics_address;
  std::string peer_address;  ///< Receives load reports of peers.
  std::string store_address;
  /// Time from the start of a drain until the process is killed.
  Duration grace_period = kDefaultGracePeriod;
  /// Time from the store's acknowledgement of a configuration change until the
  /// change must be in force at every process.
  Duration configuration_bound = kDefaultConfigurationBound;
  /// Time from the store's acknowledgement of a change of the server list until
  /// it must be in force at every process.
  Duration server_list_bound = kDefaultServerListBound;
  /// Whether the whole deployment starts for the first time.
  bool first_start = false;
  RetryBudget::Limits retry;
  HedgeSettings hedging;
  ResponseLimits response_limits;
  /// Limits of the machine as its operator states them.
  MachineLimits machine;
  /// A limit of 0 is to follow from the machine.
  ClientLimits client_limits;
  std::string log_level = "info";  ///< debug, info, warning or error.
};

/// Parses settings in JSON. Members that the deployment's template fills can be
/// text; empty text stands for a missing member. kInvalidArgument with a detail
/// that lists all mistakes, one per line.
Result<EntrySettings> ParseEntrySettings(std::string_view text);

}  // namespace qp::relay
