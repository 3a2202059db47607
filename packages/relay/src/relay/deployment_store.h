#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "foundation/asio.h"
#include "foundation/clock.h"
#include "foundation/error.h"
#include "relay/deployment.h"
#include "relay/route_table.h"
#include "relay/server_choice.h"

namespace qp::relay {

/// State of the configuration in the store at a revision.
struct ConfigurationSnapshot {
  std::uint64_t revision = 0;
  std::uint64_t era = 0;  ///< Era of the store; 0 if unknown.
  /// Null if the configuration has not changed since the revision of the call,
  /// or if none was ever written. The store builds the route table, so that the
  /// request thread only has to exchange a pointer.
  std::shared_ptr<const ActiveConfiguration> configuration;
  /// Reason why an entry of the configuration cannot be used; empty if all
  /// entries can be used.
  std::string unreadable;
};

/// One entry of the list of backend servers, or its removal.
struct ServerEntry {
  std::string id;
  /// Empty if the entry was removed or does not describe a usable server;
  /// `removed` distinguishes the two.
  std::optional<ServerRecord> record;
  bool removed = false;

  bool operator==(const ServerEntry&) const = default;
};

/// All entries of the server list, or the entries that changed after a
/// revision.
struct ServerListUpdate {
  std::uint64_t revision = 0;
  std::uint64_t era = 0;  ///< Era of the store; 0 if unknown.
  std::vector<ServerEntry> entries;
  /// Reasons why entries describe no usable server, by id.
  std::map<std::string, std::string> unreadable;
};

/// Read access to what operators and backend servers write to the platform's
/// store. Errors: kNotFound if the store no longer has the history since the
/// given revision, kUnavailable or kUnknownEffect if the store did not answer.
class DeploymentStore {
 public:
  virtual ~DeploymentStore() = default;
  virtual Task<Result<ConfigurationSnapshot>> ReadConfiguration() = 0;
  /// Returns the changes after `revision` as soon as there are any, or an empty
  /// result after `wait`.
  virtual Task<Result<ConfigurationSnapshot>> WatchConfiguration(
      std::uint64_t revision, Duration wait) = 0;
  /// Returns the changes after `revision`, or an empty result at once. Like
  /// ReadConfiguration, uses a new connection, since one that is already open
  /// can have failed silently.
  virtual Task<Result<ConfigurationSnapshot>> CompareConfiguration(
      std::uint64_t revision) = 0;
  /// Uses a new connection.
  virtual Task<Result<ServerListUpdate>> ReadServers() = 0;
  /// Returns the changes after `revision` as soon as there are any, or an empty
  /// result after `wait`.
  virtual Task<Result<ServerListUpdate>> WatchServers(std::uint64_t revision,
                                                      Duration wait) = 0;
  /// Returns the changes after `revision`, or an empty result at once. Uses a
  /// new connection.
  virtual Task<Result<ServerListUpdate>> CompareServers(
      std::uint64_t revision) = 0;
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
  /// Address of the engine that prevented the move because it is unreachable or
  /// full; empty if unknown.
  std::string refuser;
};

/// Maps the id of each stalled request to the address of the engine that it
/// waits for.
using StalledRequests = std::map<std::string, std::string, std::less<>>;

/// State that an engine reports.
struct EngineState {
  std::int64_t incarnation = 0;
  /// Number of orders that the engine has begun since its start.
  std::uint64_t order_count = 0;
  /// Whether the engine is executing an order.
  bool busy = false;
  LayerRange layers;
};

/// Receives what servers announce about themselves in responses to orders and
/// queries.
class ServerNoticeListener {
 public:
  virtual ~ServerNoticeListener() = default;
  /// `server` is about to stop.
  virtual void OnLeaving(const ServerRecord& server) = 0;
  /// `server` takes `rate` requests a second from all processes together.
  virtual void OnRequestLimit(const ServerRecord& server, double rate) = 0;
};

/// Sends orders to engines and queries their state.
class EngineControl {
 public:
  virtual ~EngineControl() = default;
  /// Sets the listener for all calls. `listener` must outlive them.
  virtual void SetNoticeListener(ServerNoticeListener& listener) = 0;
  /// Orders an engine to replace its layers by `layers`. The engine executes
  /// the order only if it has begun exactly `order_count` orders since its
  /// start, so that an order based on outdated state gives kConflict. The
  /// engine first finishes the requests that use layers that it drops.
  /// kUnknownEffect if there is no response: the engine can still execute the
  /// order later.
  virtual Task<Result<OrderOutcome>> SetLayers(ServerRecord engine,
                                               LayerRange layers,
                                               std::uint64_t order_count) = 0;
  virtual Task<Result<EngineState>> GetState(ServerRecord engine) = 0;
  /// Asks an engine which of its requests wait for another engine, among the
  /// requests for which it is the first engine of the chain. kTimeout or
  /// kUnknownEffect if the engine does not answer at once.
  virtual Task<Result<StalledRequests>> FindStalled(ServerRecord engine) = 0;
  /// Orders the first engine of `chain` to continue one of its streams on the
  /// engines of `chain`. Engines that keep their layers of the stream also keep
  /// their KV cache; the others recompute it from all tokens so far.
  virtual Task<Result<MoveResult>> MoveStream(std::string attempt_id,
                                              Chain chain) = 0;
};

}  // namespace qp::relay
