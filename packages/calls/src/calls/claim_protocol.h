#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>

#include "calls/claim.h"
#include "calls/claim_item.h"
#include "foundation/asio.h"
#include "foundation/clock.h"
#include "foundation/error.h"
#include "foundation/event.h"
#include "storage/table.h"

namespace qp {

enum class ClaimVerdict {
  kHeld,              ///< The claim is this request's; its call may be sent.
  kAnswered,          ///< An earlier call with the key has this stored answer.
  kInProgress,        ///< Another claim holds the key: the call may have run.
  kDigestMismatch,    ///< The key was used with another operation or body.
  kUndetermined,      ///< No result in time; the claim is abandoned.
  kTableUnavailable,  ///< The table is out; nothing was written.
};

struct ClaimDecision {
  ClaimVerdict verdict = ClaimVerdict::kUndetermined;
  std::shared_ptr<Claim> claim;            ///< With kHeld.
  std::optional<StoredResponse> response;  ///< With kAnswered.
};

/// Claims in the table that keep a call from running more than once, as the
/// design page's section on non-idempotent calls defines them. Used on the
/// request thread. Must outlive the last run of its io_context, since releases
/// and stored answers are written in the background.
class ClaimProtocol {
 public:
  /// Longest time for a claim, so that a slow table is reported at once.
  static constexpr Duration kClaimTimeout = std::chrono::milliseconds(1000);
  /// Longest wait for the answer of another claim on the same key.
  static constexpr Duration kBusyWait = std::chrono::milliseconds(500);
  static constexpr Duration kBusyPollInterval = std::chrono::milliseconds(50);
  /// Between tries of one claim write; about one round trip of the table.
  static constexpr Duration kReadBackInterval = std::chrono::milliseconds(20);
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
  static constexpr Duration kMaxBackoff = std::chrono::seconds(5);

  /// `seed` must differ between processes: nonces are drawn from it.
  ClaimProtocol(Clock& clock, Table& table, EventSink& events,
                std::uint64_t seed);

  /// Claims `key` until `deadline` or kClaimTimeout, whichever is earlier.
  Task<ClaimDecision> Acquire(std::string key, std::string digest,
                              TimePoint deadline);

  /// What an earlier request made of `key`, without claiming it: kAnswered,
  /// kInProgress or kDigestMismatch. Waits up to kBusyWait for an answer. Empty
  /// if the key is free or the table does not answer.
  Task<std::optional<ClaimDecision>> Inspect(std::string key,
                                             std::string digest);

  /// Abandons a claim whose call was not sent and replaces it by `released`
  /// in the background. False if the call was sent.
  bool Release(const std::shared_ptr<Claim>& claim,
               const asio::any_io_executor& executor);

  /// Stores the service's answer in the background.
  void Complete(std::shared_ptr<Claim> claim, StoredResponse response,
                const asio::any_io_executor& executor);

  /// Background writes that are not finished; a planned stop waits for zero.
  std::size_t pending_writes() const { return this->pending_write_count; }

 private:
  struct Attempt;

  Task<void> RunAttempt(std::shared_ptr<Attempt> attempt);
  Task<void> WriteClaim(std::shared_ptr<Attempt> attempt);
  Task<void> ReadBack(std::shared_ptr<Attempt> attempt);
  void ApplyItem(Attempt& attempt, const TableItem& item);
  void Finish(Attempt& attempt, ClaimVerdict verdict);
  Task<void> WriteRelease(std::shared_ptr<Claim> claim);
  Task<bool> TryWriteRelease(std::shared_ptr<Claim> claim);
  Task<void> StoreResponse(std::shared_ptr<Claim> claim,
                           StoredResponse response);
  /// Empty if the write's effect is unknown or it was not possible.
  Task<std::optional<OperationResult>> WriteItem(TableOperation operation);
  TableOperation MakeWrite(const Claim& claim, ClaimItemState state) const;
  std::string GenerateNonce();

  Clock& clock;
  Table& table;
  EventSink& events;
  std::mt19937_64 random;
  std::size_t pending_write_count = 0;
};

}  // namespace qp
