#include "gateway/bearer_token.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>
#include <boost/algorithm/hex.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <iterator>

namespace qp {

namespace {

constexpr std::string_view kScheme = "Bearer ";

}  // namespace

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  std::string hex;
  hex.reserve(2 * digest.size());
  boost::algorithm::hex_lower(digest, std::back_inserter(hex));
  return hex;
}

std::string_view BearerToken(const http::Request& request) {
  const std::string_view value = http::HeaderOr(request, "Authorization");
  // The scheme's name is case-insensitive (RFC 9110, section 11.1).
  if (!boost::algorithm::istarts_with(value, kScheme)) {
    return {};
  }
  return value.substr(kScheme.size());
}

bool EqualDigests(std::string_view left, std::string_view right) {
  return left.size() == right.size() &&
         CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

}  // namespace qp
