#include "relay/store_watcher.h"

#include <algorithm>
#include <random>
#include <set>
#include <utility>

#include "foundation/spawn.h"
#include "foundation/wait.h"
#include "relay/age_millis.h"

namespace qp::relay {

namespace {

/// Part of the longest pause after a failed comparison for each process of the
/// zone.
constexpr Duration kComparePausePerProcess = std::chrono::milliseconds(100);
/// Comparisons of one kind that can wait for an answer at the same time.
constexpr int kMaxPendingComparisons = 2;

/// Keeps only the last entry of each server. One response can contain both the
/// listing and the removal of a server. StoreWatcher::RecordOwnUpdate compares
/// each entry with the server list in use before the response, so it would
/// report the listing to peers but drop the removal.
void RemoveSupersededEntries(std::vector<ServerEntry>& entries) {
  std::set<std::string, std::less<>> seen;
  std::vector<ServerEntry> latest;
  for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry) {
    if (seen.insert(entry->id).second) {
      latest.push_back(std::move(*entry));
    }
  }
  std::reverse(latest.begin(), latest.end());
  entries = std::move(latest);
}

}  // namespace

StoreWatcher::StoreWatcher(RelayContext& context, Clock& time,
                           DeploymentStore& source)
    : relay(context), clock(time), store(source) {
  this->relay.store_era.AddListener(*this);
}

void StoreWatcher::OnStoreRestored(std::uint64_t era) {
  this->relay.events.Record(
      EventId::kStoreRestored,
      {{"era", std::to_string(era)},
       {"server_revision", std::to_string(this->applied_server_revision)}});
  this->configuration_revision.reset();
  this->stored_version.reset();
  this->relay.configuration_freshness.ResetStoreRevision();
  this->server_revision.reset();
  this->applied_server_revision = 0;
  this->own_updates.clear();
  this->restored_servers.Begin(this->relay.servers, this->clock.Now());
  Spawn(this->relay.io, "servers.read_restored", this->ReadServersAfterHold());
  // Servers that the copy lacks write their entries again.
  this->availability.RecordReturn(this->clock.Now());
  if (this->has_configuration()) {
    Spawn(this->relay.io, "configuration.compare",
          this->CompareConfiguration());
  }
  if (this->servers_known) {
    Spawn(this->relay.io, "servers.compare", this->CompareServers());
  }
}

Task<void> StoreWatcher::ReadServersAfterHold() {
  co_await SleepFor(this->clock, RestoredServers::kHoldTime);
  if (this->restored_servers.EndHold(this->clock.Now())) {
    // If this read fails, the next poll reads the whole list.
    this->server_revision.reset();
    co_await this->CompareServers();
  }
}

Task<void> StoreWatcher::WatchServers() {
  while (true) {
    const Duration pause = co_await this->PollServers();
    const bool failed = this->backoff > Duration{0};
    if (failed || !this->servers_known) {
      co_await this->WaitForRetry(std::max(pause, kInitialBackoff));
    }
    if (this->servers_known) {
      co_await this->WaitForStaleServers(failed ? kServerPollInterval : pause);
    }
  }
}

Task<void> StoreWatcher::WaitForRetry(Duration pause) {
  const TimePoint began = this->clock.Now();
  while (true) {
    const bool peer_reached_store = this->peer_read_store_at > began;
    const TimePoint due =
        began +
        (peer_reached_store ? std::min(pause, kMaxRecoveryBackoff) : pause);
    const TimePoint now = this->clock.Now();
    if (now >= due) {
      co_return;
    }
    co_await SleepFor(this->clock, std::min(due - now, kRecoveryCheckInterval));
  }
}

Task<void> StoreWatcher::WaitForStaleServers(Duration age) {
  // Each poll of a peer postpones the next poll of this process.
  while (true) {
    const TimePoint due = this->server_freshness.verified_at() + age;
    const TimePoint now = this->clock.Now();
    if (now >= due) {
      co_return;
    }
    co_await SleepFor(this->clock, due - now);
  }
}

Task<Duration> StoreWatcher::PollServers() {
  const auto applied = co_await this->FetchServers(false);
  if (!applied) {
    co_return this->NextBackoff();
  }
  const Duration pause = kServerPollInterval +
                         Duration(std::uniform_int_distribution<Duration::rep>(
                             0, kServerPollJitter.count())(this->relay.random));
  if (!applied.value()) {
    // A peer's report can have updated the list during the call.
    co_await SleepFor(this->clock, kServerPollInterval);
  }
  co_return pause;
}

