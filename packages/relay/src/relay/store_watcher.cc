#include "relay/store_watcher.h"

#include <algorithm>
#include <random>
#include <set>
#include <utility>

#include "foundation/wait.h"

namespace qp::relay {

namespace {

/// Leaves the last entry of each server. One page can list a server and remove
/// it again, and what is told to peers is compared with the state before.
void KeepLatest(std::vector<ServerEntry>& entries) {
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

/// Age of what was true at `since`, as reports give it.
std::uint32_t AgeMillis(TimePoint now, TimePoint since) {
  const Duration age = std::min<Duration>(now - since, std::chrono::hours(1));
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(age).count());
}

}  // namespace

StoreWatcher::StoreWatcher(RelayContext& shared, Clock& time,
                           DeploymentStore& source)
    : relay(shared), clock(time), store(source) {}

Task<Result<ConfigurationSnapshot>> StoreWatcher::NextConfiguration() {
  return this->configuration_revision
             ? this->store.WatchConfiguration(*this->configuration_revision,
                                              this->ConfigurationWait())
             : this->store.ReadConfiguration();
}

Duration StoreWatcher::ConfigurationWait() const {
  if (!this->HearsPeers() || this->relay.active_configuration == nullptr) {
    return kLoneConfigurationWait;
  }
  if (this->SharesConfiguration()) {
    return kSharedConfigurationWait;
  }
  const auto shared = std::chrono::duration_cast<Duration>(
      kConfigurationWaitPerProcess * this->relay.processes_in_zone);
  return std::clamp(shared, kConfigurationWait, kMaxConfigurationWait);
}

bool StoreWatcher::SharesConfiguration() const {
  return this->relay.active_configuration != nullptr && this->HearsPeers() &&
         this->relay.processes_in_zone >= kSharingProcesses;
}

Duration StoreWatcher::CatchUpPause() const {
  return this->SharesConfiguration() ? kSharedCatchUpPause : kCatchUpPause;
}

Task<Result<ServerListUpdate>> StoreWatcher::NextServers() {
  return this->server_revision
             ? this->store.WatchServers(*this->server_revision, Duration{0})
             : this->store.ReadServers();
}

Task<void> StoreWatcher::WatchConfiguration() {
  while (true) {
    if (!this->reads_configuration && this->SharesConfiguration()) {
      co_await this->WaitForStaleConfiguration();
    }
    this->reads_configuration = true;
    const Duration pause = co_await this->PollConfiguration();
    if (pause > Duration{0}) {
      co_await this->WaitForReturn(pause);
    }
  }
}

Task<void> StoreWatcher::WaitForStaleConfiguration() {
  const auto spread = std::uniform_int_distribution<Duration::rep>(
      0, kStaleJitter.count())(this->relay.random);
  while (this->SharesConfiguration()) {
    const TimePoint due =
        this->configuration_true_at + kStaleConfiguration + Duration(spread);
    const TimePoint now = this->clock.Now();
    if (now >= due) {
      co_return;
    }
    co_await SleepFor(this->clock, due - now);
  }
}

Task<Duration> StoreWatcher::PollConfiguration() {
  const auto page = co_await this->NextConfiguration();
  if (!page) {
    if (page.error().code == ErrorCode::kNotFound) {
      this->configuration_revision.reset();
    }
    co_return this->RecordFailure(page.error());
  }
  this->RecordSuccess();
  this->ApplyConfiguration(page.value());
  this->configuration_revision = page.value().revision;
  // The store answers as soon as there is something to tell.
  this->configuration_true_at = this->clock.Now();
  if (this->SharesConfiguration() && this->on_servers_polled) {
    this->on_servers_polled();
  }
  co_return Duration{0};
}

void StoreWatcher::ApplyConfiguration(const ConfigurationSnapshot& page) {
  if (!page.unreadable.empty()) {
    this->relay.events.Record(
        EventId::kRelayEntryUnreadable,
        {{"entry", "configuration"}, {"detail", page.unreadable}});
  }
  if (!page.configuration) {
    return;
  }
  const auto& active_configuration = this->relay.active_configuration;
  if (active_configuration != nullptr &&
      page.configuration->version <=
          active_configuration->configuration.version) {
    return;
  }
  this->relay.active_configuration =
      std::make_shared<const ActiveConfiguration>(*page.configuration);
  this->relay.events.Record(
      EventId::kConfigurationInForce,
      {{"version", std::to_string(page.configuration->version)},
       {"revision", std::to_string(page.revision)},
       {"routes", std::to_string(page.configuration->routes.size())}});
  if (this->on_change) {
    this->on_change();
  }
}

Task<void> StoreWatcher::WatchServers() {
  while (true) {
    const Duration pause = co_await this->PollServers();
    const bool failed = this->failure_pause > Duration{0};
    if (failed || !this->servers_known) {
      co_await this->WaitForReturn(std::max(pause, kInitialBackoff));
    }
    if (this->servers_known) {
      co_await this->WaitForStaleServers(failed ? kServerPollInterval : pause);
    }
  }
}

Task<void> StoreWatcher::WaitForReturn(Duration pause) {
  const TimePoint began = this->clock.Now();
  while (true) {
    const bool answers = this->peer_answered_at > began;
    const TimePoint due =
        began + (answers ? std::min(pause, kReturnPause) : pause);
    const TimePoint now = this->clock.Now();
    if (now >= due) {
      co_return;
    }
    co_await SleepFor(this->clock, std::min(due - now, kReturnCheck));
  }
}

Task<void> StoreWatcher::WaitForStaleServers(Duration age) {
  // Each look of a peer moves the time of the next own look.
  while (true) {
    const TimePoint due = this->servers_true_at + age;
    const TimePoint now = this->clock.Now();
    if (now >= due) {
      co_return;
    }
    co_await SleepFor(this->clock, due - now);
  }
}

Task<void> StoreWatcher::CatchUpConfiguration() {
  const auto page = co_await this->store.ReadConfiguration();
  if (page) {
    this->ApplyConfiguration(page.value());
    this->configuration_true_at = this->clock.Now();
    this->configuration_revision = std::max(
        this->configuration_revision.value_or(0), page.value().revision);
  }
}

Task<Duration> StoreWatcher::PollServers() {
  const bool whole = !this->server_revision.has_value();
  const std::uint64_t asked_from = this->server_revision.value_or(0);
  const TimePoint asked_at = this->clock.Now();
  auto page = co_await this->NextServers();
  if (!page) {
    if (page.error().code == ErrorCode::kNotFound) {
      this->server_revision.reset();
    }
    co_return this->RecordFailure(page.error());
  }
  this->RecordSuccess();
  KeepLatest(page.value().entries);
  const Duration pause = kServerPollInterval +
                         Duration(std::uniform_int_distribution<Duration::rep>(
                             0, kServerPollJitter.count())(this->relay.random));
  if (page.value().revision < this->newest_servers) {
    // Older than what is in use, which a peer may have told of meanwhile.
    co_await SleepFor(this->clock, kServerPollInterval);
    co_return pause;
  }
  if (!whole && this->newest_servers == asked_from) {
    this->KeepUpdate(asked_from, page.value());
  }
  this->ApplyServers(page.value(), whole);
  this->server_revision = page.value().revision;
  this->newest_servers = page.value().revision;
  this->servers_true_at = asked_at;
  if (this->on_servers_polled) {
    this->on_servers_polled();
  }
  co_return pause;
}

bool StoreWatcher::IsChange(const ServerEntry& entry) const {
  const ServerPtr known = this->relay.servers.Find(entry.id);
  return known == nullptr ? entry.record.has_value()
                          : !entry.record || *entry.record != known->record;
}

void StoreWatcher::KeepUpdate(std::uint64_t from,
                              const ServerListUpdate& page) {
  const TimePoint now = this->clock.Now();
  std::erase_if(this->own_updates, [now](const auto& kept) {
    return now - kept.first > kUpdateRepeatTime;
  });
  ServerUpdate update;
  update.from = from;
  update.to = page.revision;
  for (const auto& entry : page.entries) {
    if (this->IsChange(entry)) {
      update.entries.push_back(entry);
    }
  }
  this->own_updates.emplace_back(now, std::move(update));
}

void StoreWatcher::FillReport(LoadReport& report) {
  const TimePoint now = this->clock.Now();
  if (this->relay.active_configuration != nullptr) {
    report.configuration_version =
        this->relay.active_configuration->configuration.version;
  }
  this->node = report.node;
  report.configuration_age_ms = AgeMillis(now, this->configuration_true_at);
  report.reads_configuration = this->reads_configuration;
  report.server_revision = this->newest_servers;
  report.server_age_ms = AgeMillis(now, this->servers_true_at);
  for (const auto& [at, update] : this->own_updates) {
    if (now - at <= kUpdateRepeatTime) {
      report.updates.push_back(update);
    }
  }
}

void StoreWatcher::ApplyReport(const LoadReport& report) {
  const TimePoint now = this->clock.Now();
  this->peer_heard_at = now;
  this->peer_answered_at =
      std::max(this->peer_answered_at,
               now - std::chrono::milliseconds(report.server_age_ms));
  const auto version =
      this->relay.active_configuration == nullptr
          ? 0
          : this->relay.active_configuration->configuration.version;
  if (report.configuration_version > version &&
      (!this->caught_up_at ||
       now - *this->caught_up_at >= this->CatchUpPause())) {
    this->caught_up_at = now;
    asio::co_spawn(this->relay.io, this->CatchUpConfiguration(),
                   asio::detached);
  }
  if (report.configuration_version == version) {
    this->configuration_true_at =
        std::max(this->configuration_true_at,
                 now - std::chrono::milliseconds(report.configuration_age_ms));
  }
  if (report.reads_configuration && report.node < this->node &&
      report.availability_zone == this->relay.availability_zone) {
    this->reads_configuration = false;
  }
  if (!this->server_revision) {
    return;
  }
  for (const auto& update : report.updates) {
    this->ApplyUpdate(update);
  }
  if (report.server_revision == this->newest_servers) {
    const TimePoint true_at =
        now - std::chrono::milliseconds(report.server_age_ms);
    this->servers_true_at = std::max(this->servers_true_at, true_at);
  }
}

void StoreWatcher::ApplyUpdate(const ServerUpdate& update) {
  const bool follows = update.from <= this->newest_servers;
  if (!follows || update.to <= this->newest_servers) {
    return;
  }
  ServerListUpdate page;
  page.revision = update.to;
  page.entries = update.entries;
  this->ApplyServers(page, false);
  this->newest_servers = update.to;
  this->server_revision = update.to;
}

void StoreWatcher::ApplyServers(const ServerListUpdate& page, bool whole) {
  const TimePoint now = this->clock.Now();
  // Entries lapse while the store is away and return soon after it.
  const TimePoint keep_until =
      this->disturbed_at ? *this->disturbed_at + ServerDirectory::kLapseGrace
                         : now;
  std::set<std::string, std::less<>> listed;
  for (const auto& entry : page.entries) {
    if (entry.record) {
      this->List(*entry.record, now);
      listed.insert(entry.id);
    } else {
      this->Unlist(entry.id, now, entry.removed ? keep_until : now);
    }
  }
  if (whole) {
    for (const auto& id : this->relay.servers.Ids()) {
      if (!listed.contains(id)) {
        this->Unlist(id, now, keep_until);
      }
    }
  }
  this->servers_known = true;
  if (this->on_change) {
    this->on_change();
  }
}

void StoreWatcher::List(const ServerRecord& record, TimePoint now) {
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

void StoreWatcher::Unlist(const std::string& id, TimePoint now,
                          TimePoint keep_until) {
  if (this->relay.servers.Find(id) == nullptr) {
    return;
  }
  this->relay.servers.Remove(id, now, keep_until);
  this->relay.events.Record(
      EventId::kServerUnlisted,
      {{"server", id},
       {"may_have_lapsed", keep_until > now ? "true" : "false"}});
}

bool StoreWatcher::HearsPeers() const {
  return this->peer_heard_at &&
         this->clock.Now() - *this->peer_heard_at < kPeerSilence;
}

void StoreWatcher::RecordSuccess() {
  this->failure_pause = Duration{0};
  if (!std::exchange(this->available, true)) {
    this->relay.events.Record(EventId::kTableAvailable, {});
  }
}

Duration StoreWatcher::RecordFailure(const Error& error) {
  if (error.code != ErrorCode::kNotFound) {
    this->disturbed_at = this->clock.Now();
    if (std::exchange(this->available, false)) {
      this->relay.events.Record(EventId::kTableUnavailable,
                                {{"step", error.step},
                                 {"peer", error.peer},
                                 {"detail", error.detail}});
    }
  }
  if (!this->HearsPeers()) {
    this->failure_pause =
        std::clamp(this->failure_pause * 2, kInitialBackoff, kMaxBackoff);
    return this->failure_pause;
  }
  const auto shared = std::chrono::duration_cast<Duration>(
      kSharedBackoffPerProcess * this->relay.processes_in_zone);
  this->failure_pause =
      std::clamp(this->failure_pause * 2, std::max(kInitialBackoff, shared / 4),
                 std::max(kMaxSharedBackoff, shared));
  // Spread, so that processes that failed together don't ask together.
  const double spread =
      std::uniform_real_distribution<double>(0.75, 1.25)(this->relay.random);
  return std::chrono::duration_cast<Duration>(this->failure_pause * spread);
}

}  // namespace qp::relay
