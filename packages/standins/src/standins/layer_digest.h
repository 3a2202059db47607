#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace qp::standins {

/// Lower-case hex SHA-256 over fields. Each field is preceded by its length in
/// bytes and a colon, so that different fields never give the same input.
std::string DigestOf(std::initializer_list<std::string_view> fields);

/// What one layer depends on at one position.
struct LayerInput {
  std::string_view model;
  std::string_view request;
  std::string_view prompt;
  std::uint32_t layer = 0;
  std::uint64_t position = 0;
  std::string_view below;     ///< Digest of the layer below, or the token.
  std::string_view previous;  ///< This layer's digest at position - 1.
};

/// Output of a layer. It depends on every layer below and on every earlier
/// position, so that a layer left out, repeated or out of order shows in the
/// answer.
std::string LayerDigest(const LayerInput& input);

/// Token that the last layer's digest stands for, with a trailing space.
std::string TokenOf(std::string_view digest);

}  // namespace qp::standins
