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

/// The configuration as the store holds it at a revision.
struct ConfigurationSnapshot {
  std::uint64_t revision = 0;
  /// Empty if it has not changed, or was never written.
  std::optional<DeploymentConfiguration> configuration;
  std::string unreadable;  ///< Why an entry could not be used; empty if none.
};

/// One entry of the list of backend servers.
struct ServerEntry {
  std::string id;
  /// Empty if the entry was removed or names no server to use.
  std::optional<ServerRecord> record;
  bool removed = false;

  bool operator==(const ServerEntry&) const = default;
};

struct ServerListUpdate {
  std::uint64_t revision = 0;
  std::vector<ServerEntry> entries;
};

/// What operators and backend servers write to the platform's store.
/// Errors: kNotFound if the history since a revision is gone, kUnavailable or
/// kUnknownEffect if the store did not answer.
class DeploymentStore {
 public:
  virtual ~DeploymentStore() = default;
  virtual Task<Result<ConfigurationSnapshot>> ReadConfiguration() = 0;
  /// Changes after `revision`; returns after `wait` if there are none.
  virtual Task<Result<ConfigurationSnapshot>> WatchConfiguration(
      std::uint64_t revision, Duration wait) = 0;
  virtual Task<Result<ServerListUpdate>> ReadServers() = 0;
  virtual Task<Result<ServerListUpdate>> WatchServers(std::uint64_t revision,
                                                      Duration wait) = 0;
};

/// How an engine took an order.
enum class OrderOutcome {
  kAccepted,
  kConflict,  ///< Its state is not the one that the order was made for.
  kRefused,
};

/// How an order to move a stream was taken.
struct MoveResult {
  OrderOutcome outcome = OrderOutcome::kRefused;
  /// Address of the engine that is gone or has no room; empty if unknown.
  std::string refuser;
};

/// Address of the engine that a request waits for, by the request's id.
using StalledRequests = std::map<std::string, std::string, std::less<>>;

/// What an engine says of itself.
struct EngineState {
  std::int64_t incarnation = 0;
  std::uint64_t order_count = 0;  ///< Orders that it has begun.
  bool busy = false;              ///< An order is being carried out.
  LayerRange layers;
};

/// Is told of servers that say in an answer to an order that they leave.
class LeavingListener {
 public:
  virtual ~LeavingListener() = default;
  virtual void OnLeaving(const ServerRecord& server) = 0;
};

/// Orders to engines.
class EngineControl {
 public:
  virtual ~EngineControl() = default;
  /// `listener` lives as long as orders are given.
  virtual void SetLeavingListener(LeavingListener& listener) = 0;
  /// Orders an engine to hold `layers` in place of what it holds, if it has
  /// begun `order_count` orders since its start. Requests that pass through
  /// layers that it gives up are finished first. Without an answer the order
  /// may be carried out later: kUnknownEffect.
  virtual Task<Result<OrderOutcome>> SetLayers(ServerRecord engine,
                                               LayerRange layers,
                                               std::uint64_t order_count) = 0;
  virtual Task<Result<EngineState>> GetState(ServerRecord engine) = 0;
  /// Asks the first engine of chains which of its requests wait for another
  /// engine. kTimeout or kUnknownEffect if it does not answer at once.
  virtual Task<Result<StalledRequests>> FindStalled(ServerRecord engine) = 0;
  /// Orders the first engine of `chain` to run a stream that it has begun over
  /// the engines of `chain` from now on. Engines that had a part in it and keep
  /// it go on with their memory, the others read all tokens so far.
  virtual Task<Result<MoveResult>> MoveStream(std::string attempt_id,
                                              Chain chain) = 0;
};

}  // namespace qp::relay
