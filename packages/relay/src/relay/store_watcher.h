#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "relay/deployment_store.h"
#include "relay/load_gossip.h"
#include "relay/relay.h"

namespace qp::relay {

/// Keeps the configuration and the list of servers in step with the store.
///
/// While the store does not answer, both stay as they were. A configuration is
/// replaced only by one with a higher version.
///
/// Processes share what they read of the list of servers: one that has heard
/// of a recent look does not look itself (as in Trickle, RFC 6206), so that
/// calls to the store don't grow with the number of processes. Without news
/// from peers each process looks for itself.
///
/// In a large zone the configuration is followed in the same way: one process
/// waits for changes at the store, and the others read what it tells of. Where
/// there are few processes, each waits for itself.
class StoreWatcher {
 public:
  /// A change of the configuration ends the wait at once. Where a connection
  /// fell silent, peers tell of the change sooner.
  static constexpr Duration kConfigurationWait =
      std::chrono::milliseconds(8000);
  /// The same for each process of the zone, where there are many: one of them
  /// asks anew each second on average, should all connections have fallen
  /// silent. The store allows waits of 30 s.
  static constexpr Duration kConfigurationWaitPerProcess =
      std::chrono::milliseconds(1000);
  static constexpr Duration kMaxConfigurationWait =
      std::chrono::milliseconds(24000);
  /// Processes in the zone from which on one follows the configuration for all.
  /// Such deployments allow 3 s and more until a change is in force.
  static constexpr double kSharingProcesses = 12;
  /// Longest wait for a change of the process that follows for its zone: after
  /// it the others hear that nothing has changed.
  static constexpr Duration kSharedConfigurationWait =
      std::chrono::milliseconds(1000);
  /// Age from which on the others ask themselves, and its spread, so that one
  /// of them becomes the next to follow.
  static constexpr Duration kStaleConfiguration =
      std::chrono::milliseconds(1300);
  static constexpr Duration kStaleJitter = std::chrono::milliseconds(700);
  /// The same where no peer has been heard of lately.
  static constexpr Duration kLoneConfigurationWait =
      std::chrono::milliseconds(1000);
  /// Pause between two looks at the list of servers, which changes all the
  /// time. A draining server must be out of use after 2 s.
  static constexpr Duration kServerPollInterval =
      std::chrono::milliseconds(600);
  /// Spread of that pause, so that one process looks and the others hear of
  /// it in time.
  static constexpr Duration kServerPollJitter = std::chrono::milliseconds(500);
  /// Time for which news are repeated in reports, some of which are lost.
  static constexpr Duration kUpdateRepeatTime = std::chrono::milliseconds(700);
  /// Silence of all peers after which this process is on its own.
  static constexpr Duration kPeerSilence = std::chrono::milliseconds(1500);
  /// Pauses after a failed call: doubled from the first to the longest.
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
  static constexpr Duration kMaxBackoff = std::chrono::milliseconds(800);
  /// The same while peers are heard of: one of them will notice the return of
  /// the store and tell of it. Failed calls count against the store's rates.
  static constexpr Duration kMaxSharedBackoff = std::chrono::milliseconds(3000);
  /// The longest of these for each process of a large zone: together they ask
  /// some five times a second, in each of both loops.
  static constexpr Duration kSharedBackoffPerProcess =
      std::chrono::milliseconds(200);
  /// The same once a peer has had an answer: what turns away this process may
  /// last, but a store that is back must be read within its stability window.
  static constexpr Duration kReturnPause = std::chrono::milliseconds(2000);
  /// Time between two looks at what peers have reported meanwhile.
  static constexpr Duration kReturnCheck = std::chrono::milliseconds(500);
  /// Time between two reads of a configuration that a peer told of.
  static constexpr Duration kCatchUpPause = std::chrono::milliseconds(500);
  /// The same in a large zone, so that changes in quick succession are read
  /// together.
  static constexpr Duration kSharedCatchUpPause =
      std::chrono::milliseconds(1000);

  StoreWatcher(RelayContext& relay, Clock& clock, DeploymentStore& store);

  /// Both loops; they run until the process ends.
  Task<void> WatchConfiguration();
  Task<void> WatchServers();

  /// One call to the store; returns the pause until the next.
  Task<Duration> PollConfiguration();
  Task<Duration> PollServers();

  /// Takes over what a peer has read.
  void ApplyReport(const LoadReport& report);
  /// Adds what this process has read.
  void FillReport(LoadReport& report);

  bool has_servers() const { return this->servers_known; }

  /// Called after each change of the list or the configuration.
  std::function<void()> on_change;
  /// Called after each own look at the list, of which peers should hear before
  /// they look themselves.
  std::function<void()> on_servers_polled;

 private:
  Task<Result<ConfigurationSnapshot>> NextConfiguration();
  Duration ConfigurationWait() const;
  bool SharesConfiguration() const;
  /// Waits until the configuration has not been compared with the store for
  /// some time, by whatever process.
  Task<void> WaitForStaleConfiguration();
  Duration CatchUpPause() const;
  Task<void> CatchUpConfiguration();
  Task<void> WaitForStaleServers(Duration age);
  /// Waits out a pause after a failed call, or less once a peer had an answer.
  Task<void> WaitForReturn(Duration pause);
  void ApplyUpdate(const ServerUpdate& update);
  void KeepUpdate(std::uint64_t from, const ServerListUpdate& page);
  bool IsChange(const ServerEntry& entry) const;
  Task<Result<ServerListUpdate>> NextServers();
  void ApplyConfiguration(const ConfigurationSnapshot& page);
  void ApplyServers(const ServerListUpdate& page, bool whole);
  void List(const ServerRecord& record, TimePoint now);
  void Unlist(const std::string& id, TimePoint now, TimePoint keep_until);
  bool HearsPeers() const;
  void RecordSuccess();
  /// Returns the pause until the next try.
  Duration RecordFailure(const Error& error);

  RelayContext& relay;
  Clock& clock;
  DeploymentStore& store;
  /// Up to which the store was read; empty: the next read is a whole one.
  std::optional<std::uint64_t> configuration_revision;
  std::optional<std::uint64_t> server_revision;
  Duration failure_pause{};  ///< After the last call, if it failed.
  bool servers_known = false;
  bool available = true;
  std::uint64_t newest_servers = 0;  ///< Revision of the list in use.
  TimePoint servers_true_at{};       ///< When that was the list of the store.
  std::optional<TimePoint> peer_heard_at;
  TimePoint peer_answered_at{};       ///< Latest answer of the store to a peer.
  TimePoint configuration_true_at{};  ///< When that was the store's.
  /// This process follows the configuration for its zone.
  bool reads_configuration = false;
  std::string node;  ///< As reports name this process.
  /// Last read for a peer's newer version.
  std::optional<TimePoint> caught_up_at;
  std::vector<std::pair<TimePoint, ServerUpdate>> own_updates;
  std::optional<TimePoint> disturbed_at;  ///< Last failed call.
};

}  // namespace qp::relay
