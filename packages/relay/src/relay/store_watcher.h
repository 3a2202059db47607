#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "relay/comparison_schedule.h"
#include "relay/deployment_store.h"
#include "relay/load_gossip.h"
#include "relay/relay.h"
#include "relay/restored_servers.h"
#include "relay/store_availability.h"
#include "storage/store_era.h"

namespace qp::relay {

/// Keeps the configuration and the list of backend servers up to date with the
/// deployment's store.
///
/// While the store does not answer, both keep their last state. A configuration
/// is replaced only by one with a higher version. A change is in force within
/// the bound of its ComparisonSchedule, also if connections to the store fail
/// silently.
///
/// Processes share the server list that they have read: a process does not poll
/// the store while its peers report recent polls (as in Trickle, RFC 6206), so
/// the number of calls to the store does not grow with the number of processes.
/// Without reports from peers each process polls for itself.
///
/// In a large zone the configuration is shared in the same way: one process
/// waits for changes at the store, and the others read each version that this
/// process reports. In a small zone each process waits for itself.
///
/// A store that is restored from a copy shows an older state and counts its
/// revisions from there again. From the first answer of the new era on, both
/// are read anew. The version of the configuration never goes back, entries of
/// servers that are older than what is known are not used, and servers that the
/// copy lacks stay in use for ServerDirectory::kLapseGrace.
class StoreWatcher : public RestoreListener {
 public:
  /// Timeout of a long poll for a configuration change. The store answers at
  /// once when there is a change. If this connection has silently failed, the
  /// reports of peers announce the change before the timeout.
  static constexpr Duration kConfigurationWait =
      std::chrono::milliseconds(8000);
  /// Part of the timeout for each process of the zone: where the sum of the
  /// parts exceeds kConfigurationWait, it is the timeout. If the connections of
  /// all processes have silently failed, the zone still asks the store once a
  /// second on average.
  static constexpr Duration kConfigurationWaitPerProcess =
      std::chrono::milliseconds(1000);
  /// Upper limit of the timeout of a long poll for a configuration change. The
  /// store allows waits of 30 s.
  static constexpr Duration kMaxConfigurationWait =
      std::chrono::milliseconds(24000);
  /// Minimum number of processes in a zone where one process polls the
  /// configuration for all. Deployments of this size allow at least 3 s until a
  /// change is active.
  static constexpr double kMinProcessesForSharedPolling = 12;
  /// Timeout of a long poll by the process that polls the configuration for its
  /// zone. After a timeout it reports to the other processes that nothing has
  /// changed.
  static constexpr Duration kSharedConfigurationWait =
      std::chrono::milliseconds(1000);
  /// Time since the configuration was last compared with the store after which
  /// another process of the zone starts to poll it.
  static constexpr Duration kMaxConfigurationAge =
      std::chrono::milliseconds(1300);
  /// Maximum random addition to kMaxConfigurationAge, so that a single process
  /// starts to poll.
  static constexpr Duration kStaleJitter = std::chrono::milliseconds(700);
  /// Timeout of a long poll for a configuration change while no peer reports,
  /// and before the first configuration is known.
  static constexpr Duration kIsolatedConfigurationWait =
      std::chrono::milliseconds(1000);
  /// Time between two polls of the server list. The list changes all the time,
  /// and a draining server must be out of use after 2 s.
  static constexpr Duration kServerPollInterval =
      std::chrono::milliseconds(600);
  /// Maximum random addition to kServerPollInterval, so that one process polls
  /// and the others receive its report before they poll.
  static constexpr Duration kServerPollJitter = std::chrono::milliseconds(500);
  /// Age of the last proof that the server list is current at which it is
  /// compared, as a share of the bound. Later than the longest time between two
  /// polls, so that a comparison replaces a poll that is not answered.
  static constexpr double kMaxServerAgeShare = 0.6;
  /// Time for which a server list update is repeated in reports, since a
  /// datagram can be lost.
  static constexpr Duration kUpdateRepeatTime = std::chrono::milliseconds(700);
  /// Time without a report from any peer after which this process counts as
  /// isolated.
  static constexpr Duration kPeerTimeout = std::chrono::milliseconds(1500);
  /// Pause after the first failed call to the store. The pause doubles with
  /// each further failure.
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
  /// Longest pause after a failed call to the store while no peer reports.
  static constexpr Duration kMaxBackoff = std::chrono::milliseconds(800);
  /// Longest pause after a failed call to the store while peers report. One of
  /// the peers will report the store's recovery, and failed calls count against
  /// the store's rate limits.
  static constexpr Duration kMaxSharedBackoff = std::chrono::milliseconds(3000);
  /// Part of the longest pause for each process of the zone: where the sum of
  /// the parts exceeds kMaxSharedBackoff, it is the longest pause. Together the
  /// processes then make about five calls a second in each of the two loops.
  static constexpr Duration kSharedBackoffPerProcess =
      std::chrono::milliseconds(200);
  /// Longest pause after a failed call once a peer has reached the store. The
  /// pause is not zero because the fault can still affect this process, and it
  /// is bounded because a recovered store must be read within its stability
  /// window.
  static constexpr Duration kMaxRecoveryBackoff =
      std::chrono::milliseconds(2000);
  /// Time between two checks, during a pause, whether a peer has reached the
  /// store.
  static constexpr Duration kRecoveryCheckInterval =
      std::chrono::milliseconds(500);
  /// Minimum time between two reads caused by a peer's newer configuration
  /// version.
  static constexpr Duration kCatchUpInterval = std::chrono::milliseconds(500);
  /// Minimum time between two reads caused by a peer's newer configuration
  /// version in a large zone, where one read covers several changes in quick
  /// succession.
  static constexpr Duration kSharedCatchUpInterval =
      std::chrono::milliseconds(1000);

