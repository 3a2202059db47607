#include "calls/claim_protocol.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "foundation/spawn.h"
#include "foundation/wait.h"

namespace qp {

namespace {

/// Decision on an item that another request wrote; empty if its claim is
/// released. An item that cannot be parsed counts as in progress.
std::optional<ClaimDecision> ClassifyItem(const nlohmann::json& item,
                                          std::string_view digest) {
  const auto found = ParseClaimItem(item);
  if (found && found->state == ClaimItemState::kReleased) {
    return std::nullopt;
  }
  ClaimDecision decision;
  decision.verdict = ClaimVerdict::kInProgress;
  if (found && found->digest != digest) {
    decision.verdict = ClaimVerdict::kDigestMismatch;
  } else if (found && found->state == ClaimItemState::kDone) {
    decision.verdict = ClaimVerdict::kAnswered;
    decision.response = found->response;
  }
  return decision;
}

}  // namespace

/// State of one Acquire, shared with the coroutine RunAttempt, which may still
/// wait for the table after Acquire has returned.
struct ClaimProtocol::Attempt {
  Attempt(std::shared_ptr<Claim> new_claim, asio::io_context::executor_type io)
      : claim(std::move(new_claim)), decided(io) {}

  std::shared_ptr<Claim> claim;
  TableCondition condition = IfAbsent{};
  /// A write with this nonce may be in the table or in flight.
  bool maybe_written = false;
  /// Another claim may hold the key.
  bool maybe_other_claim = false;
  /// End of the wait for another claim in progress; unset if there is none.
  TimePoint busy_until{};
  Duration pause{};  ///< Time to wait before the next claim write.
  std::optional<ClaimDecision> decision;
  Signal decided;
};

ClaimProtocol::ClaimProtocol(Clock& time_source, Table& claim_table,
                             EventSink& event_sink, std::uint64_t seed)
    : clock(time_source),
      table(claim_table),
      events(event_sink),
      random(seed) {}

Task<ClaimDecision> ClaimProtocol::Acquire(std::string key, std::string digest,
                                           TimePoint deadline) {
  const auto executor = co_await asio::this_coro::executor;
  const auto io = *executor.target<asio::io_context::executor_type>();
  auto claim = std::make_shared<Claim>(std::move(key), this->GenerateNonce(),
                                       std::move(digest));
  auto attempt = std::make_shared<Attempt>(claim, io);
  SpawnLoop(executor, this->clock, "claim.attempt",
            [this, attempt] { return this->RunAttempt(attempt); });
  const auto until = std::min(deadline, this->clock.Now() + kClaimTimeout);
  while (!attempt->decision && this->clock.Now() < until) {
    co_await attempt->decided.WaitFor(this->clock, until - this->clock.Now());
  }
  if (!attempt->decision) {
    this->events.Record(EventId::kClaimUnresolved, {{"key", claim->key()}});
    const bool other_claim = attempt->maybe_other_claim;
    this->Finish(*attempt, other_claim ? ClaimVerdict::kInProgress
                                       : ClaimVerdict::kUndetermined);
    this->Release(claim, executor);
  }
  co_return *attempt->decision;
}

Task<void> ClaimProtocol::RunAttempt(std::shared_ptr<Attempt> attempt) {
  while (!attempt->decision) {
    co_await this->WriteClaim(attempt);
    if (!attempt->decision) {
      co_await this->ReadBack(attempt);
    }
    while (!attempt->decision && attempt->busy_until > TimePoint{}) {
      co_await SleepFor(this->clock, kBusyPollInterval);
      if (!attempt->decision) {
        co_await this->ReadBack(attempt);
      }
    }
    if (!attempt->decision && attempt->pause > Duration(0)) {
      co_await SleepFor(this->clock, std::exchange(attempt->pause, {}));
    }
  }
}

Task<void> ClaimProtocol::WriteClaim(std::shared_ptr<Attempt> attempt) {
  TableOperation write =
      this->MakeWrite(*attempt->claim, ClaimItemState::kStarted);
  write.condition = attempt->condition;
  std::vector<TableOperation> operations;
  operations.push_back(std::move(write));
  auto result =
      co_await this->table.Transact(TransactMode::kEach, std::move(operations));
  if (attempt->decision) {
    co_return;
  }
  if (result.has_error()) {
    const bool nothing_written = result.error().code == ErrorCode::kUnavailable;
    if (nothing_written && !attempt->maybe_written) {
      this->Finish(*attempt, ClaimVerdict::kTableUnavailable);
    }
    attempt->maybe_written = attempt->maybe_written || !nothing_written;
    attempt->pause = kReadBackInterval;
    co_return;
  }
  const auto& results = result.value();
  if (results.size() == 1 && results.front().applied) {
    this->Finish(*attempt, ClaimVerdict::kHeld);
    co_return;
  }
  // The item exists. An earlier write of this claim may have created it, but
  // until it is read back, it must be treated as another claim.
  attempt->maybe_other_claim = true;
}

Task<void> ClaimProtocol::ReadBack(std::shared_ptr<Attempt> attempt) {
  auto read = co_await this->table.Read(attempt->claim->key());
  if (attempt->decision) {
    co_return;
  }
  if (read.has_error()) {
    attempt->pause = kReadBackInterval;
    if (attempt->busy_until > TimePoint{} &&
        this->clock.Now() >= attempt->busy_until) {
      this->Finish(*attempt, ClaimVerdict::kInProgress);
    }
    co_return;
  }
  if (!read.value()) {
    // The write was lost or is still in flight. Repeating it is safe: once one
    // of the two writes is applied, the condition of the other one fails, and
    // both carry the nonce of this claim.
    attempt->condition = IfAbsent{};
    attempt->maybe_other_claim = false;
    attempt->busy_until = {};
    co_return;
  }
  this->ApplyItem(*attempt, *read.value());
}

void ClaimProtocol::ApplyItem(Attempt& attempt, const TableItem& item) {
  const auto found = ParseClaimItem(item.value);
  if (found && found->nonce == attempt.claim->nonce()) {
    this->Finish(attempt, ClaimVerdict::kHeld);
    return;
  }
  if (found && found->state == ClaimItemState::kReleased) {
    // The condition keeps a write of this claim that arrives late from
    // replacing a claim written after this read.
    attempt.condition = IfVersion{item.version};
    attempt.maybe_other_claim = false;
    attempt.busy_until = {};
    return;
  }
  attempt.maybe_other_claim = true;
  if (found && found->digest != attempt.claim->digest()) {
    this->Finish(attempt, ClaimVerdict::kDigestMismatch);
    return;
  }
  if (found && found->state == ClaimItemState::kDone) {
    this->Finish(attempt, ClaimVerdict::kAnswered);
    attempt.decision->response = found->response;
    return;
  }
  if (attempt.busy_until == TimePoint{}) {
    attempt.busy_until = this->clock.Now() + kBusyWait;
  }
  if (this->clock.Now() >= attempt.busy_until) {
    this->Finish(attempt, ClaimVerdict::kInProgress);
  }
}

void ClaimProtocol::Finish(Attempt& attempt, ClaimVerdict verdict) {
  attempt.decision.emplace();
  attempt.decision->verdict = verdict;
  if (verdict == ClaimVerdict::kHeld) {
    attempt.claim->TryHold();
    attempt.decision->claim = attempt.claim;
    this->events.Record(EventId::kClaimWon, {{"key", attempt.claim->key()}});
  } else {
    attempt.claim->TryAbandon();
    if (attempt.maybe_other_claim) {
      this->events.Record(EventId::kClaimLost, {{"key", attempt.claim->key()}});
    }
  }
  attempt.decided.NotifyAll();
}

Task<std::optional<ClaimDecision>> ClaimProtocol::Inspect(std::string key,
                                                          std::string digest) {
  const TimePoint busy_until = this->clock.Now() + kBusyWait;
  for (;;) {
    const auto read = co_await this->table.Read(key);
    if (read.has_error() || !read.value()) {
      co_return std::nullopt;
    }
    auto decision = ClassifyItem(read.value()->value, digest);
    const bool in_progress =
        decision && decision->verdict == ClaimVerdict::kInProgress;
    if (!in_progress || this->clock.Now() >= busy_until) {
      co_return decision;
    }
    co_await SleepFor(this->clock, kBusyPollInterval);
  }
}

bool ClaimProtocol::Release(const std::shared_ptr<Claim>& claim,
                            const asio::any_io_executor& executor) {
  if (!claim->TryAbandon()) {
    return false;
  }
  ++this->pending_write_count;
  SpawnLoop(executor, this->clock, "claim.release",
            [this, claim] { return this->WriteRelease(claim); });
  return true;
}

void ClaimProtocol::Complete(std::shared_ptr<Claim> claim,
                             StoredResponse response,
                             const asio::any_io_executor& executor) {
  ++this->pending_write_count;
  SpawnLoop(executor, this->clock, "claim.complete",
            [this, done = std::move(claim), answer = std::move(response)] {
              return this->StoreResponse(done, answer);
            });
}

Task<void> ClaimProtocol::WriteRelease(std::shared_ptr<Claim> claim) {
  Duration backoff = kInitialBackoff;
  for (;;) {
    const bool done = co_await this->TryWriteRelease(claim);
    if (done) {
      break;
    }
    co_await SleepFor(this->clock, backoff);
    backoff = std::min(kMaxBackoff, 2 * backoff);
  }
  --this->pending_write_count;
  this->events.Record(EventId::kClaimReleased, {{"key", claim->key()}});
}

/// Returns true once the key's item is not a `started` item of this claim and
/// no write of this claim that is still in flight can make it one.
Task<bool> ClaimProtocol::TryWriteRelease(std::shared_ptr<Claim> claim) {
  TableOperation release_write =
      this->MakeWrite(*claim, ClaimItemState::kReleased);
  // The release is also written if the item is absent, so that the condition of
  // a claim write still in flight fails.
  release_write.condition =
      IfField{std::string(kClaimNonceField), claim->nonce(), true};
  const auto released = co_await this->WriteItem(std::move(release_write));
  if (!released || released->applied) {
    co_return released.has_value();
  }
  auto read = co_await this->table.Read(claim->key());
  if (read.has_error() || !read.value()) {
    co_return false;
  }
  const auto found = ParseClaimItem(read.value()->value);
  if (!found || found->state != ClaimItemState::kReleased ||
      found->nonce == claim->nonce()) {
    co_return true;
  }
  // The item is another claim's release, and a write of this claim in flight
  // may be conditional on its version. Writing the release again changes the
  // version and blocks that write.
  TableOperation renewal = this->MakeWrite(*claim, ClaimItemState::kReleased);
  renewal.condition = IfVersion{read.value()->version};
  const auto renewed = co_await this->WriteItem(std::move(renewal));
  co_return renewed && renewed->applied;
}

Task<void> ClaimProtocol::StoreResponse(std::shared_ptr<Claim> claim,
                                        StoredResponse response) {
  Duration backoff = kInitialBackoff;
  for (;;) {
    ClaimItem item{ClaimItemState::kDone, claim->nonce(), claim->digest(),
                   response, this->clock.WallNow()};
    TableOperation write;
    write.key = claim->key();
    write.put = ToJson(item);
    write.condition =
        IfField{std::string(kClaimNonceField), claim->nonce(), false};
    const auto result = co_await this->WriteItem(std::move(write));
    if (result) {
      break;
    }
    co_await SleepFor(this->clock, backoff);
    backoff = std::min(kMaxBackoff, 2 * backoff);
  }
  --this->pending_write_count;
  this->events.Record(EventId::kOnceCallFinished, {{"key", claim->key()}});
}

Task<std::optional<OperationResult>> ClaimProtocol::WriteItem(
    TableOperation operation) {
  std::vector<TableOperation> operations;
  operations.push_back(std::move(operation));
  auto result =
      co_await this->table.Transact(TransactMode::kEach, std::move(operations));
  if (result.has_error() || result.value().size() != 1) {
    co_return std::nullopt;
  }
  co_return result.value().front();
}

TableOperation ClaimProtocol::MakeWrite(const Claim& claim,
                                        ClaimItemState state) const {
  TableOperation write;
  write.key = claim.key();
  write.put =
      ToJson({state, claim.nonce(), claim.digest(), {}, this->clock.WallNow()});
  return write;
}

std::string ClaimProtocol::GenerateNonce() {
  std::array<char, 33> hex{};
  const std::uint64_t high = this->random();
  const std::uint64_t low = this->random();
  std::snprintf(hex.data(), hex.size(), "%016llx%016llx",
                static_cast<unsigned long long>(high),  // NOLINT
                static_cast<unsigned long long>(low));  // NOLINT
  return hex.data();
}

}  // namespace qp
