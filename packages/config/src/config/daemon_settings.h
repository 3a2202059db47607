#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "config/json_reader.h"
#include "foundation/clock.h"
#include "foundation/error.h"

namespace qp {

/// Start-up settings of one daemon: its name and location, its addresses and
/// those of the platform's services. Addresses have the form "IP:port".
struct DaemonSettings {
  std::string node;  ///< Unique name of this daemon.
  std::string region;
  std::string availability_zone;
  std::string caller_address;
  std::string operator_address;
  std::string peer_address;
  std::string table_address;
  std::string object_store_address;
  std::string vm_list_address;
  std::vector<std::string> seeds;  ///< Peer addresses to contact first.
  std::string operator_token_sha256;
  std::string log_format = "human";  ///< "human" or "json".
  std::string log_level = "info";    ///< debug, info, warning or error.
  Duration drain_grace{};  ///< Time to accept requests after a drain starts.
};

/// Parses and validates start-up settings. Appends all mistakes found to
/// `mistakes`; the result is usable only if there are none.
DaemonSettings ParseDaemonSettings(const nlohmann::json& document,
                                   std::vector<Mistake>& mistakes);

/// Fails with kInvalidArgument; the detail has one line for each mistake.
Result<DaemonSettings> ParseDaemonSettings(std::string_view text);

}  // namespace qp
