#include "daemon/daemon.h"

#include <caf/all.hpp>
#include <random>

#include "blackboard/blackboard.h"
#include "calls/at_most_once_plain_service.h"
#include "calls/pipeline_chat_service.h"
#include "cluster/cluster_controller.h"
#include "cluster/nng_link.h"
#include "daemon/backend_controller.h"
#include "daemon/cluster_handle.h"
#include "daemon/configuration_controller.h"
#include "daemon/daemon_operator_service.h"
#include "daemon/placement_controller.h"
#include "daemon/readiness_controller.h"
#include "daemon/spending_controller.h"
#include "foundation/spawn.h"
#include "foundation/timeline.h"
#include "foundation/wait.h"
#include "gateway/caller_api.h"
#include "gateway/http_engine_client.h"
#include "gateway/http_service_client.h"
#include "gateway/metrics.h"
#include "gateway/operator_api.h"
#include "http/client.h"
#include "http/server.h"
#include "storage/configuration_store.h"
#include "storage/grouped_table.h"
#include "storage/http_table.h"
#include "storage/http_vm_list.h"
#include "storage/lease.h"
#include "storage/monitored_table.h"
#include "storage/usage_store.h"

namespace qp {

namespace {

/// Steps between checks of a drain's progress.
constexpr Duration kDrainInterval = std::chrono::milliseconds(50);

constexpr std::string_view kPlacementLeaseKey = "lease/placement";

/// Limits on a response of a backend server. A daemon has many calls to them at
/// the same time, so the limit for the platform's services would not protect
/// its memory.
constexpr http::ClientLimits kBackendLimits{1024 * 1024, 64 * 1024};

/// Differs between two starts of one daemon, which must not share a lease.
std::string HolderOf(const DaemonSettings& settings, std::uint64_t random) {
  return settings.node + "/" + std::to_string(random);
}

LogFormat FormatOf(const DaemonSettings& settings) {
  return settings.log_format == "json" ? LogFormat::kJson : LogFormat::kHuman;
}

NodeIdentity IdentityOf(const DaemonSettings& settings, const Clock& clock) {
  NodeIdentity identity;
  identity.node = settings.node;
  identity.peer_address = settings.peer_address;
  identity.region = settings.region;
  identity.availability_zone = settings.availability_zone;
  // A later start of the same node has a later wall time.
  identity.incarnation = static_cast<std::uint64_t>(clock.WallNow());
  return identity;
}

/// ClusterHandle over the cluster controller's actor.
class ControllerHandle : public ClusterHandle {
 public:
  explicit ControllerHandle(ClusterController& target) : controller(target) {}

  void Post(std::function<void(ClusterNode&)> work) override {
    this->controller.Post(
        [work = std::move(work)](ClusterNode& node, TimePoint) { work(node); });
  }

