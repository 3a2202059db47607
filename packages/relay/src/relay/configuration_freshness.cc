#include "relay/configuration_freshness.h"

#include <algorithm>

namespace qp::relay {

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
  return this->is_verified() &&
         (this->peer_version <= version ||
          this->verified_at() >= this->peer_version_at + kMaxPeerVersionWait);
}

TimePoint TimeOfPollAnswer(TimePoint began, Duration wait, TimePoint now,
                           bool has_change) {
  return has_change ? began : std::min(began + wait, now);
}

}  // namespace qp::relay
