#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "calls/engine_client.h"

namespace qp {

/// What a token record is, seen from the answer that waits for its next token.
enum class RecordVerdict {
  kNext,          ///< The next token of the current attempt.
  kOtherRequest,  ///< Belongs to another request.
  kOtherAttempt,  ///< Belongs to an earlier attempt of this request.
  kUsedPosition,  ///< Its position already has a token.
  kGap,           ///< A position before it is missing: the attempt is broken.
  kWrongLayers,   ///< Not produced by all layers: the attempt is broken.
};

std::string_view ToString(RecordVerdict verdict);

/// Assembles one answer from the records of its attempts. A token is used only
/// if its request, attempt, position and layer range are the expected ones.
class TokenSequence {
 public:
  /// `layers` is the number of layers of the model, at least 1.
  TokenSequence(std::string request, std::uint32_t layers);

  /// Starts the next attempt and returns its number, the first being 1.
  /// Records of earlier attempts are no longer used.
  std::uint32_t StartAttempt();

  /// Uses the token of `record` if it is the next one; counts it as dropped
  /// otherwise.
  RecordVerdict Accept(const TokenRecord& record);

  /// Whether an item with these fields is of the current attempt. Counts the
  /// item as dropped otherwise.
  bool AcceptEnd(std::string_view item_request, std::uint32_t item_attempt);

  std::uint32_t current_attempt() const { return this->attempt; }
  /// Tokens used so far, by position.
  const std::vector<std::string>& tokens() const {
    return this->accepted_tokens;
  }
  std::uint64_t dropped() const { return this->dropped_count; }

 private:
  RecordVerdict Classify(const TokenRecord& record) const;

  std::string request;
  std::uint32_t layers;
  std::uint32_t attempt = 0;
  std::vector<std::string> accepted_tokens;
  std::uint64_t dropped_count = 0;
};

}  // namespace qp
