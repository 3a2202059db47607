#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace qp {

enum class ClaimPhase {
  kPending,    ///< The result of the claim write is not known yet.
  kHeld,       ///< The table holds the claim; the call may be sent.
  kSent,       ///< The call may have reached the service.
  kAbandoned,  ///< The call was not sent and never will be.
};

/// Local state of a claim. Each transition is a single step on the request
/// thread, so that a call is never both sent and abandoned.
class Claim {
 public:
  /// `nonce` distinguishes this claim from all others on the same key; `digest`
  /// is the ClaimDigest of the operation and the body.
  Claim(std::string key, std::string nonce, std::string digest);

  /// Moves from kPending to kHeld. Returns false in any other phase.
  bool TryHold();
  /// Moves from kHeld to kSent. Returns false in any other phase. Must be
  /// called right before the call is written.
  bool TrySend();
  /// Moves to kAbandoned from any phase except kSent. Returns false in kSent.
  bool TryAbandon();
  /// Moves from kSent back to kHeld, for a call that the service refused before
  /// starting it. Has no effect in other phases.
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

/// Key of a claim's table item: `claim/<workspace>/<service>/<key>`.
std::string ClaimItemKey(std::string_view workspace, std::string_view service,
                         std::string_view idempotency_key);

/// SHA-256 of an operation and a body in hexadecimal, which binds a claim to
/// this pair.
std::string ClaimDigest(std::string_view operation, std::string_view body);

}  // namespace qp
