#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "foundation/asio.h"
#include "foundation/clock.h"
#include "foundation/error.h"
#include "relay/deployment.h"
#include "relay/server_choice.h"

namespace qp::relay {

/// State of the configuration in the store at a revision.
struct ConfigurationSnapshot {
  std::uint64_t revision = 0;
  /// Empty if the configuration has not changed or was never written.
  std::optional<DeploymentConfiguration> configuration;
  std::string unreadable;  ///< Why an entry is unusable; empty if none is.
};

/// One entry of the list of backend servers, or its removal.
struct ServerEntry {
  std::string id;
  /// Empty if the entry was removed or does not describe a usable server.
  std::optional<ServerRecord> record;
  bool removed = false;

  bool operator==(const ServerEntry&) const = default;
};

/// All entries of the server list, or those changed since a revision.
struct ServerListUpdate {
  std::uint64_t revision = 0;
  std::vector<ServerEntry> entries;
};

/// Read access to what operators and backend servers write to the platform's
/// store. Errors: kNotFound if the store no longer has the history since a
/// revision, kUnavailable or kUnknownEffect if it did not answer.
class DeploymentStore {
 public:
  virtual ~DeploymentStore() = default;
  virtual Task<Result<ConfigurationSnapshot>> ReadConfiguration() = 0;
  /// Returns the changes after `revision` as soon as there are any, or an empty
  /// result after `wait`.
  virtual Task<Result<ConfigurationSnapshot>> WatchConfiguration(
      std::uint64_t revision, Duration wait) = 0;
  virtual Task<Result<ServerListUpdate>> ReadServers() = 0;
  virtual Task<Result<ServerListUpdate>> WatchServers(std::uint64_t revision,
                                                      Duration wait) = 0;
};

/// Response of an engine to an order.
enum class OrderOutcome {
  kAccepted,
  kConflict,  ///< The engine's state differs from the one expected.
  kRefused,
};

/// Result of an order to move a stream.
struct MoveResult {
  OrderOutcome outcome = OrderOutcome::kRefused;
  /// Address of the engine that is unreachable or full; empty if unknown.
  std::string refuser;
};

/// Address of the engine that each stalled request waits for, by request id.
using StalledRequests = std::map<std::string, std::string, std::less<>>;

/// State that an engine reports.
struct EngineState {
  std::int64_t incarnation = 0;
  std::uint64_t order_count = 0;  ///< Orders begun since the start.
  bool busy = false;              ///< The engine is executing an order.
  LayerRange layers;
};

/// Receives the servers that announce in a response to an order that they are
/// about to stop.
class LeavingListener {
 public:
  virtual ~LeavingListener() = default;
  virtual void OnLeaving(const ServerRecord& server) = 0;
};

/// Sends orders to engines and queries their state.
class EngineControl {
 public:
  virtual ~EngineControl() = default;
  /// `listener` must outlive all calls.
  virtual void SetLeavingListener(LeavingListener& listener) = 0;
  /// Orders an engine to replace its layers by `layers` if it has begun
  /// `order_count` orders since its start. The engine first finishes the
  /// requests that use layers that it drops. kUnknownEffect if there is no
  /// response: the engine can still execute the order later.
  virtual Task<Result<OrderOutcome>> SetLayers(ServerRecord engine,
                                               LayerRange layers,
                                               std::uint64_t order_count) = 0;
  virtual Task<Result<EngineState>> GetState(ServerRecord engine) = 0;
  /// Asks an engine which requests wait for another engine, among those for
  /// which it is the first of the chain. kTimeout or kUnknownEffect if it does
  /// not answer at once.
  virtual Task<Result<StalledRequests>> FindStalled(ServerRecord engine) = 0;
  /// Orders the first engine of `chain` to continue a stream that it has begun
  /// on the engines of `chain`. Engines that keep their layers of the stream
  /// also keep their KV cache; the others recompute it from all tokens so far.
  virtual Task<Result<MoveResult>> MoveStream(std::string attempt_id,
                                              Chain chain) = 0;
};

}  // namespace qp::relay
