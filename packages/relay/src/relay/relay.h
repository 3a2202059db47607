#pragma once

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "foundation/asio.h"
#include "foundation/event.h"
#include "relay/deployment.h"
#include "relay/deployment_store.h"
#include "relay/protocol.h"
#include "relay/relay_metrics.h"
#include "relay/response_limits.h"
#include "relay/retry_budget.h"
#include "relay/route_table.h"
#include "relay/server_directory.h"
#include "relay/stalled_request_finder.h"
#include "relay/timer_queue.h"
#include "relay/upstream_pool.h"

namespace qp::relay {

/// A configuration with the table made from it.
struct ActiveConfiguration {
  explicit ActiveConfiguration(DeploymentConfiguration content)
      : configuration(std::move(content)), routes(configuration.routes) {}

  DeploymentConfiguration configuration;
  RouteTable routes;
};

/// What all requests of one process share. Used on the request thread only.
struct RelayContext {
  RelayContext(asio::io_context& context, Clock& clock, const Protocol& wire,
               EventSink& sink, std::string zone,
               RetryBudget::Limits retry_limits, std::uint64_t seed)
      : io(context),
        timers(clock, context),
        protocol(wire),
        events(sink),
        availability_zone(std::move(zone)),
        pool(timers),
        retry_budget(retry_limits, timers.Now()),
        random(seed),
        stalled_requests(context) {}

  TimePoint Now() const { return this->timers.Now(); }

  asio::io_context& io;
  TimerQueue timers;
  const Protocol& protocol;
  EventSink& events;
  RelayMetrics metrics;
  std::string availability_zone;
  ServerDirectory servers;
  UpstreamPool pool;
  RetryBudget retry_budget;
  std::mt19937_64 random;
  /// Null until the first configuration is known.
  std::shared_ptr<const ActiveConfiguration> active_configuration;
  double processes_in_zone = 1;  ///< Processes of this zone, this one included.
  bool other_zones_known = true;  ///< Whether they report their load.
  bool draining = false;
  ResponseLimits response_limits;
  EngineControl* engines = nullptr;  ///< Null where there are no engines.
  StalledRequestFinder stalled_requests;
};

}  // namespace qp::relay
