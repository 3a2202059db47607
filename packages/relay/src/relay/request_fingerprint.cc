#include "relay/request_fingerprint.h"

#include <algorithm>
#include <cstdint>
#include <cstdio>

#include "foundation/hash.h"

namespace qp::relay {

namespace {

constexpr std::string_view kPrefix = "request-";
constexpr std::size_t kDigits = 16;

}  // namespace

std::string MakeRequestFingerprint(std::string_view workspace,
                                   const http::Request& request) {
  const auto method = request.method_string();
  const auto target = request.target();
  // Each field is hashed by itself, so that fields cannot run into each other,
  // with the hash of the previous fields as the seed.
  std::uint64_t hash = Hash64(workspace);
  hash = Hash64({method.data(), method.size()}, hash);
  hash = Hash64({target.data(), target.size()}, hash);
  hash = Hash64(request.body(), hash);
  char digits[kDigits + 1];
  std::snprintf(digits, sizeof(digits), "%016llx",
                static_cast<unsigned long long>(hash));
  return std::string(kPrefix) + digits;
}

bool IsRequestFingerprint(std::string_view id) {
  const auto is_digit = [](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
  };
  return id.size() == kPrefix.size() + kDigits && id.starts_with(kPrefix) &&
         std::all_of(id.begin() + kPrefix.size(), id.end(), is_digit);
}

}  // namespace qp::relay
