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
  kHeld,              ///< This request holds the claim; its call may be sent.
  kAnswered,          ///< An earlier call with the key has a stored response.
  kInProgress,        ///< Another claim holds the key; its call may have run.
  kDigestMismatch,    ///< The key was used with another operation or body.
  kUndetermined,      ///< State not known in time; the claim is abandoned.
  kTableUnavailable,  ///< The table is unavailable; nothing was written.
};

struct ClaimDecision {
  ClaimVerdict verdict = ClaimVerdict::kUndetermined;
  std::shared_ptr<Claim> claim;            ///< Set if kHeld.
  std::optional<StoredResponse> response;  ///< Set if kAnswered.
};

/// Ensures by claims in the table that a call runs at most once. The design
/// document specifies the protocol in its section on non-idempotent calls. Used
/// on the request thread. Must outlive the last run of its io_context, since
/// releases and responses are written in the background.
class ClaimProtocol {
 public:
  /// Maximum time to acquire a claim, so that a slow table is reported
  /// promptly.
  static constexpr Duration kClaimTimeout = std::chrono::milliseconds(1000);
  /// Maximum wait for the response to the call of another claim on the same
  /// key.
  static constexpr Duration kBusyWait = std::chrono::milliseconds(500);
  /// Time between two reads of the item while waiting for that response.
  static constexpr Duration kBusyPollInterval = std::chrono::milliseconds(50);
  /// Pause after a failed write or read of a claim; about one round trip to the
  /// table.
  static constexpr Duration kReadBackInterval = std::chrono::milliseconds(20);
  /// Pause after the first failed try of a background write. Doubles with each
  /// further failure, up to kMaxBackoff.
  static constexpr Duration kInitialBackoff = std::chrono::milliseconds(100);
  static constexpr Duration kMaxBackoff = std::chrono::seconds(5);

  /// `seed` must differ between processes, since nonces are generated from it.
  ClaimProtocol(Clock& clock, Table& table, EventSink& events,
                std::uint64_t seed);

  /// Tries to claim `key` until `deadline`, but for at most kClaimTimeout.
  Task<ClaimDecision> Acquire(std::string key, std::string digest,
                              TimePoint deadline);

  /// Reports the state of `key` without claiming it: kAnswered, kInProgress or
  /// kDigestMismatch. Waits up to kBusyWait for the response to a call in
  /// progress. Empty if the key is free or the table cannot be read.
  Task<std::optional<ClaimDecision>> Inspect(std::string key,
                                             std::string digest);

  /// Abandons a claim whose call was not sent and marks its item as `released`
  /// in the background. False if the call was sent.
  bool Release(const std::shared_ptr<Claim>& claim,
               const asio::any_io_executor& executor);

  /// Stores the service's response in the claim's item in the background.
  void Complete(std::shared_ptr<Claim> claim, StoredResponse response,
                const asio::any_io_executor& executor);

  /// Number of background writes in progress. A planned stop of the daemon
  /// waits until it is 0.
  std::size_t pending_writes() const { return this->pending_write_count; }

 private:
  struct Attempt;

  Task<void> RunAttempt(std::shared_ptr<Attempt> attempt);
  Task<void> WriteClaim(std::shared_ptr<Attempt> attempt);
  Task<void> ReadBack(std::shared_ptr<Attempt> attempt);
  /// Updates `attempt` from the item that was read for its key.
  void ApplyItem(Attempt& attempt, const TableItem& item);
  void Finish(Attempt& attempt, ClaimVerdict verdict);
  Task<void> WriteRelease(std::shared_ptr<Claim> claim);
  Task<bool> TryWriteRelease(std::shared_ptr<Claim> claim);
  Task<void> StoreResponse(std::shared_ptr<Claim> claim,
                           StoredResponse response);
  /// Empty if the write failed or its effect is unknown.
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
