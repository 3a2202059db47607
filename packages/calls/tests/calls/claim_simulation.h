#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "calls/at_most_once_plain_service.h"
#include "calls/choices.h"
#include "calls/deployment.h"
#include "foundation/wait.h"
#include "storage/grouped_table.h"
#include "testing/test_runtime.h"

namespace qp::testing {

/// Violation of the contract of the table, the service or the clock that a test
/// injects to show that the check detects it.
enum class InjectedContractViolation {
  kNone,
  kIgnoresConditions,  ///< The table applies writes whose condition fails.
  kForgesNonce,        ///< Reads return the nonce of the reader's last write.
  kUnavailableAfterWrite,  ///< The table reports an applied write as not
                           ///< written.
  kRefusesAfterRun,        ///< The service refuses a call after running it.
  kClockStopsInPause,      ///< The clock of a paused daemon stops.
};

/// Fault of one write to the table.
enum class TableFault {
  kNone,
  kUnavailable,
  kLoseRequest,
  kLoseResponse,
  kLateWrite,  ///< The write takes effect after its error was reported.
  kSlowResponse,
};
inline constexpr std::uint32_t kTableFaultCount = 6;

/// Fault of one call of the service.
enum class ServiceFault {
  kNone,
  kRefuse,
  kNotSent,
  kLoseResponse,
  kLoseRequest,
  kSlowResponse,
};
inline constexpr std::uint32_t kServiceFaultCount = 6;

/// Items of the table service that all daemons share.
class TableStore {
 public:
  explicit TableStore(bool ignore_conditions)
      : ignores_conditions(ignore_conditions) {}

  std::vector<OperationResult> Apply(
      const std::vector<TableOperation>& operations) {
    std::vector<OperationResult> results;
    results.reserve(operations.size());
    for (const auto& operation : operations) {
      results.push_back(this->ApplyOperation(operation));
    }
    return results;
  }

  std::optional<TableItem> Find(const std::string& key) const {
    const auto found = this->items.find(key);
    return found == this->items.end() ? std::nullopt
                                      : std::optional(found->second);
  }

 private:
  bool ConditionHolds(const TableOperation& operation) const {
    const auto item = this->Find(operation.key);
    if (std::holds_alternative<IfAbsent>(operation.condition)) {
      return !item;
    }
    if (const auto* same = std::get_if<IfVersion>(&operation.condition)) {
      return item && item->version == same->version;
    }
    if (const auto* field = std::get_if<IfField>(&operation.condition)) {
      return item ? item->value.value(field->field, nlohmann::json()) ==
                        field->value
                  : field->or_absent;
    }
    return true;
  }

  OperationResult ApplyOperation(const TableOperation& operation) {
    if (!this->ignores_conditions && !this->ConditionHolds(operation)) {
      const auto item = this->Find(operation.key);
      return {false, item ? item->version : 0};
    }
    auto& item = this->items[operation.key];
    item.key = operation.key;
    item.value = *operation.put;
    ++item.version;
    return {true, item.version};
  }

  bool ignores_conditions;
  std::map<std::string, TableItem> items;
};

/// State that all daemons share, and the choices that drive one run.
struct SimulationState {
  SimulationState(const Choices& choices,
                  InjectedContractViolation injected_violation)
      : reader(choices),
        injected(injected_violation),
        store(injected_violation ==
              InjectedContractViolation::kIgnoresConditions) {}

  std::uint32_t NextChoice(std::uint32_t bound) {
    return this->faults_over ? 0 : this->reader.Next(bound);
  }

  ChoiceReader reader;
  InjectedContractViolation injected;
  TableStore store;
  TestRuntime runtime;
  bool faults_over = false;

  std::map<std::string, int> runs_by_request;
  std::map<std::string, int> runs_by_key;
  std::map<std::string, TimePoint> deadlines;  ///< By request id.
  /// Number of calls that were lost or whose response was lost.
  std::size_t unresolved_sends = 0;
  Violation violation;
};

/// Clock of a daemon. With kClockStopsInPause, it does not advance while the
/// daemon is paused.
class DaemonClock : public Clock {
 public:
  explicit DaemonClock(Clock& time_source) : inner(time_source) {}

  TimePoint Now() const override {
    return this->inner.Now() - this->skipped_time;
  }
  WallMillis WallNow() const override { return this->inner.WallNow(); }
  TimerId Schedule(TimePoint at, std::function<void()> callback) override {
    return this->inner.Schedule(at + this->skipped_time, std::move(callback));
  }
  void Cancel(TimerId id) override { this->inner.Cancel(id); }

