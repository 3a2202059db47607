#pragma once

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "foundation/asio.h"
#include "foundation/event.h"
#include "relay/answer_limits.h"
#include "relay/deployment.h"
#include "relay/deployment_store.h"
#include "relay/protocol.h"
#include "relay/relay_metrics.h"
#include "relay/retry_allowance.h"
#include "relay/route_table.h"
#include "relay/server_directory.h"
#include "relay/stall_inquiry.h"
#include "relay/timer_queue.h"
#include "relay/upstream_pool.h"

namespace qp::relay {

/// A configuration with the table made from it.
struct ConfigurationInForce {
  explicit ConfigurationInForce(DeploymentConfiguration content)
      : configuration(std::move(content)), routes(configuration.routes) {}

  DeploymentConfiguration configuration;
  RouteTable routes;
};

/// What all requests of one process share. Used on the request thread only.
struct Relay {
  Relay(asio::io_context& context, Clock& clock, const Protocol& wire,
        EventSink& sink, std::string zone, RetryAllowance::Bound retry_bound,
        std::uint64_t seed)
      : io(context),
        timers(clock, context),
        protocol(wire),
        events(sink),
        availability_zone(std::move(zone)),
        pool(timers),
        allowance(retry_bound, timers.Now()),
        random(seed),
        stalls(context) {}

  TimePoint Now() const { return this->timers.Now(); }

  asio::io_context& io;
  TimerQueue timers;
  const Protocol& protocol;
  EventSink& events;
  RelayMetrics metrics;
  std::string availability_zone;
  ServerDirectory servers;
  UpstreamPool pool;
  RetryAllowance allowance;
  std::mt19937_64 random;
  /// Null until the first configuration is known.
  std::shared_ptr<const ConfigurationInForce> in_force;
  double processes_in_zone = 1;  ///< Processes of this zone, this one included.
  bool other_zones_known = true;  ///< Whether they report their load.
  bool draining = false;
  AnswerLimits answer_limits;
  EngineControl* engines = nullptr;  ///< Null where there are no engines.
  StallInquiry stalls;
};

}  // namespace qp::relay