Task<void> StoreWatcher::KeepServersCurrent() {
  return this->KeepCurrent(this->server_freshness, this->server_comparisons,
                           &StoreWatcher::has_servers,
                           &StoreWatcher::CompareServers);
}

Task<void> StoreWatcher::CompareServers() {
  Comparisons& comparisons = this->server_comparisons;
  ++comparisons.pending;
  std::optional<Error> failure;
  try {
    const auto applied = co_await this->FetchServers(true);
    if (!applied) {
      failure = applied.error();
    }
  } catch (...) {
    --comparisons.pending;
    throw;
  }
  --comparisons.pending;
  if (!failure) {
    comparisons.backoff = Duration{0};
    co_return;
  }
  this->relay.events.Record(
      EventId::kServerListReadFailed,
      {{"step", failure->step}, {"detail", failure->detail}});
  this->DelayComparison(comparisons);
}

Task<void> StoreWatcher::KeepCurrent(const ComparisonSchedule& schedule,
                                     const Comparisons& comparisons,
                                     bool (StoreWatcher::*is_known)() const,
                                     Task<void> (StoreWatcher::*compare)()) {
  while (true) {
    const double jitter =
        std::uniform_real_distribution<double>(0, 1)(this->relay.random);
    while (true) {
      const TimePoint due =
          std::max(schedule.ComparisonDue(jitter), comparisons.not_before);
      const bool known = (this->*is_known)();
      if (known && this->clock.Now() >= due) {
        break;
      }
      co_await SleepFor(this->clock, known ? due - this->clock.Now()
                                           : schedule.RetryInterval());
    }
    if (comparisons.pending < kMaxPendingComparisons) {
      Spawn(this->relay.io, "store.compare", (this->*compare)());
    }
    co_await SleepFor(this->clock, schedule.RetryInterval());
  }
}

void StoreWatcher::DelayComparison(Comparisons& comparisons) {
  // The processes of a zone together make about ten calls a second.
  const auto scaled = std::chrono::duration_cast<Duration>(
      kComparePausePerProcess * this->relay.processes_in_zone);
  comparisons.backoff =
      std::clamp(comparisons.backoff * 2, kInitialBackoff,
                 this->HasRecentPeerReport() ? std::max(kMaxBackoff, scaled)
                                             : kMaxBackoff);
  // Jitter keeps processes that failed together from retrying together.
  const double jitter =
      std::uniform_real_distribution<double>(0.75, 1.25)(this->relay.random);
  comparisons.not_before =
      this->clock.Now() +
      std::chrono::duration_cast<Duration>(comparisons.backoff * jitter);
}

Task<Result<bool>> StoreWatcher::FetchServers(bool is_comparison) {
  const bool is_full = !this->server_revision.has_value();
  const std::uint64_t known_revision = this->server_revision.value_or(0);
  const std::uint64_t began_era = this->relay.store_era.current();
  const TimePoint requested_at = this->clock.Now();
  auto call = is_full ? this->store.ReadServers()
              : is_comparison
                  ? this->store.CompareServers(known_revision)
                  : this->store.WatchServers(known_revision, Duration{0});
  auto list_update = co_await std::move(call);
  if (!list_update) {
    this->RecordFailure(list_update.error(), requested_at);
    if (list_update.error().code == ErrorCode::kNotFound) {
      this->server_revision.reset();
    }
    co_return list_update.error();
  }
  this->RecordAnswer(requested_at);
  for (const auto& [id, detail] : list_update.value().unreadable) {
    this->relay.events.Record(EventId::kRelayEntryUnreadable,
                              {{"entry", id}, {"detail", detail}});
  }
  RemoveSupersededEntries(list_update.value().entries);
  if (!this->IsUsable(list_update.value().era, began_era, is_full) ||
      list_update.value().revision < this->applied_server_revision) {
    co_return false;
  }
  // RecordOwnUpdate compares the response with the list in use, which must
  // still have the revision that the response starts from.
  if (!is_full && this->applied_server_revision == known_revision) {
    this->RecordOwnUpdate(known_revision, list_update.value());
  }
  this->ApplyServers(list_update.value(), is_full);
  this->relay.configuration_freshness.RecordStoreRevision(
      list_update.value().revision);
  this->server_revision = list_update.value().revision;
  this->applied_server_revision = list_update.value().revision;
  this->server_freshness.RecordVerified(requested_at);
  if (this->on_servers_polled) {
    this->on_servers_polled();
  }
  co_return true;
}

