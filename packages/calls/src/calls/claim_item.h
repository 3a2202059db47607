#pragma once

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "calls/claim.h"
#include "foundation/clock.h"

namespace qp {

/// A service's response as stored in a claim.
struct StoredResponse {
  int status = 0;  ///< HTTP status.
  std::string body;
};

enum class ClaimItemState { kStarted, kDone, kReleased };

/// Value of a claim's table item.
struct ClaimItem {
  ClaimItemState state = ClaimItemState::kStarted;
  std::string nonce;
  std::string digest;
  StoredResponse response;    ///< Set if kDone.
  WallMillis written_at = 0;  ///< Lets the sweep find items older than 24 h.
};

/// Field of the item's JSON value that conditions of writes refer to.
inline constexpr std::string_view kClaimNonceField = "nonce";

nlohmann::json ToJson(const ClaimItem& item);

/// Empty if `value` is not a claim item.
std::optional<ClaimItem> ParseClaimItem(const nlohmann::json& value);

}  // namespace qp
