#pragma once

#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "foundation/asio.h"
#include "foundation/clock.h"
#include "foundation/error.h"
#include "storage/usage_day.h"

namespace qp {

class Table;

/// A VM that is billed for its running time.
struct UsedVm {
  std::string vm;
  std::string kind;
  std::string region;

  auto operator<=>(const UsedVm&) const = default;
};

/// Total running time of the accelerators of one kind in one region.
struct UsedHours {
  std::string kind;
  std::string region;
  double hours = 0;
};

/// Records in the table the minutes in which each VM ran, as one item for each
/// VM and day: `usage/<month>/<vm>/<day>`. Daemons that observe the same VM
/// merge their minutes. Minutes that are not yet written are lost if the daemon
/// stops.
class UsageStore {
 public:
  UsageStore(Table& table, const Clock& clock);

  /// Records in memory that `vm` runs in the current minute.
  void RecordRunning(const UsedVm& vm);

  /// Writes the recorded minutes. Minutes whose write failed or conflicted with
  /// another daemon's write are kept; the next call reads the item again.
  Task<void> Flush();

  /// Hours by kind and region in a month such as "2026-12". Counts only the
  /// minutes written to the table.
  Task<Result<std::vector<UsedHours>>> HoursOf(std::string month);

 private:
  /// VM, month and day, the latter two as in UsageDay.
  using PendingKey = std::tuple<UsedVm, std::string, std::string>;

  /// True if the table now contains the minutes.
  Task<bool> FlushOne(PendingKey key, MinuteSet minutes);

  Table& table;
  const Clock& clock;
  std::map<PendingKey, MinuteSet> pending;
};

}  // namespace qp