  Duration skipped_time{0};  ///< Total length of the pauses left out.

 private:
  Clock& inner;
};

/// One daemon's connection to the table service.
class DaemonTable : public Table {
 public:
  DaemonTable(SimulationState& shared_state, Clock& time_source)
      : state(shared_state), clock(time_source) {}

  Task<Result<std::optional<TableItem>>> Read(std::string key) override {
    co_await SleepFor(this->clock, std::chrono::milliseconds(1));
    if (this->state.NextChoice(6) == 1) {
      co_return Error{ErrorCode::kUnavailable, "table.read", "", ""};
    }
    auto item = this->state.store.Find(key);
    if (item &&
        this->state.injected == InjectedContractViolation::kForgesNonce) {
      item->value["nonce"] = this->latest_nonce;
    }
    co_return item;
  }

  Task<Result<std::vector<TableItem>>> Scan(std::string) override {
    co_return Error{ErrorCode::kInternal, "table.scan", "", "not used"};
  }

  Task<Result<std::vector<OperationResult>>> Transact(
      TransactMode, std::vector<TableOperation> operations) override {
    this->latest_nonce = operations.front().put->at("nonce").get<std::string>();
    const auto fault =
        static_cast<TableFault>(this->state.NextChoice(kTableFaultCount));
    const auto delay = std::chrono::milliseconds(
        1 +
        (fault >= TableFault::kLateWrite ? this->state.NextChoice(1500) : 0));
    const Error lost{ErrorCode::kUnknownEffect, "table.transact", "", ""};
    const Error unavailable{ErrorCode::kUnavailable, "table.transact", "", ""};
    if (fault == TableFault::kUnavailable) {
      if (this->state.injected ==
          InjectedContractViolation::kUnavailableAfterWrite) {
        this->state.store.Apply(operations);
      }
      co_return unavailable;
    }
    if (fault == TableFault::kLateWrite) {
      this->ApplyLater(std::move(operations), delay);
      co_await SleepFor(this->clock, std::chrono::milliseconds(5));
      co_return lost;
    }
    if (fault == TableFault::kLoseRequest) {
      co_await SleepFor(this->clock, std::chrono::milliseconds(5));
      co_return lost;
    }
    auto results = this->state.store.Apply(operations);
    co_await SleepFor(this->clock, delay);
    if (fault == TableFault::kLoseResponse) {
      co_return lost;
    }
    co_return results;
  }

 private:
  /// Schedules the write on the shared clock, since a pause of the daemon does
  /// not stop messages that are already in the network.
  void ApplyLater(std::vector<TableOperation> operations, Duration delay) {
    auto* shared_state = &this->state;
    auto apply = [shared_state, operations = std::move(operations)] {
      shared_state->store.Apply(operations);
    };
    auto& runtime_clock = shared_state->runtime.clock();
    runtime_clock.Schedule(runtime_clock.Now() + delay, std::move(apply));
  }

  SimulationState& state;
  Clock& clock;
  std::string latest_nonce;
};

/// One daemon's connection to the servers of the plain service.
class FakeServices : public ServiceClient {
 public:
  FakeServices(SimulationState& shared_state, Clock& time_source)
      : state(shared_state), clock(time_source) {}

  Task<Result<ServiceReply>> Call(std::string, ServiceCall call,
                                  Duration) override {
    if (this->state.runtime.clock().Now() >
        this->state.deadlines[call.request_id]) {
      this->state.violation = "a call was sent after its deadline";
    }
    const auto fault =
        static_cast<ServiceFault>(this->state.NextChoice(kServiceFaultCount));
    const Error lost{ErrorCode::kUnknownEffect, "service.call", "", ""};
    if (fault == ServiceFault::kRefuse) {
      if (this->state.injected == InjectedContractViolation::kRefusesAfterRun) {
        this->RunCall(call);
      }
      co_return Error{ErrorCode::kRefused, "service.call", "", "503"};
    }
    if (fault == ServiceFault::kNotSent) {
      co_return Error{ErrorCode::kUnavailable, "service.call", "", ""};
    }
    if (fault == ServiceFault::kLoseRequest) {
      ++this->state.unresolved_sends;
      co_return lost;
    }
    ServiceReply reply = this->RunCall(call);
    const Duration delay = fault == ServiceFault::kSlowResponse
                               ? std::chrono::milliseconds(300)
                               : std::chrono::milliseconds(2);
    co_await SleepFor(this->clock, delay);
    if (fault == ServiceFault::kLoseResponse) {
      ++this->state.unresolved_sends;
      co_return lost;
    }
    co_return reply;
  }

