#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace qp {

enum class ClaimPhase {
  kPending,    ///< The claim write has no known result yet.
  kHeld,       ///< The table holds the claim; the call may be sent.
  kSent,       ///< The call may have reached the service.
  kAbandoned,  ///< The call was not sent and never will be.
};

/// One daemon's side of a claim: decides in one step on the request thread
/// whether the call is sent or abandoned, so that never both happen.
class Claim {
 public:
  /// `nonce` tells this claim from every other one on the same key; `digest`
  /// is that of the operation and the body.
  Claim(std::string key, std::string nonce, std::string digest);

  /// From kPending. False if the claim was abandoned before.
  bool TryHold();
  /// From kHeld. Must be called right before the call is written.
  bool TrySend();
  /// From kPending or kHeld. False if the call was sent.
  bool TryAbandon();
  /// From kSent: the service has refused the call before its start.
  void RevertSend();

  const std::string& key() const { return this->item_key; }
  const std::string& nonce() const { return this->claim_nonce; }
  const std::string& digest() const { return this->call_digest; }
  ClaimPhase phase() const { return this->current_phase; }

 private:
  std::string item_key;
  std::string claim_nonce;
  std::string call_digest;
  ClaimPhase current_phase = ClaimPhase::kPending;
};

/// Key of the table item: `claim/<workspace>/<service>/<key>`.
std::string ClaimItemKey(std::string_view workspace, std::string_view service,
                         std::string_view idempotency_key);

/// Hexadecimal SHA-256 that binds a claim to one operation and body.
std::string ClaimDigest(std::string_view operation, std::string_view body);

}  // namespace qp
