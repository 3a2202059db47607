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

/// Version in force and the change that made it.
struct ConfigurationHead {
  std::uint64_t version = 0;
  std::string change_id;
};

enum class StoreStatus {
  kAccepted,
  kRefused,      ///< Another version is in force.
  kUnknown,      ///< It may have been accepted, or may yet be.
  kUnavailable,  ///< Nothing was written.
};

struct StoreReport {
  StoreStatus status = StoreStatus::kUnknown;
  std::uint64_t version = 0;  ///< Of the change if accepted, else in force.
  std::string detail;
};

/// Reads and changes the configuration in the table. The items are
/// `configuration/head` (version and change id, small, so that all daemons
/// can poll it), `configuration/current` (the content) and
/// `configuration/history/<version>`; one transaction writes all three.
class ConfigurationStore {
 public:
  /// Waits between two reads that look for a change whose answer was lost.
  static constexpr Duration kReadBackInterval = std::chrono::milliseconds(200);
  static constexpr int kReadBackTries = 5;

  ConfigurationStore(Table& table, Clock& clock);

  /// Empty if none has been stored yet.
  Task<Result<std::optional<ConfigurationHead>>> ReadHead();
  Task<Result<std::optional<Configuration>>> ReadCurrent();

  /// Stores `next` with version `expected` + 1, if `expected` is in force (0:
  /// if there is none). `next.change_id` must come from MakeChangeId.
  Task<StoreReport> Change(Configuration next, std::uint64_t expected);

  /// What became of a change whose outcome was unknown.
  Task<StoreReport> Resolve(std::string change_id);

  /// All stored versions, oldest first.
  Task<Result<std::vector<Configuration>>> History();

  /// Change id that names the version it expects, so that Resolve can tell a
  /// change that can no longer be accepted from one that still may be.
  static std::string MakeChangeId(std::uint64_t expected, std::uint64_t random);

 private:
  Table& table;
  Clock& clock;
};

}  // namespace qp