 private:
  ClusterController& controller;
};

}  // namespace

struct Daemon::State : TaskFailureListener,
                       std::enable_shared_from_this<Daemon::State> {
  State(DaemonSettings daemon_settings, std::unique_ptr<NngLink> peer_link,
        asio::io_context& context, caf::actor_system& actors, Clock& time,
        std::uint64_t seed);
  ~State() override { SetTaskFailureListener(this->io, nullptr); }
  State(const State&) = delete;
  State& operator=(const State&) = delete;

  Result<void> Start();
  void StartControllers();
  /// Starts RunDrain unless it runs.
  void BeginDrain();
  /// Keeps admission in step with the configuration and the shares.
  Task<void> UpdateAdmission();
  void ReportDemand(const Configuration& configuration);
  Task<void> RunDrain();
  std::size_t WorkInFlight() const;

  /// Runs a member function as a loop of the process.
  template <class Object>
  void RunLoop(std::string name, Object& object, Task<void> (Object::*run)()) {
    SpawnLoop(this->io, this->clock, std::move(name),
              [&object, run] { return (object.*run)(); });
  }
  void OnTaskFailed(std::string_view task, std::string_view detail) override {
    this->metrics.Increment("quetzalpost_task_failures_total",
                            {{"task", std::string(task)}});
    this->timeline.Record(
        EventId::kTaskFailed,
        {{"task", std::string(task)}, {"detail", std::string(detail)}});
  }

  DaemonSettings settings;
  asio::io_context& io;
  Clock& clock;
  std::mt19937_64 random;
  Lifetime lifetime;
  bool draining = false;
  Timeline timeline;
  Blackboard blackboard;
  Metrics metrics;

  std::unique_ptr<NngLink> link;
  ClusterController controller;
  ControllerHandle cluster;

  http::Client client;
  http::Client backend_client;
  HttpTable table_service;
  MonitoredTable table;
  GroupedTable grouped_table;
  HttpVmList vm_list;
  ConfigurationStore store;
  UsageStore usage;
  Lease placement_lease;

  ConfigurationController configuration_controller;
  ReadinessController readiness_controller;
  BackendController backend_controller;
  SpendingController spending_controller;
  PlacementController placement_controller;

  policy::Admission admission;
  policy::ChainRouter chain_router;
  policy::ServiceRouter service_router;
  policy::RetryBudget retries;
  HttpEngineClient engines;
  HttpServiceClient services;
  PipelineChatService chat;
  AtMostOncePlainService plain;

  CallerApi caller_api;
  DaemonOperatorService operator_service;
  OperatorApi operator_api;
  http::Server caller_server;
  http::Server operator_server;
};

Daemon::State::State(DaemonSettings daemon_settings,
                     std::unique_ptr<NngLink> peer_link,
                     asio::io_context& context, caf::actor_system& actors,
                     Clock& time, std::uint64_t seed)
    : settings(std::move(daemon_settings)),
      io(context),
      clock(time),
      random(seed),
      timeline(time, this->settings.node, FormatOf(this->settings)),
      link(std::move(peer_link)),
      controller(actors, time, this->blackboard,
                 IdentityOf(this->settings, time), this->settings.seeds,
                 *this->link, &this->timeline, this->timeline, this->random()),
      cluster(this->controller),
      client(context, time),
      backend_client(context, time, kBackendLimits),
      table_service(this->client, this->settings.table_address),
      table(this->table_service, this->timeline),
      grouped_table(time, this->table),
      vm_list(this->client, this->settings.vm_list_address),
      store(this->table, time),
      usage(this->grouped_table, time),
      placement_lease(this->table, time, this->timeline,
                      std::string(kPlacementLeaseKey),
                      HolderOf(this->settings, this->random())),
      configuration_controller(time, this->blackboard, this->store, this->table,
                               this->cluster, this->timeline, this->lifetime),
      readiness_controller(time, this->blackboard, this->cluster,
                           this->timeline, this->lifetime),
      backend_controller(context, time, this->blackboard, this->vm_list,
                         this->backend_client, this->cluster, this->timeline,
                         this->lifetime),
      spending_controller(time, this->blackboard, this->backend_controller,
                          this->usage, this->lifetime),
      placement_controller(context, time, this->blackboard,
                           this->backend_client, this->placement_lease,
                           this->timeline, this->lifetime),
      admission(this->random()),
      chain_router(this->random()),
      service_router(this->random()),
      engines(context, time, this->backend_client),
      services(this->backend_client),
      chat(time, this->blackboard, this->engines, this->admission,
           this->chain_router, this->retries, this->timeline, this->random()),
      plain(time, this->blackboard, this->grouped_table, this->services,
            this->admission, this->service_router, this->retries,
            this->timeline, this->random()),
      caller_api({this->blackboard, this->chat, this->plain, this->metrics,
                  this->timeline, time},
                 this->random()),
      operator_service({time, this->blackboard, this->store, this->usage,
                        this->cluster, this->timeline, this->metrics,
                        this->settings.node, [this] { this->BeginDrain(); }}),
      operator_api(this->operator_service, this->settings.operator_token_sha256,
                   this->timeline, this->random()),
      caller_server(context, time, http::ServerLimits{}, this->caller_api),
      operator_server(context, time, http::ServerLimits{}, this->operator_api) {
}

Result<void> Daemon::State::Start() {
  BOOST_OUTCOME_TRYV(this->caller_server.Listen(this->settings.caller_address));
  BOOST_OUTCOME_TRYV(
      this->operator_server.Listen(this->settings.operator_address));
  this->timeline.Record(EventId::kDaemonStarted,
                        {{"callers", this->settings.caller_address},
                         {"operators", this->settings.operator_address},
                         {"peers", this->settings.peer_address}});
  SetTaskFailureListener(this->io, this);
  this->StartControllers();
  return Ok();
}

void Daemon::State::StartControllers() {
  this->RunLoop("configuration.poll", this->configuration_controller,
                &ConfigurationController::Poll);
  this->RunLoop("readiness.run", this->readiness_controller,
                &ReadinessController::Run);
  this->RunLoop("backends.poll_list", this->backend_controller,
                &BackendController::PollList);
  this->RunLoop("backends.observe", this->backend_controller,
                &BackendController::Observe);
  this->RunLoop("backends.publish", this->backend_controller,
                &BackendController::Publish);
  this->RunLoop("spending.run", this->spending_controller,
                &SpendingController::Run);
  this->RunLoop("placement.run", this->placement_controller,
                &PlacementController::Run);
  this->RunLoop("admission.update", *this, &State::UpdateAdmission);
}

Task<void> Daemon::State::UpdateAdmission() {
  constexpr Duration kInterval = std::chrono::milliseconds(200);
  while (!this->lifetime.ended) {
    const auto configuration = this->blackboard.configuration.Read();
    const auto budgets = this->blackboard.budgets.Read();
    if (configuration->value.configuration) {
      this->admission.Update(*configuration->value.configuration,
                             budgets->value, this->clock.Now());
      this->ReportDemand(*configuration->value.configuration);
    }
    co_await SleepFor(this->clock, kInterval);
  }
}

void Daemon::State::ReportDemand(const Configuration& configuration) {
  const TimePoint now = this->clock.Now();
  for (const RequestClass& item : configuration.classes) {
    ClassDemand demand;
    demand.used_per_second = this->admission.AdmittedRate(item.name, now);
    demand.shortage_per_second = this->admission.ShortageRate(item.name, now);
    this->cluster.Post([name = item.name, demand, now](ClusterNode& node) {
      node.ReportDemand(name, demand, now);
    });
  }
}

std::size_t Daemon::State::WorkInFlight() const {
  return this->caller_server.requests_in_flight() +
         this->plain.pending_claim_writes();
}

void Daemon::State::BeginDrain() {
  if (!std::exchange(this->draining, true)) {
    // The daemon outlives its own drain even if its owner lets go of it.
    SpawnLoop(this->io, this->clock, "drain",
              [self = this->shared_from_this()] { return self->RunDrain(); });
  }
}

Task<void> Daemon::State::RunDrain() {
  this->timeline.Record(EventId::kDrainStarted, {});
  this->readiness_controller.BeginDrain();
  // The balancer still sends requests until it has seen the change.
  co_await SleepFor(this->clock, this->settings.drain_grace);
  this->caller_server.Stop();
  while (this->WorkInFlight() > 0) {
    co_await SleepFor(this->clock, kDrainInterval);
  }
  co_await this->usage.Flush();
  this->cluster.Post(
      [now = this->clock.Now()](ClusterNode& node) { node.Leave(now); });
  bool left = false;
  while (!left) {
    co_await SleepFor(this->clock, kDrainInterval);
    left = co_await this->cluster.Ask(
        [now = this->clock.Now()](ClusterNode& node) {
          return node.HasLeft(now);
        });
  }
  this->operator_server.Stop();
  this->lifetime.ended = true;
  this->timeline.Record(EventId::kDaemonStopped, {});
  this->io.stop();
}

Result<std::unique_ptr<Daemon>> Daemon::Create(DaemonSettings settings,
                                               asio::io_context& io,
                                               caf::actor_system& actors,
                                               Clock& clock,
                                               std::uint64_t seed) {
  BOOST_OUTCOME_TRY(link, NngLink::Open(settings.peer_address, clock));
  return std::unique_ptr<Daemon>(new Daemon(std::make_shared<State>(
      std::move(settings), std::move(link), io, actors, clock, seed)));
}

Daemon::Daemon(std::shared_ptr<State> parts) : state(std::move(parts)) {}

Daemon::~Daemon() = default;

Result<void> Daemon::Start() { return this->state->Start(); }

void Daemon::BeginDrain() { this->state->BeginDrain(); }

}  // namespace qp
