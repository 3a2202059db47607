#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foundation/error.h"
#include "relay/admission/model_admission.h"
#include "relay/deployment_store.h"
#include "relay/prompt_quarantine.h"

namespace qp::relay {

/// Age of a progress that was longer ago than can be stated, or never.
inline constexpr std::uint16_t kUnknownProgressAge = 65535;

/// Load of one process, or of one zone, on one backend server.
struct ServerLoad {
  std::string server;
  std::uint32_t streams = 0;
  /// Sum over the requests in flight: tokens of the request, times the layers
  /// that the request uses on the server.
  double kv_token_layers = 0;
  /// Time since a response through the server last made progress;
  /// kUnknownProgressAge if none has.
  std::uint16_t progress_age_ms = kUnknownProgressAge;

  bool operator==(const ServerLoad&) const = default;
};

/// A server that has refused requests of the reporting process.
struct ServerRefusal {
  std::string server;
  std::uint32_t remaining_ms = 0;  ///< Time until requests should resume.

  bool operator==(const ServerRefusal&) const = default;
};

/// An engine that requests of the reporting process wait for in vain.
struct EngineLoss {
  std::string server;
  std::uint32_t age_ms = 0;        ///< Time since the loss was found.
  std::uint32_t remaining_ms = 0;  ///< Time until requests should resume.

  bool operator==(const EngineLoss&) const = default;
};

/// Limit on requests that a server has named, or its end.
struct LimitReport {
  std::string server;
  /// Requests a second from all processes together; empty if answers of the
  /// server no longer name a limit.
  std::optional<double> rate;
  std::uint32_t age_ms = 0;  ///< Time since the answer that said so.

  bool operator==(const LimitReport&) const = default;
};

/// Changes of the server list that one poll of the store returned.
struct ServerUpdate {
  std::uint64_t from = 0;  ///< Revision before the changes.
  std::uint64_t to = 0;    ///< Revision after the changes.
  std::vector<ServerEntry> entries;
};

/// State that one process of a deployment sends to the others.
struct LoadReport {
  std::string node;
  std::string availability_zone;
  /// Increases with each start of the node.
  std::int64_t incarnation = 0;
  /// Increases with each report of an incarnation.
  std::uint64_t number = 0;
  /// Whether `loads` are sums over all processes of the zone.
  bool covers_zone = false;
  std::vector<ServerLoad> loads;
  /// Servers that refuse requests of the process.
  std::vector<ServerRefusal> refusals;
  /// Version of the active configuration; 0 before the first one.
  std::uint64_t configuration_version = 0;
  /// Time since the active configuration was last known to equal the one in the
  /// store.
  std::uint32_t configuration_age_ms = 0;
  /// Whether the process polls the store for configuration changes.
  bool reads_configuration = false;
  /// Whether the process holds the lease for changing the engines' layers.
  bool holds_lease = false;
  /// Newest era of the store that the process knows; revisions belong to it.
  std::uint64_t store_era = 0;
  /// Revision of the server list in use.
  std::uint64_t server_revision = 0;
  /// Time since the server list in use was last known to equal the one in the
  /// store.
  std::uint32_t server_age_ms = 0;
  /// Recent changes of the server list that the process has read from the
  /// store, oldest first.
  std::vector<ServerUpdate> updates;
  /// Prompt parts that are suspect, quarantined or have just been cleared.
  std::vector<PartReport> parts;
  /// Limits on requests that servers have named.
  std::vector<LimitReport> limits;
  /// Admission to model services with several classes.
  std::vector<AdmissionReport> admission;
  /// Engines that the process has found to be lost.
  std::vector<EngineLoss> losses;
};

std::string EncodeLoadReport(const LoadReport& report);
/// Returns kProtocol if the bytes are not a report of the current format.
Result<LoadReport> DecodeLoadReport(std::string_view bytes);

}  // namespace qp::relay
