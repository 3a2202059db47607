#include "standins/layer_digest.h"

#include <openssl/evp.h>

#include <array>

namespace qp::standins {

namespace {

constexpr std::size_t kTokenDigits = 8;
constexpr std::string_view kDigits = "0123456789abcdef";

std::string ToHex(const unsigned char* bytes, std::size_t count) {
  std::string text;
  text.reserve(2 * count);
  for (std::size_t index = 0; index < count; ++index) {
    text += kDigits[bytes[index] >> 4];
    text += kDigits[bytes[index] & 15];
  }
  return text;
}

}  // namespace

std::string DigestOf(std::initializer_list<std::string_view> fields) {
  std::string input;
  for (std::string_view field : fields) {
    input += std::to_string(field.size());
    input += ':';
    input += field;
  }
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  EVP_Digest(input.data(), input.size(), digest.data(), &size, EVP_sha256(),
             nullptr);
  return ToHex(digest.data(), size);
}

std::string LayerDigest(const LayerInput& input) {
  return DigestOf({input.model, input.request, input.prompt,
                   std::to_string(input.layer), std::to_string(input.position),
                   input.below, input.previous});
}

std::string TokenOf(std::string_view digest) {
  return std::string(digest.substr(0, kTokenDigits)) + " ";
}

}  // namespace qp::standins
