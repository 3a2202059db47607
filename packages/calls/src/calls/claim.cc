#include "calls/claim.h"

#include <openssl/evp.h>

#include <array>
#include <utility>

namespace qp {

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

}  // namespace

Claim::Claim(std::string key, std::string nonce, std::string digest)
    : item_key(std::move(key)),
      claim_nonce(std::move(nonce)),
      call_digest(std::move(digest)) {}

bool Claim::TryHold() {
  if (this->current_phase != ClaimPhase::kPending) {
    return false;
  }
  this->current_phase = ClaimPhase::kHeld;
  return true;
}

bool Claim::TrySend() {
  if (this->current_phase != ClaimPhase::kHeld) {
    return false;
  }
  this->current_phase = ClaimPhase::kSent;
  return true;
}

bool Claim::TryAbandon() {
  if (this->current_phase == ClaimPhase::kSent) {
    return false;
  }
  this->current_phase = ClaimPhase::kAbandoned;
  return true;
}

void Claim::RevertSend() {
  if (this->current_phase == ClaimPhase::kSent) {
    this->current_phase = ClaimPhase::kHeld;
  }
}

std::string ClaimItemKey(std::string_view workspace, std::string_view service,
                         std::string_view idempotency_key) {
  std::string key = "claim/";
  key.append(workspace).append("/");
  key.append(service).append("/");
  key.append(idempotency_key);
  return key;
}

std::string ClaimDigest(std::string_view operation, std::string_view body) {
  std::string input(operation);
  input.push_back('\0');
  input.append(body);
  std::array<unsigned char, EVP_MAX_MD_SIZE> bytes{};
  unsigned int length = 0;
  EVP_Digest(input.data(), input.size(), bytes.data(), &length, EVP_sha256(),
             nullptr);
  std::string hex;
  for (unsigned int index = 0; index < length; ++index) {
    hex.push_back(kHexDigits[bytes[index] >> 4]);
    hex.push_back(kHexDigits[bytes[index] & 15]);
  }
  return hex;
}

}  // namespace qp
