#include "gateway/url.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "gateway/caller_request.h"

// Guards against ids from callers that end a query value or a path segment.
TEST_CASE("Any text comes back from an encoded query value", "[url]") {
  CHECK(rc::check([](const std::string& text) {
    const std::string encoded = qp::UrlEncode(text);
    RC_ASSERT(encoded.find_first_of("/?&=# \r\n") == std::string::npos);
    const auto request =
        qp::http::MakeRequest(qp::http::Verb::get, "/p?a=" + encoded + "&b=1");
    RC_ASSERT(qp::http::QueryParameter(request, "a") == text);
    RC_ASSERT(qp::http::QueryParameter(request, "b") == "1");
  }));
}
