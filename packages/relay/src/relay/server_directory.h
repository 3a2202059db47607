#pragma once

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "foundation/clock.h"
#include "relay/server.h"

namespace qp::relay {

/// The backend servers that the platform's store lists.
///
/// An entry that vanishes during an outage of the store can have lapsed while
/// its server still runs. Such entries stay in use for a grace period after the
/// store is available again.
class ServerDirectory {
 public:
  /// Time within which entries that lapsed during an outage of the store are
  /// listed again, according to the users' letter.
  static constexpr Duration kLapseGrace = std::chrono::milliseconds(2000);

  /// Time for which the state of a server is kept after it was removed. Rows of
  /// live servers return within seconds. A row that returns later, for example
  /// one that was written by mistake, counts as a new server.
  static constexpr Duration kRetention = std::chrono::minutes(10);

  /// Inserts or updates an entry. A new incarnation starts with a clean state;
  /// an incarnation that returns after its removal gets its old state back.
  void Put(ServerRecord record, TimePoint now);
  /// Removes a server that the store no longer lists. If `keep_until` is later
  /// than `now`, because the entry can have lapsed while the server still runs,
  /// the server stays in use until `keep_until`.
  void Remove(std::string_view id, TimePoint now, TimePoint keep_until);
  /// Whether a removed server stays in use for its grace period.
  bool IsLapsing(std::string_view id) const {
    return this->kept_until.contains(id);
  }
  /// Removes servers whose grace period has ended and drops state that is older
  /// than kRetention. Must be called before each use.
  void Expire(TimePoint now);

  std::span<const ServerPtr> FindByService(std::string_view service) const;
  ServerPtr Find(std::string_view id) const;
  ServerPtr FindByAddress(std::string_view address) const;
  std::vector<std::string> Ids() const;
  void ForEach(const std::function<void(const Server&)>& visit) const;
  /// Visits the servers that were removed, as long as their state is kept.
  void ForEachRemoved(const std::function<void(const Server&)>& visit) const;
  void ClearPeerLoads();
  void ClearUnreportedLoads();
  std::size_t size() const { return this->by_id.size(); }

 private:
  void RemoveFromIndexes(const ServerPtr& server);
  /// Returns the retained state if the server was removed, otherwise a new
  /// state.
  ServerPtr RestoreOrCreate(const ServerRecord& record);

  std::map<std::string, ServerPtr, std::less<>> by_id;
  std::map<std::string, std::vector<ServerPtr>, std::less<>> by_service;
  /// End of the grace period of entries that can have lapsed, by id.
  std::map<std::string, TimePoint, std::less<>> kept_until;
  /// State of removed servers, by id.
  std::map<std::string, ServerPtr, std::less<>> removed;
};

}  // namespace qp::relay
