#include "relay/configuration_freshness.h"

#include <algorithm>
#include <chrono>

namespace qp::relay {

namespace {

Duration ShareOf(Duration bound, double share) {
  return std::chrono::duration_cast<Duration>(bound * share);
}

}  // namespace

TimePoint ConfigurationFreshness::ComparisonDue(double jitter) const {
  return this->last_verified_at +
         ShareOf(this->bound, kMaxAgeShare + kJitterShare * jitter);
}

Duration ConfigurationFreshness::RetryInterval() const {
  return ShareOf(this->bound, kRetryShare);
}

void ConfigurationFreshness::RecordVerified(TimePoint as_of) {
  this->has_verified = true;
  this->last_verified_at = std::max(this->last_verified_at, as_of);
}

void ConfigurationFreshness::RecordStoreRevision(std::uint64_t revision) {
  this->newest_revision = std::max(this->newest_revision, revision);
}

void ConfigurationFreshness::RecordPeerVersion(std::uint64_t version,
                                               TimePoint now) {
  if (version > this->peer_version) {
    this->peer_version = version;
    this->peer_version_at = now;
  }
}

bool ConfigurationFreshness::IsConfirmed(std::uint64_t version) const {
  return this->has_verified && (this->peer_version <= version ||
                                this->last_verified_at > this->peer_version_at);
}

TimePoint TimeOfPollAnswer(TimePoint began, Duration wait, TimePoint now,
                           bool has_change) {
  return has_change ? began : std::min(began + wait, now);
}

}  // namespace qp::relay
