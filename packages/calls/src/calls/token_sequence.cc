#include "calls/token_sequence.h"

#include <utility>

namespace qp {

std::string_view ToString(RecordVerdict verdict) {
  switch (verdict) {
    case RecordVerdict::kNext:
      return "next";
    case RecordVerdict::kOtherRequest:
      return "other_request";
    case RecordVerdict::kOtherAttempt:
      return "other_attempt";
    case RecordVerdict::kUsedPosition:
      return "used_position";
    case RecordVerdict::kGap:
      return "gap";
    case RecordVerdict::kWrongLayers:
      return "wrong_layers";
  }
  return "other_request";
}

TokenSequence::TokenSequence(std::string request_id, std::uint32_t model_layers)
    : request(std::move(request_id)), layer_count(model_layers) {}

std::uint32_t TokenSequence::StartAttempt() { return ++this->attempt; }

RecordVerdict TokenSequence::Accept(const TokenRecord& record) {
  const auto verdict = this->Classify(record);
  if (verdict == RecordVerdict::kNext) {
    this->accepted_tokens.push_back(record.token);
  } else {
    ++this->dropped_count;
  }
  return verdict;
}

bool TokenSequence::AcceptEnd(std::string_view item_request,
                              std::uint32_t item_attempt) {
  const bool current =
      item_request == this->request && item_attempt == this->attempt;
  if (!current) {
    ++this->dropped_count;
  }
  return current;
}

RecordVerdict TokenSequence::Classify(const TokenRecord& record) const {
  if (record.request != this->request) {
    return RecordVerdict::kOtherRequest;
  }
  if (record.attempt != this->attempt) {
    return RecordVerdict::kOtherAttempt;
  }
  if (record.position < this->accepted_tokens.size()) {
    return RecordVerdict::kUsedPosition;
  }
  if (record.position > this->accepted_tokens.size()) {
    return RecordVerdict::kGap;
  }
  if (record.first_layer != 0 || record.last_layer + 1 != this->layer_count) {
    return RecordVerdict::kWrongLayers;
  }
  return RecordVerdict::kNext;
}

}  // namespace qp
