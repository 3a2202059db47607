#include "relay/entry_daemon.h"

#include <random>
#include <utility>

#include "foundation/spawn.h"
#include "foundation/wait.h"
#include "http/server.h"
#include "relay/caller_listener.h"
#include "relay/entry_registry.h"
#include "relay/layer_controller.h"
#include "relay/quarantine_store.h"
#include "relay/rate_limited_event_sink.h"
#include "relay/relay.h"
#include "relay/server_notice_handler.h"
#include "relay/store_watcher.h"
#include "storage/lease.h"

namespace qp::relay {

namespace {

using std::chrono::milliseconds;

/// Time before the end of the grace period at which the process stops itself.
constexpr Duration kShutdownMargin = milliseconds(300);
constexpr Duration kDrainCheckInterval = milliseconds(100);
constexpr Duration kMaintenanceInterval = milliseconds(1000);
/// Terms of the lease for changing the engines' layers. They are short because
/// only the holder replaces a lost engine.
constexpr LeaseTerms kLayerLease{milliseconds(3500), milliseconds(700)};
/// Time between two calls that try to get the lease or renew it.
constexpr Duration kLeaseTickInterval = milliseconds(1200);
/// Maximum of the random delay before a process first tries to get the lease.
constexpr Duration kLeaseJitter = milliseconds(800);
/// Time without a report of the lease's holder after which other processes try
/// to get the lease. In small zones the holder's reports reach other zones
/// every 450 ms.
constexpr Duration kHolderTimeout = milliseconds(1500);

/// Limits of the listeners for readiness and metrics, which anybody on the
/// network may reach. Their requests have no body. The connections of both are
/// a part of the descriptors that callers cannot use (ComputeClientLimits).
constexpr http::ServerLimits kStatusLimits{
    .max_header_bytes = 8 * 1024,
    .max_body_bytes = 4 * 1024,
    .max_connections = 50,
    .read_timeout = milliseconds(3000),
    .idle_timeout = milliseconds(15000),
    .write_timeout = milliseconds(5000),
};

/// Serves readiness checks of the load balancer and Prometheus metrics.
class StatusHandler : public http::Handler {
 public:
  StatusHandler(const RelayMetrics& counters, std::function<bool()> ready)
      : metrics(counters), is_ready(std::move(ready)) {}

  Task<void> Handle(http::Request request,
                    http::Responder& responder) override {
    http::Response response;
    if (http::PathOf(request) == "/metrics") {
      response = http::MakeResponse(http::Status::ok, this->metrics.Text());
      response.set("Content-Type", "text/plain; version=0.0.4");
    } else {
      const bool ready = this->is_ready();
      response = http::MakeResponse(
          ready ? http::Status::ok : http::Status::service_unavailable,
          ready ? R"({"ready":true})" : R"({"ready":false})");
    }
    std::ignore = co_await responder.Send(std::move(response));
  }

