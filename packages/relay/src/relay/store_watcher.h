#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "relay/deployment_store.h"
#include "relay/load_gossip.h"
#include "relay/relay.h"

namespace qp::relay {

/// Keeps the configuration and the list of backend servers up to date with the
/// deployment's store.
///
/// While the store does not answer, both keep their last state. A configuration
/// is replaced only by one with a higher version.
///
/// Processes share the server list that they have read: a process does not poll
/// the store while its peers report recent polls (as in Trickle, RFC 6206), so
/// the number of calls to the store does not grow with the number of processes.
/// Without reports from peers each process polls for itself.
///
/// In a large zone the configuration is shared in the same way: one process
/// waits for changes at the store, and the others read each version that this
/// process reports. In a small zone each process waits for itself.
class StoreWatcher {
 public:
  /// Timeout of a long poll for a configuration change. The store answers at
  /// once when there is a change. If this connection has silently failed, the
  /// reports of peers announce the change before the timeout.
  static constexpr Duration kConfigurationWait =
      std::chrono::milliseconds(8000);
  /// Timeout for each process of the zone where their sum exceeds
  /// kConfigurationWait: should all connections have silently failed, the zone
  /// still asks once a second on average.
  static constexpr Duration kConfigurationWaitPerProcess =
      std::chrono::milliseconds(1000);
  /// Upper limit of the timeout. The store allows waits of 30 s.
  static constexpr Duration kMaxConfigurationWait =
      std::chrono::milliseconds(24000);
  /// Processes in the zone from which on one of them polls the configuration
  /// for all. Deployments of this size allow at least 3 s until a change is
  /// active.
  static constexpr double kMinProcessesForSharedPolling = 12;
  /// Timeout of a long poll by the process that polls for its zone. Afterwards
  /// it reports to the others that nothing has changed.
  static constexpr Duration kSharedConfigurationWait =
      std::chrono::milliseconds(1000);
  /// Time since the configuration was last compared with the store after which
  /// another process of the zone starts to poll.
  static constexpr Duration kMaxConfigurationAge =
      std::chrono::milliseconds(1300);
  /// Random addition to kMaxConfigurationAge, so that a single process takes
  /// over.
  static constexpr Duration kStaleJitter = std::chrono::milliseconds(700);
  /// Timeout of a long poll while no peer reports, and before the first
  /// configuration is known.
  static constexpr Duration kIsolatedConfigurationWait =
      std::chrono::milliseconds(1000);
  /// Time between two polls of the server list, which changes all the time. A
  /// draining server must be out of use after 2 s.
  static constexpr Duration kServerPollInterval =
      std::chrono::milliseconds(600);
  /// Random addition to kServerPollInterval, so that one process polls and the
  /// others receive its report before they poll.
  static constexpr Duration kServerPollJitter = std::chrono::milliseconds(500);
  /// Time for which an update is repeated in reports, since datagrams can be
  /// lost.
  static constexpr Duration kUpdateRepeatTime = std::chrono::milliseconds(700);
  /// Time without a report from any peer after which this process counts as
  /// isolated.
  static constexpr Duration kPeerTimeout = std::chrono::milliseconds(1500);
  /// Pause after the first failed call; doubles with each further failure.
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
  /// Longest pause after a failed call while no peer reports.
  static constexpr Duration kMaxBackoff = std::chrono::milliseconds(800);
  /// Longest pause after a failed call while peers report: one of them will
  /// report the store's recovery. Failed calls count against the store's rate
  /// limits.
  static constexpr Duration kMaxSharedBackoff = std::chrono::milliseconds(3000);
  /// Longest pause for each process of a large zone: together the processes
  /// make about five calls a second in each of the two loops.
  static constexpr Duration kSharedBackoffPerProcess =
      std::chrono::milliseconds(200);
  /// Longest pause once a peer has reached the store. A fault that affects only
  /// this process can persist, but a recovered store must be read within its
  /// stability window.
  static constexpr Duration kMaxRecoveryBackoff =
      std::chrono::milliseconds(2000);
  /// Time between two checks, during a pause, whether a peer has reached the
  /// store.
  static constexpr Duration kRecoveryCheckInterval =
      std::chrono::milliseconds(500);
  /// Minimum time between two reads caused by a peer's newer configuration
  /// version.
  static constexpr Duration kCatchUpInterval = std::chrono::milliseconds(500);
  /// Minimum time between such reads in a large zone, where one read covers
  /// several changes in quick succession.
  static constexpr Duration kSharedCatchUpInterval =
      std::chrono::milliseconds(1000);

