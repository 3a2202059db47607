// What StoreWatcher tells its peers of the store, and takes over from them.
#include <algorithm>
#include <utility>

#include "foundation/spawn.h"
#include "relay/age_millis.h"
#include "relay/store_watcher.h"

namespace qp::relay {

bool StoreWatcher::IsChange(const ServerEntry& entry) const {
  const ServerPtr known = this->relay.servers.Find(entry.id);
  if (this->restored_servers.IsJudged(entry.id)) {
    return true;  // The peer can have taken an older state from the copy.
  }
  if (known == nullptr) {
    return entry.record.has_value();
  }
  // A peer can have removed a lapsed entry that is listed again unchanged.
  return !entry.record || *entry.record != known->record ||
         this->relay.servers.IsLapsing(entry.id);
}

void StoreWatcher::RecordOwnUpdate(std::uint64_t from,
                                   const ServerListUpdate& list_update) {
  const TimePoint now = this->clock.Now();
  std::erase_if(this->own_updates, [now](const auto& kept) {
    return now - kept.first > kUpdateRepeatTime;
  });
  ServerUpdate update;
  update.from = from;
  update.to = list_update.revision;
  for (const auto& entry : list_update.entries) {
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
  report.configuration_age_ms =
      AgeMillis(now, this->relay.configuration_freshness.verified_at());
  report.reads_configuration = this->reads_configuration;
  report.store_era = this->relay.store_era.current();
  report.server_revision = this->applied_server_revision;
  report.server_age_ms = AgeMillis(now, this->server_freshness.verified_at());
  for (const auto& [at, update] : this->own_updates) {
    if (now - at <= kUpdateRepeatTime) {
      report.updates.push_back(update);
    }
  }
}

void StoreWatcher::ApplyReport(const LoadReport& report) {
  const TimePoint now = this->clock.Now();
  this->last_peer_report_at = now;
  const TimePoint read_store_at =
      now - std::chrono::milliseconds(report.server_age_ms);
  this->peer_read_store_at = std::max(this->peer_read_store_at, read_store_at);
  this->availability.RecordAnswer(read_store_at, now);
  const auto version =
      this->relay.active_configuration == nullptr
          ? 0
          : this->relay.active_configuration->configuration.version;
  ConfigurationFreshness& freshness = this->relay.configuration_freshness;
  freshness.RecordPeerVersion(report.configuration_version, now);
  const bool same_era = report.store_era == this->relay.store_era.current();
  // A peer's newer era is not trusted but read from the store.
  if ((report.configuration_version > version ||
       report.store_era > this->relay.store_era.current()) &&
      (!this->last_catch_up_at ||
       now - *this->last_catch_up_at >= this->CatchUpInterval())) {
    this->last_catch_up_at = now;
    Spawn(this->relay.io, "configuration.catch_up",
          this->CatchUpConfiguration());
  }
  if (same_era && version != 0 && report.configuration_version == version) {
    freshness.RecordVerified(
        now - std::chrono::milliseconds(report.configuration_age_ms));
  }
  this->UpdateConfirmed();
  // If several processes of the zone poll the configuration, only the one with
  // the smallest name continues.
  if (report.reads_configuration && report.node < this->node &&
      report.availability_zone == this->relay.availability_zone) {
    this->reads_configuration = false;
  }
  if (!this->server_revision || !same_era) {
    return;
  }
  for (const auto& update : report.updates) {
    this->ApplyUpdate(update);
  }
  if (report.server_revision == this->applied_server_revision) {
    this->server_freshness.RecordVerified(
        now - std::chrono::milliseconds(report.server_age_ms));
  }
}

void StoreWatcher::ApplyUpdate(const ServerUpdate& update) {
  const bool follows = update.from <= this->applied_server_revision;
  if (!follows || update.to <= this->applied_server_revision) {
    return;
  }
  ServerListUpdate list_update;
  list_update.revision = update.to;
  list_update.entries = update.entries;
  this->ApplyServers(list_update, false);
  this->applied_server_revision = update.to;
  this->server_revision = update.to;
}

}  // namespace qp::relay
