#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

#include "foundation/asio.h"
#include "foundation/error.h"

namespace qp::http {

/// Reads "IP:port", with brackets around an IPv6 address.
Result<asio::ip::tcp::endpoint> ParseEndpoint(std::string_view address);

}  // namespace qp::http
