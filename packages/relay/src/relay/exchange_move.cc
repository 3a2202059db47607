// Moving silent streams to other engines behind the same first engine.
#include <algorithm>
#include <chrono>
#include <utility>

#include "foundation/spawn.h"
#include "relay/chain_repair.h"
#include "relay/exchange.h"
#include "relay/log_text.h"

namespace qp::relay {

namespace {

/// Timeout for the next event after a move to other engines was started or
/// ordered. The new engines first read several thousand tokens, at 100 tokens
/// per millisecond or less if they do other work. The silence before the move
/// and this timeout together are shorter than the time that callers wait.
constexpr Duration kMoveTimeout = std::chrono::milliseconds(700);
/// Maximum number of orders for one move. An order fails if an engine of the
/// new chain is full or lost. The first engine reports that within
/// milliseconds, and another chain can then be tried.
constexpr int kMaxMoveOrders = 4;

bool HasStage(const Chain& chain, const ServerPtr& server) {
  return std::any_of(
      chain.stages.begin(), chain.stages.end(),
      [&server](const ChainStage& stage) { return stage.server == server; });
}

/// Whether the error means that the engine sent no response and may have
/// failed.
bool IsNoResponse(const Error& error) {
  return error.code == ErrorCode::kUnavailable ||
         error.code == ErrorCode::kTimeout ||
         error.code == ErrorCode::kUnknownEffect;
}

}  // namespace

bool Exchange::TryMove() {
  const bool already_moved =
      this->moved_at && *this->moved_at >= this->last_progress_at;
  if (!this->chain || this->relay.engines == nullptr || already_moved) {
    return false;
  }
  this->moved_at = this->relay.Now();
  this->StartProgressTimer(*this->moved_at + kMoveTimeout);
  const ServerPtr& first = this->server;
  const bool is_asked =
      this->relay.stalled_requests.IsPending(first->record.id);
  if (!is_asked && (!first->AcceptsRequest(*this->moved_at) ||
                    !first->request_limit.TryAcquire(*this->moved_at))) {
    // The first engine must get no request now, so the move starts without its
    // report.
    this->BeginMove(StalledRequests());
    return true;
  }
  this->relay.stalled_requests.Find(
      *this->relay.engines, this->server->record,
      [this, asked_at = this->relay.Now(),
       owner = std::weak_ptr<int>(this->alive),
       moved_try = this->try_number](const Result<StalledRequests>& stalled) {
        // The exchange can have been destroyed or have started another try. If
        // events have arrived in the meantime, the stream continues without a
        // move.
        if (!owner.expired() && this->call != nullptr &&
            this->try_number == moved_try &&
            asked_at >= this->last_progress_at) {
          this->BeginMove(stalled);
        }
      });
  return true;
}

ServerPtr Exchange::FindLostEngine(const StalledRequests& stalled) const {
  const auto found = stalled.find(this->metadata.attempt_id);
  if (found == stalled.end()) {
    return nullptr;
  }
  const ServerPtr lost = this->relay.servers.FindByAddress(found->second);
  const bool in_chain = lost != nullptr && HasStage(*this->chain, lost);
  return in_chain && lost != this->server ? lost : nullptr;
}

void Exchange::BeginMove(const Result<StalledRequests>& stalled) {
  this->move_order_count = 0;
  this->move_avoided = this->excluded;
  this->lost_engines.clear();
  if (!stalled) {
    this->relay.events.Record(EventId::kRelayAttemptFailed,
                              {{"request", this->metadata.attempt_id},
                               {"peer", this->server->record.id},
                               {"step", "stream.inquiry"},
                               {"detail", ToString(stalled.error())}});
    if (IsNoResponse(stalled.error())) {
      this->MarkLost(this->server);
      this->ReplaceSilentTry();
      return;
    }
  }
  if (const auto lost =
          stalled ? this->FindLostEngine(stalled.value()) : nullptr) {
    this->MarkLost(lost);
  } else {
    for (const auto& server :
         this->SuspectSilentEngines(this->ProgressCutoff())) {
      if (server != this->server) {
        this->move_avoided.push_back(server->record.id);
      }
    }
  }
  if (!this->RequestNextMove()) {
    this->ReplaceSilentTry();
  }
}

void Exchange::MarkLost(const ServerPtr& lost) {
  const TimePoint now = this->relay.Now();
  lost->RecordLoss(now);
  this->relay.events.Record(
      EventId::kServerSuspected,
      {{"server", lost->record.id},
       {"request", this->metadata.attempt_id},
       {"others", "0"},
       {"silent_ms", FormatMillis(now - this->last_progress_at)}});
  this->lost_engines.push_back(lost);
  this->move_avoided.push_back(lost->record.id);
}

std::optional<Chain> Exchange::ReplaceLostEngines(const ChoiceQuery& query) {
  std::optional<Chain> repaired = this->chain;
  for (const auto& lost : this->lost_engines) {
    if (repaired) {
      repaired = RepairChain(
          *this->service->engine,
          this->relay.servers.FindByService(this->service->name), query,
          *repaired, *lost, this->relay.Now(), this->relay.random);
    }
  }
  return repaired;
}

std::optional<Chain> Exchange::ChooseMoveChain() {
  ChoiceQuery query = this->MakeQuery();
  query.excluded = this->move_avoided;
  if (!this->lost_engines.empty()) {
    if (auto repaired = this->ReplaceLostEngines(query)) {
      return repaired;
    }
  }
  const ChainStage first = this->chain->stages.front();
  query.first_stage = &first;
  auto next =
      ChooseChain(*this->service->engine,
                  this->relay.servers.FindByService(this->service->name), query,
                  this->relay.Now(), this->relay.random);
  if (next && next->stages.front().server != first.server) {
    return std::nullopt;
  }
  return next;
}

bool Exchange::RequestNextMove() {
  auto next = this->ChooseMoveChain();
  // Without room for the order, the stream is resumed elsewhere instead.
  if (!next || !this->server->request_limit.TryAcquire(this->relay.Now())) {
    return false;
  }
  ++this->move_order_count;
  this->moved_at = this->relay.Now();
  this->StartProgressTimer(*this->moved_at + kMoveTimeout);
  auto next_load =
      std::make_unique<ChainLoad>(std::move(*next), this->KvTokens());
  Spawn(this->relay.io, "stream.move",
        RequestMove(this->relay, this, std::move(next_load), this->alive));
  return true;
}

Task<void> Exchange::RequestMove(RelayContext& shared, Exchange* exchange,
                                 std::unique_ptr<ChainLoad> next,
                                 std::weak_ptr<int> owner) {
  // The exchange can have been destroyed before the coroutine starts, and can
  // be destroyed while the coroutine waits.
  if (owner.expired()) {
    co_return;
  }
  const int moved_try = exchange->try_number;
  const std::string id = exchange->metadata.attempt_id;
  const std::string text = FormatChain(next->chain());
  const auto result = co_await shared.engines->MoveStream(id, next->chain());
  const bool accepted =
      result && result.value().outcome == OrderOutcome::kAccepted;
  shared.events.Record(EventId::kRelayStreamMoved,
                       {{"request", id},
                        {"chain", text},
                        {"outcome", accepted ? "taken"
                                    : result ? "refused"
                                             : ToString(result.error())},
                        {"refuser", result ? result.value().refuser : ""}});
  if (owner.expired() || exchange->call == nullptr ||
      exchange->try_number != moved_try) {
    co_return;
  }
  if (accepted) {
    exchange->ApplyMove(std::move(next));
  } else {
    const Chain refused = next->chain();
    next.reset();
    exchange->HandleFailedMove(refused, result);
  }
}

void Exchange::ApplyMove(std::unique_ptr<ChainLoad> next) {
  this->chain = next->chain();
  this->load = std::move(next);
  // ReplaceSilentTry suspects engines only while this list is empty. The new
  // engines must be suspected if the stream stays silent on them.
  this->lost_engines.clear();
}

void Exchange::HandleFailedMove(const Chain& next,
                                const Result<MoveResult>& result) {
  if (*this->moved_at < this->last_progress_at) {
    return;  // Events have arrived, so the stream continues without a move.
  }
  const bool conflict =
      result && result.value().outcome == OrderOutcome::kConflict;
  if (conflict && this->move_order_count < kMaxMoveOrders) {
    const ServerPtr refuser =
        this->relay.servers.FindByAddress(result.value().refuser);
    if (refuser != nullptr && refuser != this->server) {
      if (HasStage(*this->chain, refuser)) {
        this->MarkLost(refuser);
      } else {
        refuser->RecordRefusal(this->relay.Now(), *this->moved_at);
        this->move_avoided.push_back(refuser->record.id);
      }
    }
    for (const auto& stage : next.stages) {
      // If the refuser is not known, any engine that is new to the chain can
      // have refused.
      if (refuser == nullptr && !HasStage(*this->chain, stage.server)) {
        this->move_avoided.push_back(stage.server->record.id);
      }
    }
    if (refuser != this->server && this->RequestNextMove()) {
      return;
    }
  }
  this->ReplaceSilentTry();
}

}  // namespace qp::relay
