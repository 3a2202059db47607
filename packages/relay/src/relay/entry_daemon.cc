#include "relay/entry_daemon.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <random>
#include <utility>

#include "foundation/wait.h"
#include "http/server.h"
#include "relay/caller_listener.h"
#include "relay/entry_registry.h"
#include "relay/layer_controller.h"
#include "relay/leaving_handler.h"
#include "relay/rate_limited_event_sink.h"
#include "relay/relay.h"
#include "relay/store_watcher.h"
#include "storage/lease.h"

namespace qp::relay {

namespace {

using std::chrono::milliseconds;

/// Time after the request to stop during which new connections still come:
/// the load balancer asks once a second and needs two misses.
constexpr Duration kAcceptAfterStop = milliseconds(3000);
/// Time before the end of the grace period at which the process ends itself.
constexpr Duration kStopMargin = milliseconds(300);
constexpr Duration kDrainCheck = milliseconds(100);
constexpr Duration kHousekeeping = milliseconds(1000);
/// Terms of the lease on the engines' layers. Short, since an engine that was
/// lost is replaced only by the holder.
constexpr LeaseTerms kLayerLease{milliseconds(3500), milliseconds(700)};
constexpr Duration kLeaseTick = milliseconds(1200);
/// Time over which the processes of a deployment first look at the lease.
constexpr Duration kLeaseSpread = milliseconds(800);
/// Silence of the holder after which the others look at the lease. Its reports
/// reach other zones every 450 ms.
constexpr Duration kHolderSilence = milliseconds(1500);

/// Answers the load balancer and collectors of metrics.
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
              settings.node + "/" + std::to_string(seed), kLayerLease),
        controller(relay, time, *services.engines, lease),
        leaving_notes(relay),
        gossip(relay, time, settings.node, *this),
        registry(relay, time, *services.table, gossip, settings.node,
                 settings.peer_address),
        status(relay.metrics, [this] { return this->IsReady(); }),
        readiness(context, time, http::ServerLimits{}, status),
        metrics(context, time, http::ServerLimits{}, status) {
    this->relay.engines = services.engines;
    this->relay.response_limits = this->settings.response_limits;
    services.engines->SetLeavingListener(this->leaving_notes);
    this->watcher.on_change = [this] { this->NoteReadiness(); };
    this->watcher.on_servers_polled = [this] { this->gossip.SendUpdate(); };
  }

  bool IsReady() const {
    return !this->relay.draining &&
           this->relay.active_configuration != nullptr &&
           this->watcher.has_servers();
  }

  void NoteReadiness() {
    const bool ready = this->IsReady();
    if (ready != std::exchange(this->was_ready, ready)) {
      this->events.Record(
          ready ? EventId::kDaemonReady : EventId::kDaemonUnready,
          {{"reason", this->relay.draining ? "draining" : "store"}});
    }
  }

  template <class Loop>
  void Spawn(Loop loop) {
    asio::co_spawn(this->io, std::move(loop), asio::detached);
  }

  void OnReport(const LoadReport& report) override {
    if (report.holds_lease) {
      this->holder_heard_at = this->clock.Now();
    }
    this->watcher.ApplyReport(report);
  }

  void FillReport(LoadReport& report) override {
    report.holds_lease = this->lease.FencingNumber().has_value();
    this->watcher.FillReport(report);
  }

  /// While the holder is heard of, the others need not look at the lease.
  Task<void> HoldLease() {
    // Whoever comes first holds it before the others look.
    const auto spread = std::uniform_int_distribution<Duration::rep>(
        0, kLeaseSpread.count())(this->relay.random);
    co_await SleepFor(this->clock, Duration(spread));
    while (!this->relay.draining) {
      const bool heard =
          this->holder_heard_at &&
          this->clock.Now() - *this->holder_heard_at < kHolderSilence;
      if (!heard || this->lease.FencingNumber()) {
        co_await this->lease.Tick();
      }
      co_await SleepFor(this->clock, kLeaseTick);
    }
  }

  Task<void> KeepHouse() {
    while (true) {
      co_await SleepFor(this->clock, kHousekeeping);
      this->relay.pool.Expire();
      this->relay.servers.Expire(this->clock.Now());
      this->events.ReportSuppressed();
    }
  }

  Task<void> Drain() {
    const TimePoint began = this->clock.Now();
    const TimePoint end =
        began +
        std::max(this->settings.grace_period - kStopMargin, kDrainCheck);
    // An order that is under way must not meet one of the next holder.
    while (this->controller.is_acting() && this->clock.Now() < end) {
      co_await SleepFor(this->clock, kDrainCheck);
    }
    co_await this->lease.Resign();
    co_await this->registry.Unregister();
    const TimePoint accept_until = std::min(began + kAcceptAfterStop, end);
    co_await SleepFor(this->clock, accept_until - this->clock.Now());
    this->listener.StopAccepting();
    while (this->clock.Now() < end) {
      this->listener.CloseIdle();
      if (this->listener.sessions() == 0) {
        break;
      }
      co_await SleepFor(this->clock, kDrainCheck);
    }
    this->events.Record(
        EventId::kDaemonStopped,
        {{"unfinished", std::to_string(this->listener.sessions())}});
    this->listener.CloseAll();
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
  LeavingHandler leaving_notes;
  LoadGossip gossip;
  EntryRegistry registry;
  StatusHandler status;
  http::Server readiness;
  http::Server metrics;
  std::optional<TimePoint> holder_heard_at;
  bool was_ready = false;
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
  self.Spawn(self.watcher.WatchConfiguration());
  self.Spawn(self.watcher.WatchServers());
  self.Spawn(self.HoldLease());
  self.Spawn(self.controller.Run());
  self.Spawn(self.registry.Run());
  self.Spawn(self.gossip.Run());
  self.Spawn(self.KeepHouse());
  return Ok();
}

void EntryDaemon::Reload(const EntrySettings& settings) {
  State& self = *this->state;
  self.settings.grace_period = settings.grace_period;
  self.relay.retry_budget.SetLimits(settings.retry);
  self.events.Record(EventId::kSettingsReloaded, {});
}

void EntryDaemon::BeginDrain() {
  State& self = *this->state;
  if (std::exchange(self.relay.draining, true)) {
    return;
  }
  self.events.Record(EventId::kDrainStarted,
                     {{"sessions", std::to_string(self.listener.sessions())}});
  self.NoteReadiness();
  self.Spawn(self.Drain());
}

bool EntryDaemon::IsReady() const { return this->state->IsReady(); }

}  // namespace qp::relay
