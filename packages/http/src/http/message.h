#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <string_view>

#include "foundation/asio.h"  // Before Beast, for <utility>.

namespace qp::http {

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;
using Status = boost::beast::http::status;
using Verb = boost::beast::http::verb;

/// Request with a JSON body; an empty body has no content type.
Request MakeRequest(Verb verb, std::string_view target, std::string body = {});

/// Response with a JSON body.
Response MakeResponse(Status status, std::string body);

/// Value of a header, or empty.
std::string_view HeaderOr(const Request& request, std::string_view name,
                          std::string_view fallback = {});

/// Path of a target, without its query.
std::string_view PathOf(const Request& request);

/// Decoded value of a query parameter, or empty.
std::string QueryParameter(const Request& request, std::string_view name);

}  // namespace qp::http
