#include "relay/request_fingerprint.h"

#include <catch2/catch.hpp>

#include "relay/prompt_quarantine.h"

namespace qp::relay::testing {

namespace {

http::Request MakeRequest(std::string target, std::string body) {
  http::Request request;
  request.method(http::Verb::post);
  request.target(target);
  request.body() = std::move(body);
  return request;
}

}  // namespace

TEST_CASE("Requests have one fingerprint only if caller and content agree",
          "[relay][quarantine]") {
  auto request = MakeRequest("/a?b=1", "body");
  const auto id = MakeRequestFingerprint("w1", request);
  request.set("Attempt", "a2");
  CHECK(MakeRequestFingerprint("w1", request) == id);

  CHECK(MakeRequestFingerprint("w2", request) != id);
  CHECK(MakeRequestFingerprint("w1", MakeRequest("/a?b=2", "body")) != id);
  CHECK(MakeRequestFingerprint("w1", MakeRequest("/a?b=1", "Body")) != id);
  request.method(http::Verb::put);
  CHECK(MakeRequestFingerprint("w1", request) != id);
}

TEST_CASE("Fields of a request cannot run into each other in its fingerprint",
          "[relay][quarantine]") {
  const auto id = MakeRequestFingerprint("w", MakeRequest("/ab", "c"));
  CHECK(MakeRequestFingerprint("w", MakeRequest("/a", "bc")) != id);
  CHECK(MakeRequestFingerprint("wP", MakeRequest("/ab", "c")) != id);
  CHECK(MakeRequestFingerprint("w", MakeRequest("/abc", "")) != id);
}

TEST_CASE("No id of a prompt part has the form of a fingerprint",
          "[relay][quarantine]") {
  const auto id = MakeRequestFingerprint("w", MakeRequest("/", ""));
  CHECK(IsRequestFingerprint(id));
  CHECK_FALSE(IsRequestFingerprint(MakePartId(id)));
  CHECK_FALSE(IsRequestFingerprint("request-0123456789abcde"));
  CHECK_FALSE(IsRequestFingerprint("request-0123456789abcdeF"));
  CHECK_FALSE(IsRequestFingerprint("request-0123456789abcdef0"));
}

}  // namespace qp::relay::testing
