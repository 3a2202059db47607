#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "relay/server_directory.h"

namespace qp::relay {

/// Decides which entries of a server list that was restored from a copy are
/// older than what this process knows.
///
/// A copy lists servers that have left since, shows draining ones as ready, and
/// earlier starts of servers that have restarted. Servers write their entries
/// again within seconds, with a later start or more heartbeats than before.
class RestoredServers {
 public:
  /// The store was restored. Entries are judged from now on by what `servers`
  /// knows.
  void Begin(const ServerDirectory& servers);
  /// The first whole list since the restore has been admitted. Servers that are
  /// listed later have registered since.
  void EndFirstList() { this->is_first_list = false; }

  /// Returns false if the entry is older than what is known and must not be
  /// used. Otherwise marks the entry as draining if the server is known to be.
  bool Admit(ServerRecord& record);
  /// Whether entries of the server are judged by what was known before.
  bool IsJudged(std::string_view id) const { return this->known.contains(id); }

 private:
  struct Known {
    std::int64_t incarnation = 0;
    std::uint64_t heartbeats = 0;
    bool draining = false;
    bool removed = false;
    /// Heartbeats of the first entry that the restored list had for a removed
    /// server.
    std::optional<std::uint64_t> first_seen;
  };

  void Add(const Server& server, bool removed);

  bool is_first_list = false;

  std::map<std::string, Known, std::less<>> known;
};

}  // namespace qp::relay
