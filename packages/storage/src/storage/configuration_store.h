#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "config/configuration.h"
#include "foundation/asio.h"
#include "foundation/clock.h"
#include "foundation/error.h"

namespace qp {

class Table;

/// Version of the active configuration and id of the change that created it.
struct ConfigurationHead {
  std::uint64_t version = 0;
  std::string change_id;
};

enum class StoreStatus {
  kAccepted,
  kRefused,      ///< The expected version is not the active one.
  kUnknown,      ///< Not known whether the change was or will be accepted.
  kUnavailable,  ///< Nothing was written.
};

struct StoreReport {
  StoreStatus status = StoreStatus::kUnknown;
  /// Depends on `status`:
  /// - kAccepted: the version that the change created.
  /// - kRefused: the active version or, from Resolve, the version that another
  ///   change created; 0 if the version is not known.
  /// - kUnknown: from Resolve, the expected version if the change was not
  ///   found; otherwise 0.
  /// - kUnavailable: 0.
  std::uint64_t version = 0;
  std::string detail;
};

/// Reads and changes the configuration in the table. One transaction writes
/// three items: `configuration/head` (version and change id; small, because all
/// daemons poll it), `configuration/current` (the content) and
/// `configuration/history/<version>` (the content of each version).
class ConfigurationStore {
 public:
  /// Interval between the reads that check whether a change whose response was
  /// lost took effect.
  static constexpr Duration kReadBackInterval = std::chrono::milliseconds(200);
  /// Number of these reads before Change reports kUnknown.
  static constexpr int kReadBackTries = 5;

  ConfigurationStore(Table& table, Clock& clock);

  /// Empty if no configuration has been stored yet.
  Task<Result<std::optional<ConfigurationHead>>> ReadHead();
  /// Empty if no configuration has been stored yet.
  Task<Result<std::optional<Configuration>>> ReadCurrent();

  /// Stores `next` as version `expected` + 1 if `expected` is the active
  /// version (0: if there is no configuration). `next.change_id` must come from
  /// MakeChangeId.
  Task<StoreReport> Change(Configuration next, std::uint64_t expected);

  /// Determines the outcome of a change that was reported as kUnknown. Reports
  /// kUnknown again if the table cannot be read or the change can still be
  /// accepted.
  Task<StoreReport> Resolve(std::string change_id);

  /// All stored versions, oldest first.
  Task<Result<std::vector<Configuration>>> History();

  /// Change id that contains the expected version, from which Resolve derives
  /// the version that the change creates if it is accepted.
  static std::string MakeChangeId(std::uint64_t expected, std::uint64_t random);

 private:
  Table& table;
  Clock& clock;
};

}  // namespace qp
