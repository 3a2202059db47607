#include "relay/store_follower.h"

#include <algorithm>
#include <set>
#include <utility>

#include "foundation/wait.h"

namespace qp::relay {

StoreFollower::StoreFollower(Relay& shared, Clock& time,
                             DeploymentStore& source)
    : relay(shared), clock(time), store(source) {}

Task<Result<ConfigurationPage>> StoreFollower::NextConfiguration(
    std::optional<std::uint64_t> revision) {
  return revision ? this->store.FollowConfiguration(*revision,
                                                    kConfigurationWait)
                  : this->store.ReadConfiguration();
}

Task<Result<ServerPage>> StoreFollower::NextServers(
    std::optional<std::uint64_t> revision) {
  return revision ? this->store.FollowServers(*revision, kServerWait)
                  : this->store.ReadServers();
}

Task<void> StoreFollower::FollowConfiguration() {
  std::optional<std::uint64_t> revision;
  Duration pause{};
  while (true) {
    co_await this->ConfigurationStep(revision, pause);
    if (pause > Duration{0}) {
      co_await SleepFor(this->clock, pause);
    }
  }
}

Task<void> StoreFollower::ConfigurationStep(
    std::optional<std::uint64_t>& revision, Duration& pause) {
  auto page = co_await this->NextConfiguration(revision);
  if (!page) {
    pause = this->NoteFailure(page.error(), pause);
    if (page.error().code == ErrorCode::kNotFound) {
      revision.reset();
    }
    co_return;
  }
  this->NoteAnswer();
  this->TakeConfiguration(page.value());
  // Before the first configuration a whole read tells more than the feed.
  if (this->relay.in_force != nullptr) {
    revision = page.value().revision;
    pause = Duration{0};
  } else {
    pause = kFirstPause;
  }
}

void StoreFollower::TakeConfiguration(const ConfigurationPage& page) {
  if (!page.unreadable.empty()) {
    this->relay.events.Record(EventId::kRelayEntryUnreadable,
                              {{"entry", "configuration"},
                               {"detail", page.unreadable}});
  }
  if (!page.configuration) {
    return;
  }
  const auto& in_force = this->relay.in_force;
  if (in_force != nullptr &&
      page.configuration->version <= in_force->configuration.version) {
    return;
  }
  this->relay.in_force =
      std::make_shared<const ConfigurationInForce>(*page.configuration);
  this->relay.events.Record(
      EventId::kConfigurationInForce,
      {{"version", std::to_string(page.configuration->version)},
       {"revision", std::to_string(page.revision)},
       {"routes", std::to_string(page.configuration->routes.size())}});
  if (this->on_change) {
    this->on_change();
  }
}

Task<void> StoreFollower::FollowServers() {
  std::optional<std::uint64_t> revision;
  Duration pause{};
  while (true) {
    co_await this->ServerStep(revision, pause);
    co_await SleepFor(this->clock, pause);
  }
}

Task<void> StoreFollower::ServerStep(std::optional<std::uint64_t>& revision,
                                     Duration& pause) {
  const bool whole = !revision.has_value();
  auto page = co_await this->NextServers(revision);
  if (!page) {
    pause = this->NoteFailure(page.error(), pause);
    if (page.error().code == ErrorCode::kNotFound) {
      revision.reset();
    }
    co_return;
  }
  this->NoteAnswer();
  pause = kServerPause;
  if (whole && page.value().revision < this->newest_servers) {
    co_return;  // Older than what is in use; read again.
  }
  this->TakeServers(page.value(), whole);
  revision = page.value().revision;
  this->newest_servers = page.value().revision;
}

void StoreFollower::TakeServers(const ServerPage& page, bool whole) {
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

void StoreFollower::List(const ServerRecord& record, TimePoint now) {
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

void StoreFollower::Unlist(const std::string& id, TimePoint now,
                           TimePoint keep_until) {
  if (this->relay.servers.Find(id) == nullptr) {
    return;
  }
  this->relay.servers.Remove(id, now, keep_until);
  this->relay.events.Record(
      EventId::kServerUnlisted,
      {{"server", id}, {"may_have_lapsed", keep_until > now ? "true" : "false"}});
}

void StoreFollower::NoteAnswer() {
  if (!std::exchange(this->available, true)) {
    this->relay.events.Record(EventId::kTableAvailable, {});
  }
}

Duration StoreFollower::NoteFailure(const Error& error, Duration pause) {
  if (error.code != ErrorCode::kNotFound) {
    this->disturbed_at = this->clock.Now();
    if (std::exchange(this->available, false)) {
      this->relay.events.Record(
          EventId::kTableUnavailable,
          {{"step", error.step}, {"peer", error.peer}, {"detail", error.detail}});
    }
  }
  return std::clamp(pause * 2, kFirstPause, kLongestPause);
}

}  // namespace qp::relay
