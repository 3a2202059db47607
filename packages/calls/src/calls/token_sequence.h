#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "calls/engine_client.h"

namespace qp {

/// Result of comparing a token record with the next expected one.
enum class RecordVerdict {
  kNext,          ///< The next token of the current attempt.
  kOtherRequest,  ///< Belongs to another request.
  kOtherAttempt,  ///< Belongs to an earlier attempt of this request.
  kUsedPosition,  ///< The position already has a token.
  kGap,           ///< An earlier position is missing; the attempt fails.
  kWrongLayers,   ///< Not produced by all layers; the attempt fails.
};

std::string_view ToString(RecordVerdict verdict);

/// Assembles one response from the token records of its attempts. A token is
/// accepted only if its request, attempt, position and layer range are the
/// expected ones.
class TokenSequence {
 public:
  /// `model_layers` is the number of layers of the model, at least 1.
  TokenSequence(std::string request, std::uint32_t model_layers);

  /// Starts the next attempt and returns its number; the first is 1. Records of
  /// earlier attempts are no longer accepted.
  std::uint32_t StartAttempt();

  /// Appends the token of `record` if it is the next one; otherwise counts the
  /// record as dropped.
  RecordVerdict Accept(const TokenRecord& record);

  /// Returns whether a StreamFinish or StreamFailure with these fields belongs
  /// to the current attempt. If not, counts it as dropped.
  bool AcceptEnd(std::string_view item_request, std::uint32_t item_attempt);

  std::uint32_t current_attempt() const { return this->attempt; }
  /// Tokens accepted so far, by position.
  const std::vector<std::string>& tokens() const {
    return this->accepted_tokens;
  }
  std::uint64_t dropped() const { return this->dropped_count; }

 private:
  RecordVerdict Classify(const TokenRecord& record) const;

  std::string request;
  std::uint32_t layer_count;
  std::uint32_t attempt = 0;
  std::vector<std::string> accepted_tokens;
  std::uint64_t dropped_count = 0;
};

}  // namespace qp
