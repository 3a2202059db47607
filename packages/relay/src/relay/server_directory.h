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
/// Entries that vanish while the store is disturbed may only have lapsed: they
/// stay in use for a grace period after its return.
class ServerDirectory {
 public:
  /// Time within which entries that lapsed during an outage of the store are
  /// listed again, from the letter of the users.
  static constexpr Duration kLapseGrace = std::chrono::milliseconds(2000);

  /// Time for which a server that is no longer listed is remembered. Rows of
  /// servers that live return within seconds; after this, an entry that was
  /// written by mistake counts as a new server.
  static constexpr Duration kRetention = std::chrono::minutes(10);

  /// Takes over an entry. A new incarnation starts with a clean record; one
  /// that returns after it was dropped is still what was known of it.
  void Put(ServerRecord record, TimePoint now);
  /// The store no longer lists `id`. It is dropped at once, or, if the entry
  /// may have lapsed, kept until `keep_until`.
  void Remove(std::string_view id, TimePoint now, TimePoint keep_until);
  /// Drops what is no longer kept. Called before each use.
  void Expire(TimePoint now);

  std::span<const ServerPtr> FindByService(std::string_view service) const;
  ServerPtr Find(std::string_view id) const;
  ServerPtr FindByAddress(std::string_view address) const;
  std::vector<std::string> Ids() const;
  void ForEach(const std::function<void(const Server&)>& visit) const;
  void ClearPeerLoads();
  void ClearUnreportedLoads();
  std::size_t size() const { return this->by_id.size(); }

 private:
  void Unlist(const ServerPtr& server);
  ServerPtr Recall(const ServerRecord& record);

  std::map<std::string, ServerPtr, std::less<>> by_id;
  std::map<std::string, std::vector<ServerPtr>, std::less<>> by_service;
  std::map<std::string, TimePoint, std::less<>> lapsing;
  std::map<std::string, ServerPtr, std::less<>> dropped;
};

}  // namespace qp::relay
