#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <string>
#include <string_view>

#include "foundation/asio.h"  // Provides <utility> to Asio 1.74.

namespace qp::http {

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;
using Status = boost::beast::http::status;
using Verb = boost::beast::http::verb;

/// Makes an HTTP/1.1 request with a JSON body. With an empty body, no
/// Content-Type is set.
Request MakeRequest(Verb verb, std::string_view target, std::string body = {});

/// Makes an HTTP/1.1 response with a JSON body.
Response MakeResponse(Status status, std::string body);

/// Returns the value of header `name`, or `fallback` if the request does not
/// have it. The view is valid as long as `request` or `fallback`.
std::string_view HeaderOr(const Request& request, std::string_view name,
                          std::string_view fallback = {});

/// Returns the path of the request target without the query. The view is valid
/// as long as `request`.
std::string_view PathOf(const Request& request);

/// Returns the percent-decoded value of the first query parameter `name`, or an
/// empty string if there is none.
std::string QueryParameter(const Request& request, std::string_view name);

}  // namespace qp::http
