#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

#include "foundation/asio.h"
#include "foundation/error.h"

namespace qp::http {

/// Parses "IP:port"; an IPv6 address can be enclosed in brackets, as in
/// "[::1]:80". Returns kInvalidArgument if `address` is malformed.
Result<asio::ip::tcp::endpoint> ParseEndpoint(std::string_view address);

}  // namespace qp::http
