#pragma once

#include <string>
#include <string_view>

#include "http/message.h"

namespace qp::relay {

/// Id that requests of one workspace with the same method, target (path and
/// query) and body share: "request-" and 16 hex digits. Ids from MakePartId
/// contain no '-', so no caller can choose such an id for a prompt part.
std::string MakeRequestFingerprint(std::string_view workspace,
                                   const http::Request& request);

/// Whether `id` has the form of a fingerprint.
bool IsRequestFingerprint(std::string_view id);

}  // namespace qp::relay
