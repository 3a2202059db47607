#pragma once

#include <string>
#include <string_view>

namespace qp {

/// Percent-encodes all but the unreserved characters of RFC 3986, so that the
/// text is one path segment or one query value.
std::string UrlEncode(std::string_view text);

}  // namespace qp
