#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "relay/deployment_store.h"
#include "relay/relay.h"

namespace qp::relay {

/// Keeps the configuration and the list of servers in step with the store.
///
/// While the store does not answer, both stay as they were. A configuration is
/// replaced only by one with a higher version.
class StoreFollower {
 public:
  /// A change of the configuration ends the wait at once. Bounds the time for
  /// which a connection that fell silent goes unnoticed.
  static constexpr Duration kConfigurationWait = std::chrono::milliseconds(2000);
  /// Pause between two looks at the list of servers, which changes all the
  /// time. A draining server must be out of use after 2 s.
  static constexpr Duration kServerPause = std::chrono::milliseconds(700);
  static constexpr Duration kServerWait = std::chrono::milliseconds(700);
  /// Pauses after a failed call: doubled from the first to the longest.
  static constexpr Duration kFirstPause = std::chrono::milliseconds(100);
  static constexpr Duration kLongestPause = std::chrono::milliseconds(800);

  StoreFollower(Relay& relay, Clock& clock, DeploymentStore& store);

  /// Both loops; they run until the process ends.
  Task<void> FollowConfiguration();
  Task<void> FollowServers();

  bool has_servers() const { return this->servers_known; }

  /// Called after each change of the list or the configuration.
  std::function<void()> on_change;

 private:
  Task<Result<ConfigurationPage>> NextConfiguration(
      std::optional<std::uint64_t> revision);
  Task<Result<ServerPage>> NextServers(std::optional<std::uint64_t> revision);
  Task<void> ConfigurationStep(std::optional<std::uint64_t>& revision,
                               Duration& pause);
  Task<void> ServerStep(std::optional<std::uint64_t>& revision,
                        Duration& pause);
  void TakeConfiguration(const ConfigurationPage& page);
  void TakeServers(const ServerPage& page, bool whole);
  void List(const ServerRecord& record, TimePoint now);
  void Unlist(const std::string& id, TimePoint now, TimePoint keep_until);
  void NoteAnswer();
  Duration NoteFailure(const Error& error, Duration pause);

  Relay& relay;
  Clock& clock;
  DeploymentStore& store;
  bool servers_known = false;
  bool available = true;
  std::uint64_t newest_servers = 0;  ///< Revision of the list in use.
  std::optional<TimePoint> disturbed_at;  ///< Last failed call.
};

}  // namespace qp::relay
