#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

#include "calls/engine_client.h"

namespace qp {

/// Body of `POST /v1/engine/streams`.
nlohmann::json ToJson(const StreamRequest& request);

/// Reads one line of an engine's answer. kProtocol with `address` as its peer
/// if the line has not the form of the design page.
Result<StreamItem> ReadStreamItem(std::string_view line,
                                  std::string_view address);

}  // namespace qp
