#pragma once

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "foundation/asio.h"
#include "foundation/event.h"
#include "relay/admission/model_admission.h"
#include "relay/callers/buffered_responses.h"
#include "relay/callers/client_limits.h"
#include "relay/callers/input_budget.h"
#include "relay/callers/workspace_memory.h"
#include "relay/configuration_freshness.h"
#include "relay/crash_probe.h"
#include "relay/deployment.h"
#include "relay/deployment_store.h"
#include "relay/drain_window.h"
#include "relay/hedging/hedge_policy.h"
#include "relay/limit_tracker.h"
#include "relay/prompt_quarantine.h"
#include "relay/protocol.h"
#include "relay/relay_metrics.h"
#include "relay/response_limits.h"
#include "relay/retry_budget.h"
#include "relay/route_table.h"
#include "relay/server_directory.h"
#include "relay/stalled_request_finder.h"
#include "relay/stream_durations.h"
#include "relay/timer_queue.h"
#include "relay/upstream_pool.h"
#include "storage/store_era.h"

namespace qp::relay {

/// Limits until ClientLimits are set; those of the smallest VM of the platform.
constexpr std::size_t kDefaultHeldBytes = 37 * 1024 * 1024;
constexpr std::size_t kDefaultConnections = 1700;
constexpr std::size_t kDefaultBufferedResponses = 9 * 1024 * 1024;

/// State shared by all requests of a process. Used on the request thread only.
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
        admission(seed),
        stalled_requests(context),
        crash_probe(context, timers, sink, quarantine) {}

  TimePoint Now() const { return this->timers.Now(); }

  asio::io_context& io;
  TimerQueue timers;
  const Protocol& protocol;
  EventSink& events;
  RelayMetrics metrics;
  std::string availability_zone;
  ServerDirectory servers;
  LimitTracker limits{servers, events};
  UpstreamPool pool;
  RetryBudget retry_budget;
  HedgePolicy hedging;
  std::mt19937_64 random;
  /// Null until the first configuration has been read.
  std::shared_ptr<const ActiveConfiguration> active_configuration;
  StoreEra store_era;
  ConfigurationFreshness configuration_freshness{kDefaultConfigurationBound};
  /// Set while this process has only a configuration that can be older than the
  /// one in the store: none has been confirmed since the process started.
  bool configuration_unconfirmed = false;
  double processes_in_zone = 1;  ///< Processes of this zone, this one included.
  /// Processes of this zone that have not reported lately.
  double silent_processes_in_zone = 0;
  /// False while the load of at least one other zone is unknown. Always true in
  /// small deployments, where all processes report to each other.
  bool other_zones_known = true;
  ModelAdmission admission;
  bool draining = false;
  DrainWindow drain_window;
  StreamDurations stream_durations;
  ResponseLimits response_limits;
  ClientLimits client_limits{kDefaultHeldBytes, kDefaultConnections};
  InputBudget input_budget{kDefaultHeldBytes};
  WorkspaceMemory workspace_memory;
  BufferedResponses buffered_responses{kDefaultBufferedResponses};
  RefusalLog refusals;
  /// Null if the process does not control engines.
  EngineControl* engines = nullptr;
  StalledRequestFinder stalled_requests;
  PromptQuarantine quarantine;
  CrashProbe crash_probe;
};

}  // namespace qp::relay