 private:
  ServiceReply RunCall(const ServiceCall& call) {
    ++this->state.runs_by_request[call.request_id];
    const int runs = ++this->state.runs_by_key[call.idempotency_key];
    return {200, "run " + std::to_string(runs) + " of " + call.body};
  }

  SimulationState& state;
  Clock& clock;
};

/// One daemon, which can pause or die. No other daemon uses its io_context.
class Daemon {
 public:
  Daemon(SimulationState& shared_state, asio::io_context& io_context,
         std::uint64_t seed)
      : state(shared_state),
        io(io_context),
        clock(shared_state.runtime.clock()),
        table(shared_state, clock),
        grouped(clock, table),
        services(shared_state, clock),
        deployment(clock.Now()),
        service(clock, deployment.blackboard, grouped, services,
                deployment.admission, deployment.servers, deployment.retries,
                deployment.events, seed) {}

  void Pause(Duration duration) {
    const auto now = this->state.runtime.clock().Now();
    this->paused_until = now + duration;
    if (this->state.injected == InjectedContractViolation::kClockStopsInPause) {
      this->clock.skipped_time += duration;
    }
  }

  bool paused() const {
    return this->state.runtime.clock().Now() < this->paused_until;
  }

  bool Poll() {
    if (this->dead || this->paused()) {
      return false;
    }
    this->io.restart();
    return this->io.poll() > 0;
  }

  SimulationState& state;
  asio::io_context& io;
  DaemonClock clock;
  DaemonTable table;
  GroupedTable grouped;
  FakeServices services;
  Deployment deployment;
  AtMostOncePlainService service;
  TimePoint paused_until{};
  bool dead = false;
};

/// Simulates daemons that share one table and one service.
class ClaimSimulation {
 public:
  ClaimSimulation(const Choices& choices, InjectedContractViolation injected,
                  std::size_t daemon_count)
      : contexts(daemon_count), state(choices, injected) {
    for (std::size_t i = 0; i < daemon_count; ++i) {
      this->daemons.push_back(
          std::make_unique<Daemon>(this->state, this->contexts[i], 100 + i));
    }
  }

  /// Sends `request` to a daemon. A paused daemon accepts it after the pause.
  /// The response is stored in `responses` under the id of the request.
  void Start(std::size_t daemon, ServiceRequest request) {
    auto& accepting = *this->daemons[daemon];
    asio::co_spawn(accepting.io, this->Accept(accepting, std::move(request)),
                   asio::detached);
  }

  void Advance(Duration duration,
               Duration step = std::chrono::milliseconds(1)) {
    for (Duration passed{0}; passed < duration; passed += step) {
      this->RunUntilIdle();
      this->state.runtime.Advance(step, step);
    }
    this->RunUntilIdle();
  }

  std::size_t pending_claim_writes() const {
    std::size_t count = 0;
    for (const auto& daemon : this->daemons) {
      count += daemon->dead ? 0 : daemon->service.pending_claim_writes();
    }
    return count;
  }

 private:
  // Pending timers of the clock refer to the contexts, so the contexts are
  // destroyed last.
  std::deque<asio::io_context> contexts;

 public:
  SimulationState state;
  std::vector<std::unique_ptr<Daemon>> daemons;
  std::map<std::string, ServiceResponse> responses;

 private:
  /// The deadline of a request counts from the time at which the daemon accepts
  /// it.
  Task<void> Accept(Daemon& daemon, ServiceRequest request) {
    const std::string id = request.request_id;
    this->state.deadlines[id] =
        this->state.runtime.clock().Now() + request.deadline;
    ServiceResponse response = co_await daemon.service.Run(std::move(request));
    this->responses[id] = std::move(response);
  }

  void RunUntilIdle() {
    bool progress = true;
    while (progress) {
      this->state.runtime.Settle();
      progress = false;
      for (const auto& daemon : this->daemons) {
        progress = daemon->Poll() || progress;
      }
    }
  }
};

inline ServiceRequest MakeServiceRequest(std::string id, std::string operation,
                                         std::string key, Duration deadline) {
  ServiceRequest request;
  request.request_id = std::move(id);
  request.workspace = "w";
  request.service = "desk";
  request.operation = std::move(operation);
  request.idempotency_key = std::move(key);
  request.body = R"({"item":"mirror"})";
  request.deadline = deadline;
  return request;
}

}  // namespace qp::testing
