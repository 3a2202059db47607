#include "gateway/url.h"

#include <boost/algorithm/hex.hpp>
#include <iterator>

namespace qp {

namespace {

constexpr std::string_view kUnreserved =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";

}  // namespace

std::string UrlEncode(std::string_view text) {
  std::string encoded;
  for (const char letter : text) {
    if (kUnreserved.find(letter) != std::string_view::npos) {
      encoded += letter;
      continue;
    }
    encoded += '%';
    boost::algorithm::hex(std::string(1, letter), std::back_inserter(encoded));
  }
  return encoded;
}

}  // namespace qp
