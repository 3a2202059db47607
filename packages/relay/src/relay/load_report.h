#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "foundation/error.h"
#include "relay/deployment_store.h"

namespace qp::relay {

/// Load that one process puts on one backend server.
struct ServerLoad {
  std::string server;
  std::uint32_t streams = 0;
  double kv_token_layers = 0;

  bool operator==(const ServerLoad&) const = default;
};

/// A server that has refused requests of the reporting process.
struct ServerRefusal {
  std::string server;
  std::uint32_t remaining_ms = 0;  ///< Until it should be asked again.

  bool operator==(const ServerRefusal&) const = default;
};

/// Changes of the list of servers that one look at the store has shown.
struct ServerUpdate {
  std::uint64_t from = 0;  ///< Revision that the changes follow.
  std::uint64_t to = 0;
  std::vector<ServerEntry> entries;
};

/// What one process tells the others.
struct LoadReport {
  std::string node;
  std::string availability_zone;
  std::int64_t incarnation = 0;  ///< Grows with each start of the node.
  std::uint64_t number = 0;      ///< Grows with each report of an incarnation.
  /// The loads are those of all processes of the zone.
  bool covers_zone = false;
  std::vector<ServerLoad> loads;
  std::vector<ServerRefusal> refusals;  ///< Seen by this process itself.
  std::uint64_t configuration_version = 0;
  std::uint32_t configuration_age_ms = 0;  ///< Since it was that of the store.
  /// The process asks the store for configurations all the time.
  bool reads_configuration = false;
  bool holds_lease = false;
  std::uint64_t server_revision = 0;  ///< Of the list of servers in use.
  std::uint32_t server_age_ms = 0;    ///< Since that was true of the store.
  std::vector<ServerUpdate> updates;  ///< Latest, oldest first.
};

std::string EncodeLoadReport(const LoadReport& report);
/// kProtocol if the bytes are no report.
Result<LoadReport> DecodeLoadReport(std::string_view bytes);

}  // namespace qp::relay
