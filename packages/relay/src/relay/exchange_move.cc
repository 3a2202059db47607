// How an exchange lets a silent stream go on over other engines.
#include <algorithm>
#include <chrono>
#include <utility>

#include "relay/chain_repair.h"
#include "relay/exchange.h"
#include "relay/log_text.h"

namespace qp::relay {

namespace {

/// Longest wait for the next event of a stream that was to go on over other
/// engines: they read some thousand tokens, at a hundred a millisecond and
/// slowed by other work. With the gap before it, callers still wait.
constexpr Duration kMoveTimeout = std::chrono::milliseconds(700);
/// Orders for one move. An engine of the new chain may be full or gone, which
/// the first engine says within milliseconds.
constexpr int kMostMoveOrders = 4;

bool HasStage(const Chain& chain, const ServerPtr& server) {
  return std::any_of(
      chain.stages.begin(), chain.stages.end(),
      [&server](const ChainStage& stage) { return stage.server == server; });
}

/// Whether the engine may have failed rather than have said something.
bool IsNoAnswer(const Error& error) {
  return error.code == ErrorCode::kUnavailable ||
         error.code == ErrorCode::kTimeout ||
         error.code == ErrorCode::kUnknownEffect;
}

}  // namespace

bool Exchange::TryMove() {
  const bool moved_since =
      this->moved_at && *this->moved_at >= this->last_event_at;
  if (!this->chain || this->relay.engines == nullptr || moved_since) {
    return false;
  }
  this->moved_at = this->relay.Now();
  this->StartProgressTimer(*this->moved_at + kMoveTimeout);
  if (this->server->IsPaused(this->relay.Now())) {
    this->BeginMove(StalledRequests());  // It wants no questions.
    return true;
  }
  this->relay.stalled_requests.Find(
      *this->relay.engines, this->server->record,
      [this, asked_at = this->relay.Now(),
       owner = std::weak_ptr<int>(this->alive),
       moved_try = this->tries](const Result<StalledRequests>& stalled) {
        // The exchange may be gone; if events have come meanwhile, the stream
        // goes on by itself.
        if (!owner.expired() && this->call != nullptr &&
            this->tries == moved_try && asked_at >= this->last_event_at) {
          this->BeginMove(stalled);
        }
      });
  return true;
}

ServerPtr Exchange::FindLost(const StalledRequests& stalled) const {
  const auto found = stalled.find(this->metadata.attempt_id);
  if (found == stalled.end()) {
    return nullptr;
  }
  const ServerPtr lost = this->relay.servers.FindByAddress(found->second);
  const bool has_part = lost != nullptr && HasStage(*this->chain, lost);
  return has_part && lost != this->server ? lost : nullptr;
}

void Exchange::BeginMove(const Result<StalledRequests>& stalled) {
  this->move_orders = 0;
  this->move_avoided = this->excluded;
  this->move_lost.clear();
  if (!stalled) {
    this->relay.events.Record(EventId::kRelayAttemptFailed,
                              {{"request", this->metadata.attempt_id},
                               {"peer", this->server->record.id},
                               {"step", "stream.inquiry"},
                               {"detail", ToString(stalled.error())}});
    if (IsNoAnswer(stalled.error())) {
      this->MarkLost(this->server);
      this->ReplaceSilentTry();
      return;
    }
  }
  if (const auto lost = stalled ? this->FindLost(stalled.value()) : nullptr) {
    this->MarkLost(lost);
  } else {
    for (const auto& server : this->SuspectChain(this->QuietSince())) {
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
  // All streams of a lost engine find it at the same time.
  if (!lost->IsSuspect(now)) {
    lost->RecordFailure(now);
  }
  this->relay.events.Record(
      EventId::kServerSuspected,
      {{"server", lost->record.id},
       {"request", this->metadata.attempt_id},
       {"others", "0"},
       {"silent_ms", FormatMillis(now - this->last_event_at)}});
  this->move_lost.push_back(lost);
  this->move_avoided.push_back(lost->record.id);
}

std::optional<Chain> Exchange::RepairLost(const ChoiceQuery& query) {
  std::optional<Chain> repaired = this->chain;
  for (const auto& lost : this->move_lost) {
    if (repaired) {
      repaired = RepairChain(
          *this->service->engine,
          this->relay.servers.FindByService(this->service->name), query,
          *repaired, *lost, this->relay.Now(), this->relay.random);
    }
  }
  return repaired;
}

std::optional<Chain> Exchange::ChooseMove() {
  ChoiceQuery query = this->MakeQuery();
  query.excluded = this->move_avoided;
  if (!this->move_lost.empty()) {
    if (auto repaired = this->RepairLost(query)) {
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
  auto next = this->ChooseMove();
  if (!next) {
    return false;
  }
  ++this->move_orders;
  this->moved_at = this->relay.Now();
  this->StartProgressTimer(*this->moved_at + kMoveTimeout);
  auto next_load =
      std::make_unique<ChainLoad>(std::move(*next), this->Tokens());
  asio::co_spawn(
      this->relay.io,
      RequestMove(this->relay, this, std::move(next_load), this->alive),
      asio::detached);
  return true;
}

Task<void> Exchange::RequestMove(RelayContext& shared, Exchange* exchange,
                                 std::unique_ptr<ChainLoad> next,
                                 std::weak_ptr<int> owner) {
  // The exchange may be gone already, and may go during the wait.
  if (owner.expired()) {
    co_return;
  }
  const int moved_try = exchange->tries;
  const std::string id = exchange->metadata.attempt_id;
  const std::string text = FormatChain(next->chain());
  const auto result = co_await shared.engines->MoveStream(id, next->chain());
  const bool taken =
      result && result.value().outcome == OrderOutcome::kAccepted;
  shared.events.Record(EventId::kRelayStreamMoved,
                       {{"request", id},
                        {"chain", text},
                        {"outcome", taken    ? "taken"
                                    : result ? "refused"
                                             : ToString(result.error())},
                        {"refuser", result ? result.value().refuser : ""}});
  if (owner.expired() || exchange->call == nullptr ||
      exchange->tries != moved_try) {
    co_return;
  }
  if (taken) {
    exchange->ApplyMove(std::move(next));
  } else {
    const Chain refused = next->chain();
    next.reset();
    exchange->FailMove(refused, result);
  }
}

void Exchange::ApplyMove(std::unique_ptr<ChainLoad> next) {
  this->chain = next->chain();
  this->load = std::move(next);
  // If it stays silent, the new engines come into question too.
  this->move_lost.clear();
}

void Exchange::FailMove(const Chain& next, const Result<MoveResult>& result) {
  if (*this->moved_at < this->last_event_at) {
    return;  // Events have come meanwhile: the stream goes on by itself.
  }
  const bool conflict =
      result && result.value().outcome == OrderOutcome::kConflict;
  if (conflict && this->move_orders < kMostMoveOrders) {
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
      // Without a name, any engine that was to take a new part.
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
