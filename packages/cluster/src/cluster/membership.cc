#include "cluster/membership.h"

#include <algorithm>

#include "cluster/size_estimate.h"

namespace qp {

namespace {

constexpr Duration kAgeUnit = std::chrono::milliseconds(100);

std::uint32_t ToAgeUnits(Duration age, std::uint32_t limit) {
  // Rounded up, so that an age does not shrink when it is relayed.
  const auto units =
      (std::max(age, Duration(0)) + kAgeUnit - Duration(1)) / kAgeUnit;
  return static_cast<std::uint32_t>(
      std::min<std::int64_t>(units, static_cast<std::int64_t>(limit)));
}

std::uint32_t VersionLag(std::uint64_t own, std::uint64_t other) {
  const std::uint64_t lag = own > other ? own - other : 0;
  return static_cast<std::uint32_t>(
      std::min<std::uint64_t>(lag, MemberEntry::kMaxLag));
}

std::uint64_t VersionFromLag(std::uint64_t own, std::uint32_t lag) {
  return lag >= MemberEntry::kMaxLag || lag > own ? 0 : own - lag;
}

}  // namespace

bool IsPresent(MemberState state) {
  return state == MemberState::kAlive || state == MemberState::kSuspect;
}

Membership::Membership(NodeIdentity self_identity, EventSink& sink)
    : identity(std::move(self_identity)), events(sink) {}

bool Membership::ApplyDetail(const MemberDetail& detail, TimePoint now) {
  if (detail.node == this->identity.node || detail.node.empty()) {
    return false;
  }
  const NameHash node = HashName(detail.node);
  const auto found = this->members.find(node);
  if (found != this->members.end() &&
      found->second.identity.incarnation >= detail.incarnation) {
    return false;
  }
  MemberRecord record;
  record.identity = {detail.node, detail.address, detail.region,
                     detail.availability_zone, detail.incarnation};
  record.heard_at = now;
  if (found != this->members.end()) {
    record.urgent_revision = found->second.urgent_revision + 1;
  }
  this->members[node] = std::move(record);
  ++this->present_revision;
  this->events.Record(EventId::kMemberJoined,
                      {{"member", detail.node},
                       {"address", detail.address},
                       {"incarnation", std::to_string(detail.incarnation)}});
  return true;
}

void Membership::ApplyDirectHeartbeat(NameHash node, std::uint32_t heartbeat,
                                      const AnnouncedVersions& versions,
                                      std::optional<TimePoint> exchanged_at,
                                      TimePoint now) {
  const auto found = this->members.find(node);
  if (found == this->members.end()) {
    return;
  }
  MemberRecord& record = found->second;
  if (exchanged_at) {
    record.exchanged_at =
        std::max(record.exchanged_at.value_or(*exchanged_at), *exchanged_at);
  }
  this->RecordAcknowledgement(node, versions);
  if (heartbeat <= record.heartbeat) {
    return;
  }
  record.heartbeat = heartbeat;
  record.heard_at = now;
  if (record.suspected) {
    record.suspected = false;
    this->MarkUrgent(record);
  }
}

bool Membership::ApplyRelayedEntry(const MemberEntry& entry,
                                   const AnnouncedVersions& relay,
                                   std::optional<TimePoint> relay_exchanged_at,
                                   TimePoint now) {
  const auto found = this->members.find(entry.node);
  if (found == this->members.end()) {
    return false;
  }
  MemberRecord& record = found->second;
  const auto incarnation_bits =
      static_cast<std::uint8_t>(record.identity.incarnation);
  if (incarnation_bits != entry.incarnation) {
    // Either daemon can know the older incarnation; the details show which one
    // it is.
    return false;
  }
  if (entry.flag == MemberEntry::Flag::kLeft) {
    this->MarkLeft(entry.node, record.identity.incarnation);
    return true;
  }
  const TimePoint heard_at = now - entry.heard_age * kAgeUnit;
  if (relay_exchanged_at && entry.exchange_age < MemberEntry::kMaxExchangeAge) {
    const TimePoint exchanged_after =
        *relay_exchanged_at - entry.exchange_age * kAgeUnit;
    record.exchanged_at = std::max(
        record.exchanged_at.value_or(exchanged_after), exchanged_after);
  }
  this->RecordAcknowledgement(
      entry.node, {VersionFromLag(relay.configuration, entry.configuration_lag),
                   VersionFromLag(relay.generation, entry.generation_lag)});
  if (entry.flag == MemberEntry::Flag::kSuspect) {
    ApplySuspicion(entry, heard_at, record);
  } else {
    ApplyHeartbeat(entry, heard_at, record);
  }
  return true;
}

void Membership::MarkLeft(NameHash node, std::uint64_t incarnation) {
  const auto found = this->members.find(node);
  if (found == this->members.end() || found->second.left ||
      found->second.identity.incarnation != incarnation) {
    return;
  }
  found->second.left = true;
  this->MarkUrgent(found->second);
  this->SetState(found->second, MemberState::kLeaving);
}

void Membership::RecordAcknowledgement(NameHash node,
                                       const AnnouncedVersions& versions) {
  const auto found = this->members.find(node);
  if (found == this->members.end()) {
    return;
  }
  MemberRecord& record = found->second;
  record.configuration_version =
      std::max(record.configuration_version, versions.configuration);
  record.generation = std::max(record.generation, versions.generation);
}

void Membership::Expire(
    const std::unordered_map<NameHash, TimePoint>& neighbours, TimePoint now) {
  for (auto at = this->members.begin(); at != this->members.end();) {
    auto& [node, record] = *at;
    const auto neighbour = neighbours.find(node);
    const bool direct = neighbour != neighbours.end();
    // A new neighbour is reported only after it has had time to send a
    // heartbeat, so its silence is measured from when it became a neighbour.
    const TimePoint heard_at =
        direct && !record.suspected
            ? std::max(record.heard_at, neighbour->second)
            : record.heard_at;
    if (direct && !record.suspected && !record.left &&
        now >= heard_at + kReportAfter) {
      record.suspected = true;
      record.heard_at = heard_at;
      this->MarkUrgent(record);
    }
    this->SetState(record, this->ComputeState(record, direct, heard_at, now));
    if (!IsPresent(record.state) && now >= record.heard_at + kRetention) {
      at = this->members.erase(at);
    } else {
      ++at;
    }
  }
}

MemberEntry Membership::EntryFor(NameHash node, const MemberRecord& record,
                                 const AnnouncedVersions& own, TimePoint now) {
  MemberEntry entry;
  entry.node = node;
  entry.heartbeat = record.heartbeat;
  entry.incarnation = static_cast<std::uint8_t>(record.identity.incarnation);
  if (record.left) {
    entry.flag = MemberEntry::Flag::kLeft;
  } else if (record.suspected) {
    entry.flag = MemberEntry::Flag::kSuspect;
  }
  entry.configuration_lag =
      VersionLag(own.configuration, record.configuration_version);
  entry.generation_lag = VersionLag(own.generation, record.generation);
  entry.heard_age =
      ToAgeUnits(now - record.heard_at, MemberEntry::kMaxHeardAge);
  // A receiver is confirmed only by members whose exact versions it knows, so
  // no bound is sent if the lags cannot state the versions exactly.
  const bool exact = entry.configuration_lag < MemberEntry::kMaxLag &&
                     entry.generation_lag < MemberEntry::kMaxLag &&
                     record.configuration_version <= own.configuration &&
                     record.generation <= own.generation;
  entry.exchange_age =
      record.exchanged_at && exact
          ? ToAgeUnits(now - *record.exchanged_at, MemberEntry::kMaxExchangeAge)
          : MemberEntry::kMaxExchangeAge;
  return entry;
}

const MemberRecord* Membership::Find(NameHash node) const {
  const auto found = this->members.find(node);
  return found == this->members.end() ? nullptr : &found->second;
}

const MemberRecord* Membership::FindByName(std::string_view node) const {
  const MemberRecord* record = this->Find(HashName(node));
  return record != nullptr && record->identity.node == node ? record : nullptr;
}

MembersView Membership::View() const {
  MembersView view;
  view.members.reserve(this->members.size());
  for (const auto& [node, record] : this->members) {
    Member member;
    member.node = record.identity.node;
    member.peer_address = record.identity.peer_address;
    member.region = record.identity.region;
    member.availability_zone = record.identity.availability_zone;
    member.incarnation = record.identity.incarnation;
    member.state = record.state;
    member.configuration_version = record.configuration_version;
    member.heartbeat = record.heartbeat;
    member.heard_at = record.heard_at;
    view.members.push_back(std::move(member));
  }
  std::sort(view.members.begin(), view.members.end(),
            [](const Member& left, const Member& right) {
              return left.node < right.node;
            });
  return view;
}

std::size_t Membership::EstimateStateBytes() const {
  std::size_t bytes = 0;
  for (const auto& [node, record] : this->members) {
    bytes += detail::kHashNodeBytes + sizeof(node) + sizeof(record);
    bytes += record.identity.node.capacity() +
             record.identity.peer_address.capacity() +
             record.identity.region.capacity() +
             record.identity.availability_zone.capacity();
  }
  return bytes;
}

void Membership::MarkUrgent(MemberRecord& record) {
  ++record.urgent_revision;
  ++this->urgent_changes;
}

void Membership::ApplySuspicion(const MemberEntry& entry, TimePoint heard_at,
                                MemberRecord& record) {
  if (entry.heartbeat < record.heartbeat) {
    return;
  }
  if (!record.suspected) {
    record.suspected = true;
    this->MarkUrgent(record);
  }
  if (entry.heartbeat > record.heartbeat ||
      entry.heard_age < MemberEntry::kMaxHeardAge) {
    record.heard_at = heard_at;
  }
  record.heartbeat = entry.heartbeat;
}

void Membership::ApplyHeartbeat(const MemberEntry& entry, TimePoint heard_at,
                                MemberRecord& record) {
  if (entry.heartbeat <= record.heartbeat) {
    return;
  }
  record.heartbeat = entry.heartbeat;
  record.heard_at = std::max(record.heard_at, heard_at);
  if (record.suspected) {
    record.suspected = false;
    this->MarkUrgent(record);
  }
}

void Membership::SetState(MemberRecord& record, MemberState state) {
  if (record.state == state) {
    return;
  }
  if (IsPresent(record.state) != IsPresent(state)) {
    ++this->present_revision;
  }
  record.state = state;
  if (state == MemberState::kSuspect) {
    this->events.Record(EventId::kMemberSuspected,
                        {{"member", record.identity.node}});
  } else if (state == MemberState::kGone) {
    this->events.Record(EventId::kMemberLost,
                        {{"member", record.identity.node}});
  }
}

MemberState Membership::ComputeState(const MemberRecord& record, bool neighbour,
                                     TimePoint heard_at, TimePoint now) const {
  if (record.left) {
    return MemberState::kLeaving;
  }
  const bool reported = neighbour || record.suspected;
  if (now >= heard_at + (reported ? kGoneAfter : kUnreportedGoneAfter)) {
    return MemberState::kGone;
  }
  if (now >= heard_at + kSuspectAfter && reported) {
    return MemberState::kSuspect;
  }
  return MemberState::kAlive;
}

}  // namespace qp
