#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "foundation/clock.h"
#include "relay/server_directory.h"

namespace qp::relay {

/// Decides which entries of a server list that was restored from a copy are
/// older than what this process knows.
///
/// A copy lists servers that have left since, shows draining ones as ready, and
/// earlier starts of servers that have restarted. Servers write their entries
/// again within seconds, with a later start or more heartbeats than before. The
/// store doesn't report a change of the heartbeats alone, so the list has to be
/// read as a whole once more at the end of kHoldTime.
class RestoredServers {
 public:
  /// Time after which an entry that is still listed belongs to a live server:
  /// the store removes entries after three silent heartbeat intervals of 1.2 s.
  static constexpr Duration kHoldTime = std::chrono::seconds(6);

  /// The store was restored. Entries are judged from now on by what `servers`
  /// knows.
  void Begin(const ServerDirectory& servers, TimePoint now);
  /// Whether kHoldTime has passed; true once for each restore.
  bool EndHold(TimePoint now);
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
  /// Whether entries of servers that were not listed before the restore are
  /// held back.
  bool holds = false;
  TimePoint hold_until{};

  std::map<std::string, Known, std::less<>> known;
};

}  // namespace qp::relay