  StoreWatcher(RelayContext& relay, Clock& clock, DeploymentStore& store);

  /// Polls the configuration until the process ends.
  Task<void> WatchConfiguration();
  /// Polls the server list until the process ends.
  Task<void> WatchServers();

  /// Makes one call to the store; returns the pause until the next.
  Task<Duration> PollConfiguration();
  Task<Duration> PollServers();

  /// Applies what a peer has read from the store.
  void ApplyReport(const LoadReport& report);
  /// Adds what this process has read from the store.
  void FillReport(LoadReport& report);

  bool has_servers() const { return this->servers_known; }

  /// Called after each update of the server list and each new configuration.
  std::function<void()> on_change;
  /// Called after each poll of the server list by this process, and of the
  /// configuration in a large zone, so that peers receive the result before
  /// they poll themselves.
  std::function<void()> on_servers_polled;

 private:
  Task<Result<ConfigurationSnapshot>> FetchConfiguration();
  Duration ConfigurationWait() const;
  bool SharesConfigurationPolling() const;
  /// Waits until no process has compared the configuration with the store for
  /// kMaxConfigurationAge plus jitter, or until polling is no longer shared.
  Task<void> WaitForStaleConfiguration();
  Duration CatchUpInterval() const;
  Task<void> CatchUpConfiguration();
  /// Waits until no process has read the server list for `age`.
  Task<void> WaitForStaleServers(Duration age);
  /// Waits for `pause`, but at most kMaxRecoveryBackoff once a peer has reached
  /// the store.
  Task<void> WaitForRetry(Duration pause);
  void ApplyUpdate(const ServerUpdate& update);
  void RecordOwnUpdate(std::uint64_t from, const ServerListUpdate& list_update);
  bool IsChange(const ServerEntry& entry) const;
  Task<Result<ServerListUpdate>> FetchServers();
  void ApplyConfiguration(const ConfigurationSnapshot& snapshot);
  void ApplyServers(const ServerListUpdate& list_update, bool is_full);
  void PutServer(const ServerRecord& record, TimePoint now);
  void RemoveServer(const std::string& id, TimePoint now, TimePoint keep_until);
  bool HasRecentPeerReport() const;
  void RecordSuccess();
  /// Returns the pause until the next call.
  Duration RecordFailure(const Error& error);

  RelayContext& relay;
  Clock& clock;
  DeploymentStore& store;
  /// Revision up to which the store was read; empty: the next read is a full
  /// one.
  std::optional<std::uint64_t> configuration_revision;
  std::optional<std::uint64_t> server_revision;
  Duration backoff{};  ///< Zero unless the last call of either loop failed.
  bool servers_known = false;
  bool store_available = true;
  std::uint64_t applied_server_revision = 0;  ///< Of the server list in use.
  /// Latest time at which the server list in use was that of the store.
  TimePoint servers_verified_at{};
  std::optional<TimePoint> last_peer_report_at;
  /// Latest time at which a peer read the server list from the store.
  TimePoint peer_read_store_at{};
  /// Latest time at which the active configuration was that of the store.
  TimePoint configuration_verified_at{};
  /// This process polls the configuration for its zone.
  bool reads_configuration = false;
  std::string node;  ///< Name of this process in reports.
  /// Last read caused by a peer's newer configuration version.
  std::optional<TimePoint> last_catch_up_at;
  /// Server list updates read by this process, with the time of the read.
  std::vector<std::pair<TimePoint, ServerUpdate>> own_updates;
  /// Last failed call, other than for a history that is gone.
  std::optional<TimePoint> last_failure_at;
};

}  // namespace qp::relay