  /// Time between two log lines about the configuration in use.
  static constexpr Duration kStateLogInterval = std::chrono::seconds(10);

  StoreWatcher(RelayContext& relay, Clock& clock, DeploymentStore& store);

  /// Polls the configuration until the process ends.
  Task<void> WatchConfiguration();
  /// Compares the configuration with the store until the process ends, whenever
  /// neither a long poll nor a report of a peer has shown for some time that it
  /// is current. See ConfigurationFreshness.
  Task<void> KeepConfigurationCurrent();
  /// Does the same for the server list.
  Task<void> KeepServersCurrent();
  /// Polls the server list until the process ends.
  Task<void> WatchServers();

  /// Makes one call to the store for the configuration and returns the pause
  /// until the next call.
  Task<Duration> PollConfiguration();
  /// Makes one call to the store for the server list and returns the pause
  /// until the next call.
  Task<Duration> PollServers();

  /// Sets the time from the acknowledgement of a change of the server list
  /// until it must be in force.
  void SetServerListBound(Duration bound) {
    this->server_freshness.SetBound(bound);
  }

  /// Applies what the sender of `report` has read from the store.
  void ApplyReport(const LoadReport& report);
  /// Adds to `report` what this process has read from the store.
  void FillReport(LoadReport& report);

  /// Sets the gauges of the configuration, and records its version and age in
  /// the log once per kStateLogInterval.
  void RecordConfigurationState();

  /// Whether the process has a configuration to serve with. Until MarkStarted,
  /// the store must have confirmed it; see
  /// ConfigurationFreshness::IsConfirmed.
  bool HasConfiguration() const;
  /// The process has become ready. From now on it serves with the configuration
  /// that it has, also while it can't reach the store.
  void MarkStarted();
  /// Whether the server list has been read at least once.
  bool has_servers() const { return this->servers_known; }
  /// Whether no peer has reported for kPeerTimeout.
  bool is_isolated() const { return !this->HasRecentPeerReport(); }

  /// Reads the configuration and the server list at once, both as a whole.
  void OnStoreRestored(std::uint64_t era) override;

  /// Called after each update of the server list and each new configuration.
  std::function<void()> on_change;
  /// Called after each new configuration.
  std::function<void()> on_configuration;
  /// Called after each poll of the server list by this process, and in a large
  /// zone also after each poll of the configuration, so that peers receive the
  /// result before they poll themselves.
  std::function<void()> on_servers_polled;

 private:
  /// State of the comparisons of the configuration or of the server list.
  struct Comparisons {
    int pending = 0;
    /// Pause after the last one, before jitter; zero unless it failed.
    Duration backoff{};
    TimePoint not_before{};  ///< End of the pause after a failed one.
  };

  /// A call to the store for the configuration.
  struct ConfigurationRead {
    TimePoint began{};
    /// Newest revision of the store known when the call began. The store's
    /// answers are linearizable, so an answer with a lower one is outdated.
    std::uint64_t known_revision = 0;
    std::string_view cause;  ///< Why the call is made, for the log.
    std::uint64_t era = 0;   ///< Era of the store when the call began.
    bool is_full = false;    ///< Whether the whole configuration is read.
  };

