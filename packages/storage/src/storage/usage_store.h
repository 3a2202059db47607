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

/// A VM whose running time is paid for.
struct UsedVm {
  std::string vm;
  std::string kind;
  std::string region;

  auto operator<=>(const UsedVm&) const = default;
};

/// Running time of the accelerators of one kind in one region.
struct UsedHours {
  std::string kind;
  std::string region;
  double hours = 0;
};

/// Records in the table which VMs ran in which minutes, one item for each VM
/// and day: `usage/<month>/<vm>/<day>`. Daemons that observe the same VM merge
/// their minutes. What was seen and not yet written is lost with the daemon.
class UsageStore {
 public:
  UsageStore(Table& table, const Clock& clock);

  /// Notes that `vm` runs now. In memory only.
  void RecordRunning(const UsedVm& vm);

  /// Writes what was noted. What could not be written is kept for the next
  /// call; a conflict with another observer is resolved by then.
  Task<void> Flush();

  /// Hours by kind and region in a month such as "2026-12", as written.
  Task<Result<std::vector<UsedHours>>> HoursOf(std::string month);

 private:
  using PendingKey = std::tuple<UsedVm, std::string, std::string>;

  Task<bool> FlushOne(PendingKey key, MinuteSet minutes);

  Table& table;
  const Clock& clock;
  std::map<PendingKey, MinuteSet> pending;
};

}  // namespace qp
