#include "calls/claim_item.h"

namespace qp {

namespace {

std::string_view StateName(ClaimItemState state) {
  switch (state) {
    case ClaimItemState::kStarted:
      return "started";
    case ClaimItemState::kDone:
      return "done";
    case ClaimItemState::kReleased:
      return "released";
  }
  return "started";
}

std::optional<ClaimItemState> ParseState(const std::string& name) {
  for (const auto state : {ClaimItemState::kStarted, ClaimItemState::kDone,
                           ClaimItemState::kReleased}) {
    if (name == StateName(state)) {
      return state;
    }
  }
  return std::nullopt;
}

}  // namespace

nlohmann::json ToJson(const ClaimItem& item) {
  nlohmann::json value = {{"state", StateName(item.state)},
                          {kClaimNonceField, item.nonce},
                          {"digest", item.digest},
                          {"written_at", item.written_at}};
  if (item.state == ClaimItemState::kDone) {
    value["status"] = item.response.status;
    value["body"] = item.response.body;
  }
  return value;
}

std::optional<ClaimItem> ParseClaimItem(const nlohmann::json& value) {
  try {
    const auto state = ParseState(value.at("state").get<std::string>());
    if (!state) {
      return std::nullopt;
    }
    ClaimItem item;
    item.state = *state;
    item.nonce = value.at("nonce").get<std::string>();
    item.digest = value.at("digest").get<std::string>();
    item.written_at = value.at("written_at").get<WallMillis>();
    if (item.state == ClaimItemState::kDone) {
      item.response.status = value.at("status").get<int>();
      item.response.body = value.at("body").get<std::string>();
    }
    return item;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

}  // namespace qp