  /// Timeout of the next long poll for a configuration change.
  Duration ConfigurationWait() const;
  /// Whether one process of the zone polls the configuration for all.
  bool SharesConfigurationPolling() const;
  /// Waits until no process has compared the configuration with the store for
  /// kMaxConfigurationAge plus jitter, or until polling is no longer shared.
  Task<void> WaitForStaleConfiguration();
  Duration CatchUpInterval() const;
  ConfigurationRead BeginRead(std::string_view cause, bool is_full) const;
  /// Whether an answer can be used that states `answer_era` to a call that
  /// began in `began_era`. Changes since a revision can't be read across a
  /// restore.
  bool IsUsable(std::uint64_t answer_era, std::uint64_t began_era,
                bool is_full) const;
  /// Returns why an answer doesn't prove that the configuration in use is
  /// current; empty if it does.
  std::string WhyNotCurrent(const ConfigurationSnapshot& snapshot,
                            const ConfigurationRead& read) const;
  void HandleFailedRead(const Error& error, const ConfigurationRead& read);
  /// Applies an answer of the store, and records that the configuration in use
  /// was current at `as_of`. Returns false if the answer doesn't prove that.
  bool AcceptConfiguration(const ConfigurationSnapshot& snapshot,
                           const ConfigurationRead& read, TimePoint as_of);
  /// Updates RelayContext::configuration_unconfirmed.
  void UpdateConfirmed();
  /// Calls `compare` whenever a comparison is due, as long as `is_known` holds.
  Task<void> KeepCurrent(const ComparisonSchedule& schedule,
                         const Comparisons& comparisons,
                         bool (StoreWatcher::*is_known)() const,
                         Task<void> (StoreWatcher::*compare)());
  Task<void> CompareConfiguration();
  Task<void> CompareServers();
  /// Reads the whole server list when entries of the copy are no longer held
  /// back.
  Task<void> ReadServersAfterHold();
  /// Sets the pause after a comparison that failed or proved nothing.
  void DelayComparison(Comparisons& comparisons);
  bool has_configuration() const {
    return this->relay.active_configuration != nullptr;
  }
  /// Reads the configuration after a peer has reported a newer version.
  Task<void> CatchUpConfiguration();
  /// Waits until no process has read the server list for `age`.
  Task<void> WaitForStaleServers(Duration age);
  /// Waits for `pause`, but at most kMaxRecoveryBackoff if a peer reaches the
  /// store in the meantime.
  Task<void> WaitForRetry(Duration pause);
  /// Applies an update read by a peer, unless it has been applied already or
  /// changes before it are missing.
  void ApplyUpdate(const ServerUpdate& update);
  /// Keeps the changes that a poll has returned since revision `from`, for the
  /// reports to peers.
  void RecordOwnUpdate(std::uint64_t from, const ServerListUpdate& list_update);
  /// Whether `entry` can differ from the server list of a peer that has read
  /// the same revision.
  bool IsChange(const ServerEntry& entry) const;
  /// Reads the changes of the server list, or the whole list, and applies them.
  /// `is_comparison`: on a new connection. Returns false if the answer is older
  /// than the list in use.
  Task<Result<bool>> FetchServers(bool is_comparison);
  /// `cause`: why the configuration was read.
  void ApplyConfiguration(const ConfigurationSnapshot& snapshot,
                          std::string_view cause);
  void LogFailedRead(const Error& error, const ConfigurationRead& read);
  /// `is_full`: `list_update` contains all servers, so that servers missing
  /// from it are removed.
  void ApplyServers(const ServerListUpdate& list_update, bool is_full);
  /// Not for an entry that is older than what is known of its server.
  void PutServer(ServerRecord record, TimePoint now);
  /// The server stays in use until `keep_until` if that is later than `now`,
  /// because its entry can merely have lapsed.
  void RemoveServer(const std::string& id, TimePoint now, TimePoint keep_until);
  /// Whether any peer has reported within kPeerTimeout.
  bool HasRecentPeerReport() const;
  /// The store has answered a call, which shows that it was available at some
  /// time after `as_of`.
  void RecordAnswer(TimePoint as_of);
  /// A call that began at `began` has ended with `error`.
  void RecordFailure(const Error& error, TimePoint began);
  /// Returns the pause until the next call after a failed one.
  Duration NextBackoff();

  RelayContext& relay;
  Clock& clock;
  DeploymentStore& store;
  /// Revision up to which the configuration was read; if empty, the next call
  /// reads the whole configuration.
  std::optional<std::uint64_t> configuration_revision;
  /// Revision up to which the server list was read; if empty, the next call
  /// reads the whole list.
  std::optional<std::uint64_t> server_revision;
  /// Pause after the last call to the store, before jitter; zero unless that
  /// call failed. Both loops share it.
  Duration backoff{};
  bool servers_known = false;
  /// Version that the store had when it was last read in its era; empty if it
  /// has not been read.
  std::optional<std::uint64_t> stored_version;
  RestoredServers restored_servers;
  /// Revision of the server list in use.
  std::uint64_t applied_server_revision = 0;
  ComparisonSchedule server_freshness{kDefaultServerListBound,
                                      kMaxServerAgeShare};
  /// Time of the last report received from any peer.
  std::optional<TimePoint> last_peer_report_at;
  /// Latest time at which a peer read the server list from the store.
  TimePoint peer_read_store_at{};
  /// Whether this process polls the configuration for its zone.
  bool reads_configuration = false;
  std::string node;          ///< Name of this process in reports.
  bool has_started = false;  ///< MarkStarted has been called.
  Comparisons configuration_comparisons;
  Comparisons server_comparisons;
  /// Time of the last log line about the configuration in use.
  std::optional<TimePoint> state_logged_at;
  /// Time of the last read caused by a peer's newer configuration version.
  std::optional<TimePoint> last_catch_up_at;
  /// Server list updates read by this process, with the time of the read.
  std::vector<std::pair<TimePoint, ServerUpdate>> own_updates;
  /// The store's availability to any process of the deployment, and so to the
  /// servers that register with it.
  StoreAvailability availability;
  /// The store's availability to this process.
  StoreAvailability reachability;
};

}  // namespace qp::relay