void StoreWatcher::ApplyServers(const ServerListUpdate& list_update,
                                bool is_full) {
  const TimePoint now = this->clock.Now();
  // Entries of live servers lapse while the store is unavailable and are listed
  // again soon after its recovery.
  const auto returned_at = this->availability.ReturnedAt(now);
  const TimePoint keep_until =
      returned_at ? *returned_at + ServerDirectory::kLapseGrace : now;
  std::set<std::string, std::less<>> listed;
  for (const auto& entry : list_update.entries) {
    if (entry.record) {
      this->PutServer(*entry.record, now);
      listed.insert(entry.id);
    } else {
      this->RemoveServer(entry.id, now, entry.removed ? keep_until : now);
    }
  }
  if (is_full) {
    this->restored_servers.EndFirstList();
    for (const auto& id : this->relay.servers.Ids()) {
      if (!listed.contains(id)) {
        this->RemoveServer(id, now, keep_until);
      }
    }
  }
  this->servers_known = true;
  if (this->on_change) {
    this->on_change();
  }
}

void StoreWatcher::PutServer(ServerRecord record, TimePoint now) {
  if (!this->restored_servers.Admit(record)) {
    this->relay.events.Record(
        EventId::kRestoredEntryHeld,
        {{"server", record.id},
         {"incarnation", std::to_string(record.incarnation)},
         {"heartbeats", std::to_string(record.heartbeats)}});
    return;
  }
  const ServerPtr known = this->relay.servers.Find(record.id);
  const bool changed = known == nullptr ||
                       known->record.incarnation != record.incarnation ||
                       known->record.draining != record.draining ||
                       known->record.layers != record.layers;
  this->relay.servers.Put(record, now);
  if (changed) {
    this->relay.events.Record(
        EventId::kServerListed,
        {{"server", record.id},
         {"service", record.service},
         {"address", record.address},
         {"availability_zone", record.availability_zone},
         {"accelerator", record.accelerator},
         {"incarnation", std::to_string(record.incarnation)},
         {"draining", record.draining ? "true" : "false"},
         {"layers", std::to_string(record.layers.first) + "-" +
                        std::to_string(record.layers.end)}});
  }
}

void StoreWatcher::RemoveServer(const std::string& id, TimePoint now,
                                TimePoint keep_until) {
  if (this->relay.servers.Find(id) == nullptr) {
    return;
  }
  this->relay.servers.Remove(id, now, keep_until);
  this->relay.events.Record(
      EventId::kServerUnlisted,
      {{"server", id},
       {"may_have_lapsed", keep_until > now ? "true" : "false"},
       {"kept_ms",
        std::to_string(keep_until > now ? AgeMillis(keep_until, now) : 0)}});
}

bool StoreWatcher::HasRecentPeerReport() const {
  return this->last_peer_report_at &&
         this->clock.Now() - *this->last_peer_report_at < kPeerTimeout;
}

void StoreWatcher::RecordAnswer(TimePoint as_of) {
  const TimePoint now = this->clock.Now();
  this->backoff = Duration{0};
  this->availability.RecordAnswer(as_of, now);
  const bool was_reachable = this->reachability.is_available();
  this->reachability.RecordAnswer(as_of, now);
  if (!was_reachable && this->reachability.is_available()) {
    this->relay.events.Record(EventId::kTableAvailable, {});
  }
}

void StoreWatcher::RecordFailure(const Error& error, TimePoint began) {
  if (error.code == ErrorCode::kNotFound) {
    this->RecordAnswer(began);
    return;
  }
  this->availability.RecordFailure(began);
  const bool was_reachable = this->reachability.is_available();
  this->reachability.RecordFailure(began);
  if (was_reachable && !this->reachability.is_available()) {
    this->relay.events.Record(
        EventId::kTableUnavailable,
        {{"step", error.step}, {"peer", error.peer}, {"detail", error.detail}});
  }
}

Duration StoreWatcher::NextBackoff() {
  if (!this->HasRecentPeerReport()) {
    this->backoff = std::clamp(this->backoff * 2, kInitialBackoff, kMaxBackoff);
    return this->backoff;
  }
  const auto scaled = std::chrono::duration_cast<Duration>(
      kSharedBackoffPerProcess * this->relay.processes_in_zone);
  this->backoff =
      std::clamp(this->backoff * 2, std::max(kInitialBackoff, scaled / 4),
                 std::max(kMaxSharedBackoff, scaled));
  // Jitter keeps processes that failed together from retrying together.
  const double jitter =
      std::uniform_real_distribution<double>(0.75, 1.25)(this->relay.random);
  return std::chrono::duration_cast<Duration>(this->backoff * jitter);
}

}  // namespace qp::relay
