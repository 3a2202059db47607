#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "foundation/clock.h"
#include "relay/deployment.h"
#include "relay/hedging/answer_times.h"
#include "relay/retry_budget.h"

namespace qp::relay {

/// The operators' limits on hedged requests.
struct HedgeSettings {
  /// Hedges for each request of a service in the window, 0 to 1. No request is
  /// hedged if 0.
  double max_share = 0;
  /// Share of a service's answers that take less than the delay of a hedge.
  double quantile = 0.95;
};

/// Places for requests at the servers of a service.
struct ServiceRoom {
  double places = 0;
  /// Places in use. Those of servers that get no requests now count too.
  double busy = 0;
};

/// A request whose first try is running for longer than the delay.
struct HedgeQuery {
  std::string_view service;
  RetryPolicy retry_policy = RetryPolicy::kNever;
  bool streaming = false;
  /// Tries that servers have run or are running, this one included.
  int tries_run = 1;
  int max_attempts = 1;
  ServiceRoom room;
  /// Whether a server has room for the second try, see ChooseHedgeServer.
  bool has_server = false;
};

enum class HedgeDecision {
  kSend,
  kNotRepeatable,  ///< The request may run only once, or is a stream.
  kNoTriesLeft,
  kNoRoom,
  kOverShare,      ///< HedgeSettings::max_share is used up.
  kNoRetryBudget,  ///< Only tokens reserved for retries are left.
};

/// Label of the decision in the counter of hedges.
std::string_view ToString(HedgeDecision decision);

/// Decides whether a slow request is sent to a second server while the first
/// one works on it (a hedged request: Dean and Barroso, "The Tail at Scale",
/// Communications of the ACM 56(2), 2013).
///
/// Meant for plain services that have room to spare and of whose answers a few
/// are slow for reasons of a single server. It does not help when all servers
/// are slow from load, and would add to that load; ServiceRoom keeps it off.
///
/// The share is kept without coordination: each process hedges at most its
/// share of its own requests and rounds down, so the sum over all processes
/// keeps the share too. A process that has just started has sent no requests
/// and hedges none.
class HedgePolicy {
 public:
  /// Highest share of a service's places that may be in use, the hedge
  /// included. The other places are for first tries: load reports are up to
  /// some 100 ms old, and requests arrive in bursts in the meantime.
  static constexpr double kMaxBusyShare = 0.7;
  /// Tokens of the retry budget that a hedge leaves for retries.
  static constexpr double kReservedRetries = 1;

  void SetSettings(HedgeSettings given) { this->settings = given; }
  bool enabled() const { return this->settings.max_share > 0; }
  double quantile() const { return this->settings.quantile; }

  /// Whether requests with this policy can be hedged at all.
  static bool IsHedgeable(RetryPolicy retry_policy, bool streaming) {
    return retry_policy == RetryPolicy::kAlways && !streaming;
  }
  /// Counts a request that was sent for the first time.
  void RecordRequest(std::string_view service, TimePoint now);
  /// Records how long the first try of a request took that could be hedged. For
  /// a try that was cancelled because the second one won, the time until then:
  /// without those, the quantile would fall with each hedge.
  void RecordAnswer(std::string_view service, Duration elapsed, TimePoint now);
  /// Time after which a request that runs is slow. Empty while too few answers
  /// are known or hedging is off.
  std::optional<Duration> Delay(std::string_view service, TimePoint now);
  /// Decides on one request. Counts the hedge in the share and in `retries` if
  /// the decision is kSend, and nothing otherwise.
  HedgeDecision Decide(const HedgeQuery& query, RetryBudget& retries,
                       TimePoint now);

 private:
  static constexpr std::size_t kSteps = 6;

  struct ServiceState {
    std::array<std::uint64_t, kSteps> requests{};
    std::array<std::uint64_t, kSteps> hedges{};
    std::int64_t step = 0;  ///< Index of the newest step.
    AnswerTimes times;
  };

  /// State of `service`, without the counts that have left the window.
  ServiceState& Advance(std::string_view service, TimePoint now);

  HedgeSettings settings;
  std::map<std::string, ServiceState, std::less<>> services;
};

}  // namespace qp::relay
