// How StoreWatcher keeps the configuration up to date.
#include <algorithm>
#include <random>
#include <utility>

#include "foundation/wait.h"
#include "relay/age_millis.h"
#include "relay/store_watcher.h"

namespace qp::relay {

namespace {

/// Pause after an answer that proves nothing: it shows an older state of the
/// store than an earlier answer, or a version that can't be read.
constexpr Duration kUnusableAnswerPause = std::chrono::milliseconds(500);

}  // namespace

Duration StoreWatcher::ConfigurationWait() const {
  if (!this->HasRecentPeerReport() ||
      this->relay.active_configuration == nullptr) {
    return kIsolatedConfigurationWait;
  }
  if (this->SharesConfigurationPolling()) {
    return kSharedConfigurationWait;
  }
  const auto scaled = std::chrono::duration_cast<Duration>(
      kConfigurationWaitPerProcess * this->relay.processes_in_zone);
  return std::clamp(scaled, kConfigurationWait, kMaxConfigurationWait);
}

bool StoreWatcher::SharesConfigurationPolling() const {
  return this->relay.active_configuration != nullptr &&
         this->HasRecentPeerReport() &&
         this->relay.processes_in_zone >= kMinProcessesForSharedPolling;
}

Duration StoreWatcher::CatchUpInterval() const {
  return this->SharesConfigurationPolling() ? kSharedCatchUpInterval
                                            : kCatchUpInterval;
}

Task<void> StoreWatcher::WatchConfiguration() {
  while (true) {
    if (!this->reads_configuration && this->SharesConfigurationPolling()) {
      co_await this->WaitForStaleConfiguration();
    }
    this->reads_configuration = true;
    const Duration pause = co_await this->PollConfiguration();
    if (pause > Duration{0}) {
      co_await this->WaitForRetry(pause);
    }
  }
}

Task<void> StoreWatcher::WaitForStaleConfiguration() {
  const auto jitter = std::uniform_int_distribution<Duration::rep>(
      0, kStaleJitter.count())(this->relay.random);
  while (this->SharesConfigurationPolling()) {
    const TimePoint due = this->relay.configuration_freshness.verified_at() +
                          kMaxConfigurationAge + Duration(jitter);
    const TimePoint now = this->clock.Now();
    if (now >= due) {
      co_return;
    }
    co_await SleepFor(this->clock, due - now);
  }
}

Task<Duration> StoreWatcher::PollConfiguration() {
  const bool is_watch = this->configuration_revision.has_value();
  const ConfigurationRead read = this->BeginRead("poll", !is_watch);
  const Duration wait = this->ConfigurationWait();
  auto call = is_watch ? this->store.WatchConfiguration(
                             *this->configuration_revision, wait)
                       : this->store.ReadConfiguration();
  const auto snapshot = co_await std::move(call);
  if (!snapshot) {
    this->HandleFailedRead(snapshot.error(), read);
    co_return this->NextBackoff();
  }
  const TimePoint as_of =
      is_watch ? TimeOfPollAnswer(read.began, wait, this->clock.Now(),
                                  snapshot.value().configuration != nullptr)
               : read.began;
  this->RecordAnswer(as_of);
  if (!this->AcceptConfiguration(snapshot.value(), read, as_of)) {
    co_return kUnusableAnswerPause;
  }
  if (this->SharesConfigurationPolling() && this->on_servers_polled) {
    this->on_servers_polled();
  }
  co_return Duration{0};
}

StoreWatcher::ConfigurationRead StoreWatcher::BeginRead(std::string_view cause,
                                                        bool is_full) const {
  return {this->clock.Now(),
          this->relay.configuration_freshness.store_revision(), cause,
          this->relay.store_era.current(), is_full};
}

bool StoreWatcher::IsUsable(std::uint64_t answer_era, std::uint64_t began_era,
                            bool is_full) const {
  const std::uint64_t era = this->relay.store_era.current();
  return (answer_era == 0 || answer_era == era) &&
         (is_full || began_era == era);
}

std::string StoreWatcher::WhyNotCurrent(const ConfigurationSnapshot& snapshot,
                                        const ConfigurationRead& read) const {
  const auto& active = this->relay.active_configuration;
  if (read.era == this->relay.store_era.current() &&
      snapshot.revision < read.known_revision) {
    return "the answer shows revision " + std::to_string(snapshot.revision) +
           ", but " + std::to_string(read.known_revision) +
           " was known before the call";
  }
  if (active != nullptr && this->stored_version &&
      *this->stored_version < active->configuration.version) {
    return "the store has version " + std::to_string(*this->stored_version) +
           ", but " + std::to_string(active->configuration.version) +
           " is in force";
  }
  return {};
}

void StoreWatcher::HandleFailedRead(const Error& error,
                                    const ConfigurationRead& read) {
  this->LogFailedRead(error, read);
  this->RecordFailure(error, read.began);
  if (error.code == ErrorCode::kNotFound) {
    this->configuration_revision.reset();
  }
}

bool StoreWatcher::AcceptConfiguration(const ConfigurationSnapshot& snapshot,
                                       const ConfigurationRead& read,
                                       TimePoint as_of) {
  // The era can have ended while the answer was parsed; what it shows can be
  // missing in the restored store.
  if (snapshot.era != 0 && snapshot.era != this->relay.store_era.current()) {
    this->LogFailedRead(Error{ErrorCode::kProtocol, "configuration.read", "",
                              "the answer is of an earlier era of the store"},
                        read);
    return false;
  }
  this->ApplyConfiguration(snapshot, read.cause);
  if (!this->IsUsable(snapshot.era, read.era, read.is_full)) {
    this->LogFailedRead(Error{ErrorCode::kProtocol, "configuration.compare", "",
                              "the store was restored during the call"},
                        read);
    return false;
  }
  if (!snapshot.configuration && !snapshot.unreadable.empty()) {
    // The version is read again: a later answer can be readable.
    this->configuration_revision.reset();
    return false;
  }
  // Answers to overlapping calls can arrive in another order.
  if (snapshot.revision >= this->configuration_revision.value_or(0)) {
    this->configuration_revision = snapshot.revision;
    if (snapshot.configuration) {
      this->stored_version = snapshot.configuration->configuration.version;
    } else if (read.is_full) {
      this->stored_version = 0;
    }
  }
  const std::string why = this->WhyNotCurrent(snapshot, read);
  ConfigurationFreshness& freshness = this->relay.configuration_freshness;
  freshness.RecordStoreRevision(snapshot.revision);
  if (!why.empty()) {
    this->LogFailedRead(
        Error{ErrorCode::kProtocol, "configuration.compare", "", why}, read);
    return false;
  }
  freshness.RecordVerified(as_of);
  this->UpdateConfirmed();
  return true;
}

bool StoreWatcher::HasConfiguration() const {
  const auto& active = this->relay.active_configuration;
  return active != nullptr &&
         (this->has_started || this->relay.configuration_freshness.IsConfirmed(
                                   active->configuration.version));
}

void StoreWatcher::MarkStarted() {
  this->has_started = true;
  this->relay.configuration_unconfirmed = false;
}

void StoreWatcher::UpdateConfirmed() {
  const bool unconfirmed = !this->HasConfiguration();
  const bool changed =
      unconfirmed !=
      std::exchange(this->relay.configuration_unconfirmed, unconfirmed);
  if (changed && this->on_change) {
    this->on_change();
  }
}

Task<void> StoreWatcher::KeepConfigurationCurrent() {
  return this->KeepCurrent(
      this->relay.configuration_freshness, this->configuration_comparisons,
      &StoreWatcher::has_configuration, &StoreWatcher::CompareConfiguration);
}

Task<void> StoreWatcher::CompareConfiguration() {
  Comparisons& comparisons = this->configuration_comparisons;
  const ConfigurationRead read =
      this->BeginRead("comparison", !this->configuration_revision);
  auto call =
      this->configuration_revision
          ? this->store.CompareConfiguration(*this->configuration_revision)
          : this->store.ReadConfiguration();
  ++comparisons.pending;
  std::optional<Result<ConfigurationSnapshot>> answer;
  try {
    answer = co_await std::move(call);
  } catch (...) {
    --comparisons.pending;
    throw;
  }
  --comparisons.pending;
  const Result<ConfigurationSnapshot>& snapshot = *answer;
  if (!snapshot) {
    this->HandleFailedRead(snapshot.error(), read);
    if (snapshot.error().code != ErrorCode::kNotFound) {
      this->DelayComparison(comparisons);
    }
    co_return;
  }
  this->RecordAnswer(read.began);
  if (!this->AcceptConfiguration(snapshot.value(), read, read.began)) {
    this->DelayComparison(comparisons);
    co_return;
  }
  comparisons.backoff = Duration{0};
  if (this->on_servers_polled) {
    this->on_servers_polled();
  }
}

void StoreWatcher::LogFailedRead(const Error& error,
                                 const ConfigurationRead& read) {
  this->relay.events.Record(
      EventId::kConfigurationReadFailed,
      {{"cause", std::string(read.cause)},
       {"step", error.step},
       {"detail", error.detail},
       {"waited_ms",
        std::to_string(AgeMillis(this->clock.Now(), read.began))}});
}

void StoreWatcher::RecordConfigurationState() {
  if (this->relay.active_configuration == nullptr) {
    return;
  }
  const TimePoint now = this->clock.Now();
  const std::uint64_t version =
      this->relay.active_configuration->configuration.version;
  const auto age_ms =
      AgeMillis(now, this->relay.configuration_freshness.verified_at());
  this->relay.metrics.SetGauge("quetzalpost_configuration_version",
                               static_cast<double>(version));
  this->relay.metrics.SetGauge("quetzalpost_configuration_age_seconds",
                               age_ms / 1000.0);
  this->relay.metrics.SetGauge(
      "quetzalpost_store_era",
      static_cast<double>(this->relay.store_era.current()));
  if (this->state_logged_at &&
      now - *this->state_logged_at < kStateLogInterval) {
    return;
  }
  this->state_logged_at = now;
  this->relay.events.Record(
      EventId::kConfigurationCompared,
      {{"version", std::to_string(version)},
       {"revision", std::to_string(this->configuration_revision.value_or(0))},
       {"era", std::to_string(this->relay.store_era.current())},
       {"age_ms", std::to_string(age_ms)}});
}

void StoreWatcher::ApplyConfiguration(const ConfigurationSnapshot& snapshot,
                                      std::string_view cause) {
  if (!snapshot.unreadable.empty()) {
    this->relay.events.Record(
        EventId::kRelayEntryUnreadable,
        {{"entry", "configuration"}, {"detail", snapshot.unreadable}});
  }
  if (!snapshot.configuration) {
    return;
  }
  const DeploymentConfiguration& configuration =
      snapshot.configuration->configuration;
  const auto& active_configuration = this->relay.active_configuration;
  if (active_configuration != nullptr &&
      configuration.version <= active_configuration->configuration.version) {
    return;
  }
  this->relay.active_configuration = snapshot.configuration;
  this->relay.admission.Apply(configuration);
  this->relay.events.Record(
      EventId::kConfigurationInForce,
      {{"version", std::to_string(configuration.version)},
       {"revision", std::to_string(snapshot.revision)},
       {"routes", std::to_string(configuration.routes.size())},
       {"cause", std::string(cause)}});
  if (this->on_configuration) {
    this->on_configuration();
  }
  if (this->on_change) {
    this->on_change();
  }
}

Task<void> StoreWatcher::CatchUpConfiguration() {
  const ConfigurationRead read = this->BeginRead("peer_report", true);
  const auto snapshot = co_await this->store.ReadConfiguration();
  if (!snapshot) {
    this->HandleFailedRead(snapshot.error(), read);
    co_return;
  }
  this->RecordAnswer(read.began);
  this->AcceptConfiguration(snapshot.value(), read, read.began);
}

}  // namespace qp::relay