 private:
  const RelayMetrics& metrics;
  std::function<bool()> is_ready;
};

}  // namespace

struct EntryDaemon::State : ReportListener,
                            QuarantineListener,
                            LimitListener,
                            TaskFailureListener,
                            std::enable_shared_from_this<EntryDaemon::State> {
  State(EntrySettings given, PlatformServices services,
        asio::io_context& context, Clock& time, EventSink& sink,
        std::uint64_t seed)
      : settings(std::move(given)),
        io(context),
        clock(time),
        events(sink, time),
        relay(context, time, *services.protocol, events,
              settings.availability_zone, settings.retry, seed),
        listener(relay),
        watcher(relay, time, *services.store),
        lease(*services.table, time, events, "lease/layers",
              settings.node + "/" + std::to_string(seed), kLayerLease,
              &relay.store_era),
        controller(relay, time, *services.engines, lease),
        server_notice_handler(relay),
        gossip(relay, time, settings.node, *this),
        registry(relay, time, *services.table, gossip, settings.node,
                 settings.peer_address),
        quarantine_store(relay, time, *services.table),
        status(relay.metrics, [this] { return this->IsReady(); }),
        readiness(context, time, kStatusLimits, status),
        metrics(context, time, kStatusLimits, status) {
    SetTaskFailureListener(this->io, this);
    services.era_source->SetAnswerObserver(this->relay.store_era);
    this->lease.SetFirstStart(this->settings.first_start);
    this->relay.engines = services.engines;
    this->relay.response_limits = this->settings.response_limits;
    this->relay.client_limits = ComputeClientLimits(
        CombineMachineLimits(ReadMachineLimits(), this->settings.machine),
        this->settings.client_limits);
    this->relay.input_budget.SetLimit(this->relay.client_limits.held_bytes);
    this->relay.buffered_responses.SetLimit(
        this->relay.client_limits.buffered_response_bytes);
    this->relay.hedging.SetSettings(this->settings.hedging);
    this->relay.configuration_freshness.SetBound(
        this->settings.configuration_bound);
    this->watcher.SetServerListBound(this->settings.server_list_bound);
    services.engines->SetNoticeListener(this->server_notice_handler);
    this->relay.quarantine.SetListener(this);
    this->relay.limits.SetListener(this);
    this->watcher.on_change = [this] { this->LogReadiness(); };
    this->watcher.on_configuration = [this] { this->listener.ApplyTimeouts(); };
    this->watcher.on_servers_polled = [this] { this->gossip.SendUpdate(); };
  }

  ~State() override { SetTaskFailureListener(this->io, nullptr); }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  bool IsReady() const {
    return !this->relay.draining && this->watcher.HasConfiguration() &&
           this->watcher.has_servers() && this->quarantine_store.loaded() &&
           this->gossip.has_joined();
  }

  void LogReadiness() {
    const bool ready = this->IsReady();
    if (ready) {
      this->watcher.MarkStarted();
    }
    if (ready != std::exchange(this->was_ready, ready)) {
      this->events.Record(
          ready ? EventId::kDaemonReady : EventId::kDaemonUnready,
          {{"reason", this->relay.draining ? "draining" : "store"}});
    }
  }

  /// Runs a member function as a loop of the process.
  template <class Object>
  void RunLoop(std::string name, Object& object, Task<void> (Object::*run)()) {
    SpawnLoop(this->io, this->clock, std::move(name),
              [&object, run] { return (object.*run)(); });
  }

  void OnTaskFailed(std::string_view task, std::string_view detail) override {
    this->relay.metrics.Count("quetzalpost_task_failures_total", task);
    this->events.Record(
        EventId::kTaskFailed,
        {{"task", std::string(task)}, {"detail", std::string(detail)}});
  }

  void OnReport(const LoadReport& report) override {
    if (report.holds_lease) {
      this->last_holder_report_at = this->clock.Now();
    }
    this->watcher.ApplyReport(report);
    this->relay.quarantine.Merge(report.node, report.parts, this->clock.Now());
    this->relay.limits.Merge(report.limits, this->clock.Now());
    if (report.availability_zone == this->relay.availability_zone) {
      this->relay.admission.Merge(report.node, report.admission,
                                  this->clock.Now());
    }
  }

  void FillReport(LoadReport& report) override {
    report.holds_lease = this->lease.FencingNumber().has_value();
    this->watcher.FillReport(report);
    report.parts = this->relay.quarantine.MakeReports(this->clock.Now());
    report.limits = this->relay.limits.MakeReports(this->clock.Now());
    report.admission = this->relay.admission.MakeReports(this->clock.Now());
  }

  void OnChange() override { this->ScheduleUpdate(); }
  void OnLimitChange() override { this->ScheduleUpdate(); }

  /// Sends a report to all peers at once.
  void ScheduleUpdate() {
    // The resolution of the timers joins changes that follow each other.
    if (!std::exchange(this->update_scheduled, true)) {
      this->relay.timers.Schedule(this->clock.Now(), [this] {
        this->update_scheduled = false;
        this->gossip.SendUpdate(true);
      });
    }
  }

  void OnQuarantined(std::string_view part, std::size_t crashes,
                     bool own) override {
    this->relay.metrics.Count("quetzalpost_prompt_parts_total", "quarantined");
    this->events.Record(EventId::kPromptPartQuarantined,
                        {{"part", std::string(part)},
                         {"crashes", std::to_string(crashes)},
                         {"source", own ? "self" : "other"}});
    this->quarantine_store.RecordQuarantined(part);
    if (own) {
      this->quarantine_store.Save(part);
    }
  }

  void OnReleased(std::string_view part, bool own) override {
    this->relay.metrics.Count("quetzalpost_prompt_parts_total", "released");
    this->events.Record(
        EventId::kPromptPartReleased,
        {{"part", std::string(part)}, {"source", own ? "self" : "other"}});
    this->quarantine_store.RecordReleased(part);
    if (own) {
      this->quarantine_store.Save(part);
    }
  }

  Task<void> LoadQuarantine() {
    co_await this->quarantine_store.LoadAtStart();
    this->LogReadiness();
  }

  /// Tries to get the lease and renews it. Other processes leave the lease
  /// alone while its holder reports.
  Task<void> HoldLease() {
    // With the random delay, the first process holds the lease before the
    // others try.
    const auto jitter = std::uniform_int_distribution<Duration::rep>(
        0, kLeaseJitter.count())(this->relay.random);
    co_await SleepFor(this->clock, Duration(jitter));
    while (!this->relay.draining) {
      const bool holder_is_alive =
          this->last_holder_report_at &&
          this->clock.Now() - *this->last_holder_report_at < kHolderTimeout;
      if (!holder_is_alive || this->lease.FencingNumber()) {
        co_await this->lease.Tick();
      }
      co_await SleepFor(this->clock, kLeaseTickInterval);
    }
  }

  Task<void> RunMaintenance() {
    while (true) {
      co_await SleepFor(this->clock, kMaintenanceInterval);
      this->LogReadiness();
      this->relay.pool.Expire();
      this->relay.servers.Expire(this->clock.Now());
      this->relay.quarantine.Expire(this->clock.Now());
      this->watcher.RecordConfigurationState();
      this->events.ReportSuppressed();
      this->ReportClients();
      if (this->watcher.is_isolated() && this->gossip.has_peers()) {
        // A failure has been logged and is tried again in the next round.
        std::ignore = co_await this->quarantine_store.Load();
      }
    }
  }

  /// Records refused clients and sets the gauges of what callers hold.
  void ReportClients() {
    this->relay.refusals.Report(this->events);
    this->relay.metrics.SetGauge(
        "quetzalpost_caller_held_bytes",
        static_cast<double>(this->relay.input_budget.held()));
    this->relay.metrics.SetGauge(
        "quetzalpost_caller_connections",
        static_cast<double>(this->listener.sessions()));
  }

  Task<void> Drain() {
    const TimePoint began =
        this->relay.drain_window.began_at().value_or(this->clock.Now());
    const TimePoint end =
        began + std::max(this->settings.grace_period - kShutdownMargin,
                         kDrainCheckInterval);
    this->relay.drain_window.Begin(began, end);
    // An order in flight must not overlap with an order of the next holder of
    // the lease.
    while (this->controller.is_reconciling() && this->clock.Now() < end) {
      co_await SleepFor(this->clock, kDrainCheckInterval);
    }
    co_await this->lease.Resign();
    co_await this->registry.Unregister();
    co_await SleepFor(this->clock, this->relay.drain_window.accept_until() -
                                       this->clock.Now());
    this->listener.StopAccepting();
    while (this->clock.Now() < end) {
      this->listener.CloseIdle();
      if (this->listener.sessions() == 0) {
        break;
      }
      co_await SleepFor(this->clock, kDrainCheckInterval);
    }
    const auto unfinished = this->listener.sessions();
    this->listener.CloseAll();
    this->events.ReportSuppressed();
    this->relay.refusals.Report(this->events);
    this->events.Record(EventId::kDaemonStopped,
                        {{"unfinished", std::to_string(unfinished)}});
    this->io.stop();
  }

  EntrySettings settings;
  asio::io_context& io;
  Clock& clock;
  RateLimitedEventSink events;
  RelayContext relay;
  CallerListener listener;
  StoreWatcher watcher;
  Lease lease;
  LayerController controller;
  ServerNoticeHandler server_notice_handler;
  LoadGossip gossip;
  EntryRegistry registry;
  QuarantineStore quarantine_store;
  StatusHandler status;
  http::Server readiness;
  http::Server metrics;
  std::optional<TimePoint> last_holder_report_at;
  bool was_ready = false;
  bool update_scheduled = false;  ///< Of the reports to all peers.
};

EntryDaemon::EntryDaemon(EntrySettings settings, PlatformServices services,
                         asio::io_context& io, Clock& clock, EventSink& events,
                         std::uint64_t seed)
    : state(std::make_shared<State>(std::move(settings), services, io, clock,
                                    events, seed)) {}

EntryDaemon::~EntryDaemon() = default;

Result<void> EntryDaemon::Start() {
  State& self = *this->state;
  BOOST_OUTCOME_TRY(self.listener.Listen(self.settings.caller_address));
  BOOST_OUTCOME_TRY(self.readiness.Listen(self.settings.readiness_address));
  BOOST_OUTCOME_TRY(self.metrics.Listen(self.settings.metrics_address));
  BOOST_OUTCOME_TRY(self.gossip.Listen(self.settings.peer_address));
  self.events.Record(EventId::kDaemonStarted,
                     {{"node", self.settings.node},
                      {"availability_zone", self.settings.availability_zone},
                      {"caller_address", self.settings.caller_address}});
  const ClientLimits& limits = self.relay.client_limits;
  self.events.Record(EventId::kClientLimitsInUse,
                     {{"held_bytes", std::to_string(limits.held_bytes)},
                      {"connections", std::to_string(limits.connections)}});
  StoreWatcher& watcher = self.watcher;
  self.RunLoop("configuration.watch", watcher,
               &StoreWatcher::WatchConfiguration);
  self.RunLoop("configuration.keep_current", watcher,
               &StoreWatcher::KeepConfigurationCurrent);
  self.RunLoop("servers.watch", watcher, &StoreWatcher::WatchServers);
  self.RunLoop("servers.keep_current", watcher,
               &StoreWatcher::KeepServersCurrent);
  self.RunLoop("lease.hold", self, &State::HoldLease);
  self.RunLoop("layers.reconcile", self.controller, &LayerController::Run);
  self.RunLoop("quarantine.load", self, &State::LoadQuarantine);
  self.RunLoop("registry.run", self.registry, &EntryRegistry::Run);
  self.RunLoop("gossip.run", self.gossip, &LoadGossip::Run);
  self.RunLoop("maintenance.run", self, &State::RunMaintenance);
  return Ok();
}

void EntryDaemon::Reload(const EntrySettings& settings) {
  State& self = *this->state;
  self.settings.grace_period = settings.grace_period;
  self.relay.retry_budget.SetLimits(settings.retry);
  self.relay.hedging.SetSettings(settings.hedging);
  self.relay.configuration_freshness.SetBound(settings.configuration_bound);
  self.watcher.SetServerListBound(settings.server_list_bound);
  self.events.Record(EventId::kSettingsReloaded, {});
}

void EntryDaemon::BeginDrain() {
  State& self = *this->state;
  if (std::exchange(self.relay.draining, true)) {
    return;
  }
  self.events.Record(EventId::kDrainStarted,
                     {{"sessions", std::to_string(self.listener.sessions())}});
  self.LogReadiness();
  self.RunLoop("drain", self, &State::Drain);
}

bool EntryDaemon::IsReady() const { return this->state->IsReady(); }

}  // namespace qp::relay
