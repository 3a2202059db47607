#pragma once

#include <string>
#include <string_view>

#include "http/message.h"

namespace qp {

/// SHA-256 digest of `text` as 64 lower-case hex digits.
std::string Sha256Hex(std::string_view text);

/// Token of the header `Authorization: Bearer`; empty if there is none.
std::string_view BearerToken(const http::Request& request);

/// Compares in a time that depends only on the lengths, so that timing does
/// not tell how much of a digest matches.
bool EqualDigests(std::string_view left, std::string_view right);

}  // namespace qp
