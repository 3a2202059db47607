#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "foundation/error.h"
#include "relay/deployment_store.h"

namespace qp::relay {

/// Load of one process, or of one zone, on one backend server.
struct ServerLoad {
  std::string server;
  std::uint32_t streams = 0;
  /// Tokens of the requests in flight, times the layers that each uses.
  double kv_token_layers = 0;

  bool operator==(const ServerLoad&) const = default;
};

/// A server that has refused requests of the reporting process.
struct ServerRefusal {
  std::string server;
  std::uint32_t remaining_ms = 0;  ///< Until it should get requests again.

  bool operator==(const ServerRefusal&) const = default;
};

/// Changes of the server list that one poll of the store returned.
struct ServerUpdate {
  std::uint64_t from = 0;  ///< Revision before the changes.
  std::uint64_t to = 0;    ///< Revision after the changes.
  std::vector<ServerEntry> entries;
};

/// State that one process sends to the others.
struct LoadReport {
  std::string node;
  std::string availability_zone;
  std::int64_t incarnation = 0;  ///< Grows with each start of the node.
  std::uint64_t number = 0;      ///< Grows with each report of an incarnation.
  /// The loads are the sums over all processes of the zone.
  bool covers_zone = false;
  std::vector<ServerLoad> loads;
  std::vector<ServerRefusal> refusals;  ///< Of this process's requests.
  std::uint64_t configuration_version = 0;
  /// Time since the configuration was last known to be that of the store.
  std::uint32_t configuration_age_ms = 0;
  /// The process polls the store for configuration changes.
  bool reads_configuration = false;
  bool holds_lease = false;
  std::uint64_t server_revision = 0;  ///< Of the server list in use.
  /// Time since the server list was last known to be that of the store.
  std::uint32_t server_age_ms = 0;
  std::vector<ServerUpdate> updates;  ///< Recent ones, oldest first.
};

std::string EncodeLoadReport(const LoadReport& report);
/// kProtocol if the bytes are not a report of the current format.
Result<LoadReport> DecodeLoadReport(std::string_view bytes);

}  // namespace qp::relay
