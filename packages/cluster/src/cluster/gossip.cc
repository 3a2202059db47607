#include "cluster/gossip.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "cluster/overlay.h"
#include "cluster/size_estimate.h"

namespace qp {

namespace {

/// Number of times that an urgent update is sent again, since messages can be
/// lost.
constexpr std::uint8_t kUrgentResends = 2;
/// Without a full mesh, an entry for a member is sent to a peer when the
/// member's heartbeat has advanced to the next multiple of this number (every 5
/// s). Including the time in transit, the median age stays below the
/// confirmation period; 380 members x 12 bytes x 4 links / 5 s = 3.6 KB/s.
constexpr std::uint32_t kHeartbeatsPerRelay = 10;
/// In a full mesh, observers send their observations to all peers themselves. A
/// daemon that has not published an observation of a backend server for this
/// time relays only details that the peer lacks.
constexpr Duration kMaxOwnObservationAge = std::chrono::seconds(5);
constexpr Duration kMeshObservationInterval = std::chrono::seconds(2);
constexpr Duration kMediumObservationInterval = std::chrono::seconds(5);
constexpr Duration kLargeObservationInterval = std::chrono::seconds(8);
constexpr std::size_t kMaxMediumClusterNodes = 128;
constexpr std::size_t kEntryBytes = 12;            // Size on the wire.
constexpr std::size_t kEstimatedDetailBytes = 80;  // Details of one name.
constexpr std::size_t kDigestOverheadBytes = 90;   // Header and fixed fields.
/// Maximum number of names whose details a digest requests, of requested
/// details in a digest, and of requests stored for a peer.
constexpr std::size_t kMaxNamesPerDigest = 64;
constexpr std::uint64_t kRoundsPerProbe = 2;
constexpr std::size_t kRoundsPerSecond =
    std::chrono::seconds(1) / Gossip::kRoundInterval;
constexpr Duration kPeerRetention = std::chrono::seconds(30);

/// Compares sequence numbers, which wrap around. A `previous` of 0 means that
/// no number has been received.
bool IsNewer(std::uint32_t sequence, std::uint32_t previous) {
  return previous == 0 || static_cast<std::int32_t>(sequence - previous) > 0;
}

MemberDetail DetailOf(const NodeIdentity& identity) {
  return {identity.node, identity.peer_address, identity.region,
          identity.availability_zone, identity.incarnation};
}

}  // namespace

Gossip::Gossip(Membership& member_records,
               ObservationGossip& observation_records,
               std::vector<std::string> seed_addresses,
               std::uint64_t random_seed)
    : membership(member_records),
      observations(observation_records),
      seeds(std::move(seed_addresses)),
      random(random_seed),
      first_sequence(static_cast<std::uint32_t>(this->random() >> 33U)) {}

void Gossip::SetContacts(std::vector<std::string> addresses) {
  this->contacts = std::move(addresses);
}

void Gossip::Tick(const LocalUpdate& update, TimePoint now,
                  std::vector<Envelope>& out) {
  this->membership.Expire(this->neighbours, now);
  this->observations.Expire(now);
  this->UpdateNeighbours(now);
  if (!this->next_round) {
    const auto phase = std::uniform_int_distribution<std::int64_t>(
        0, kRoundInterval.count() - 1)(this->random);
    this->next_round = now + Duration(phase) - kRoundInterval;
  }
  if (now >= *this->next_round) {
    while (*this->next_round <= now) {
      *this->next_round += kRoundInterval;
    }
    ++this->heartbeat;
    ++this->rounds;
    this->SendRound(update, now, out);
    this->SendToUnresponsivePeers(update, now, out);
    this->Probe(update, now, out);
    std::erase_if(this->peers, [now](const auto& entry) {
      return now >= entry.second.last_used_at + kPeerRetention;
    });
  } else {
    this->SendUrgent(update, now, out);
  }
  this->round_requested = false;
}

bool Gossip::OnDigest(const MessageHeader& header, const Digest& digest,
                      const LocalUpdate& update, TimePoint now,
                      std::vector<Envelope>& out) {
  for (const MemberDetail& detail : digest.member_details) {
    this->membership.ApplyDetail(detail, now);
  }
  const MemberRecord* sender = this->membership.Find(digest.node);
  if (sender != nullptr && header.incarnation < sender->identity.incarnation) {
    return false;
  }
  Peer& peer = this->PeerOf(header.address, now);
  if (peer.incarnation != header.incarnation) {
    const auto first_sent_at = peer.first_sent_at;
    const auto sequence = peer.sequence;
    const auto sent = peer.sent;
    peer = {};
    peer.first_sent_at = first_sent_at;
    peer.sequence = sequence;
    peer.sent = sent;
    peer.last_used_at = now;
    peer.incarnation = header.incarnation;
  }
  peer.responded = true;
  if (IsNewer(digest.sequence, peer.received_sequence)) {
    peer.received_sequence = digest.sequence;
  }
  std::optional<TimePoint> exchanged_at;
  for (const SentDigest& sent : peer.sent) {
    if (digest.echo != 0 && sent.sequence == digest.echo) {
      exchanged_at = sent.at;
      peer.knows_self = true;
    }
  }
  if (sender == nullptr || sender->identity.incarnation != header.incarnation) {
    peer.missing_details.insert(digest.node);
  } else {
    this->membership.ApplyDirectHeartbeat(
        digest.node, digest.heartbeat,
        {digest.configuration_version, digest.generation}, exchanged_at, now);
  }
  this->ApplyMembers(peer, digest, exchanged_at, now);
  this->ApplyObservations(peer, digest, now);
  this->RecordRequestedDetails(peer, digest);
  if (digest.wants_reply && !this->neighbours.contains(digest.node)) {
    this->SendDigest(header.address, Scope::kMinimal, update, now, out);
  }
  return true;
}

bool Gossip::HaveAllPeersRespondedOrTimedOut(TimePoint now) const {
  if (this->rounds == 0) {
    return false;
  }
  const auto addresses = this->PeerAddresses();
  return std::all_of(
      addresses.begin(), addresses.end(),
      [this, now](const std::string& address) {
        const auto found = this->peers.find(address);
        return found != this->peers.end() &&
               (found->second.responded ||
                (found->second.first_sent_at &&
                 now >= *found->second.first_sent_at + kResponseTimeout));
      });
}

Duration Gossip::ObservationInterval() const {
  if (this->IsFullMesh()) {
    return kMeshObservationInterval;
  }
  return this->present_nodes <= kMaxMediumClusterNodes
             ? kMediumObservationInterval
             : kLargeObservationInterval;
}

std::size_t Gossip::EstimateStateBytes() const {
  std::size_t bytes = sizeof(*this);
  for (const auto& [address, peer] : this->peers) {
    bytes += detail::kHashNodeBytes + sizeof(address) + address.capacity() +
             sizeof(peer);
    bytes +=
        peer.members.size() * (detail::kHashNodeBytes + sizeof(KnownMember));
    bytes += peer.observations.size() *
             (detail::kHashNodeBytes + sizeof(KnownObservation));
    bytes += (peer.missing_details.size() + peer.requested_details.size()) *
             (detail::kHashNodeBytes + 8);
  }
  return bytes;
}

Gossip::Peer& Gossip::PeerOf(const std::string& address, TimePoint now) {
  Peer& peer = this->peers[address];
  peer.last_used_at = now;
  return peer;
}

void Gossip::UpdateNeighbours(TimePoint now) {
  if (this->neighbours_revision == this->membership.present_set_revision()) {
    return;
  }
  this->neighbours_revision = this->membership.present_set_revision();
  const NodeIdentity& self = this->membership.self();
  std::vector<OverlayNode> nodes;
  nodes.push_back({HashName(self.node), HashName(self.availability_zone)});
  for (const auto& [node, record] : this->membership.records()) {
    if (IsPresent(record.state)) {
      nodes.push_back({node, HashName(record.identity.availability_zone)});
    }
  }
  this->present_nodes = nodes.size();
  std::unordered_map<NameHash, TimePoint> next;
  for (const NameHash node : ChooseNeighbours(HashName(self.node), nodes)) {
    const auto previous = this->neighbours.find(node);
    next.emplace(node,
                 previous != this->neighbours.end() ? previous->second : now);
  }
  this->neighbours = std::move(next);
}

std::uint64_t Gossip::UrgentChangeCount() const {
  return this->membership.urgent_change_count() +
         this->observations.urgent_change_count();
}

void Gossip::SendRound(const LocalUpdate& update, TimePoint now,
                       std::vector<Envelope>& out) {
  for (const auto& [node, since] : this->neighbours) {
    const MemberRecord* record = this->membership.Find(node);
    if (record != nullptr) {
      this->SendDigest(record->identity.peer_address, Scope::kRegular, update,
                       now, out);
    }
  }
}

void Gossip::SendUrgent(const LocalUpdate& update, TimePoint now,
                        std::vector<Envelope>& out) {
  const std::uint64_t total = this->UrgentChangeCount();
  for (const auto& [node, since] : this->neighbours) {
    const MemberRecord* record = this->membership.Find(node);
    if (record == nullptr) {
      continue;
    }
    const std::string& address = record->identity.peer_address;
    const Peer& peer = this->PeerOf(address, now);
    if (this->round_requested || peer.urgent_changes_sent != total ||
        peer.urgent_pending) {
      this->SendDigest(address, Scope::kUrgent, update, now, out);
    }
  }
}

void Gossip::SendToUnresponsivePeers(const LocalUpdate& update, TimePoint now,
                                     std::vector<Envelope>& out) {
  if (this->all_peers_responded_or_timed_out) {
    return;
  }
  bool complete = true;
  for (const std::string& address : this->PeerAddresses()) {
    Peer& peer = this->PeerOf(address, now);
    if (peer.responded) {
      continue;
    }
    if (!peer.first_sent_at) {
      peer.first_sent_at = now;
    }
    if (now < *peer.first_sent_at + kResponseTimeout) {
      complete = false;
      this->SendDigest(address, Scope::kMinimal, update, now, out);
      std::get<Digest>(out.back().message).wants_reply = true;
    }
  }
  this->all_peers_responded_or_timed_out = complete;
}

void Gossip::Probe(const LocalUpdate& update, TimePoint now,
                   std::vector<Envelope>& out) {
  if (this->rounds % kRoundsPerProbe != 0) {
    return;
  }
  std::set<std::string> candidates(this->seeds.begin(), this->seeds.end());
  candidates.insert(this->contacts.begin(), this->contacts.end());
  for (const auto& [node, record] : this->membership.records()) {
    if (record.state == MemberState::kGone) {
      candidates.insert(record.identity.peer_address);
    }
  }
  for (const auto& [node, record] : this->membership.records()) {
    if (record.state != MemberState::kGone) {
      candidates.erase(record.identity.peer_address);
    }
  }
  candidates.erase(this->membership.self().peer_address);
  if (candidates.empty()) {
    return;
  }
  const auto index = std::uniform_int_distribution<std::size_t>(
      0, candidates.size() - 1)(this->random);
  const std::string& address =
      *std::next(candidates.begin(), static_cast<std::ptrdiff_t>(index));
  this->SendDigest(address, Scope::kMinimal, update, now, out);
  std::get<Digest>(out.back().message).wants_reply = true;
}

void Gossip::SendDigest(const std::string& address, Scope scope,
                        const LocalUpdate& update, TimePoint now,
                        std::vector<Envelope>& out) {
  Peer& peer = this->PeerOf(address, now);
  const NodeIdentity& self = this->membership.self();
  if (peer.sequence == 0) {
    peer.sequence = this->first_sequence;
  }
  ++peer.sequence;
  peer.sent[peer.sequence % peer.sent.size()] = {peer.sequence, now};
  peer.last_sent_at = now;
  if (!peer.first_sent_at) {
    peer.first_sent_at = now;
  }

  Digest digest;
  digest.node = HashName(self.node);
  digest.sequence = peer.sequence;
  digest.echo = peer.received_sequence;
  digest.wants_reply = scope == Scope::kRegular;
  digest.heartbeat = this->heartbeat;
  digest.configuration_version = update.versions.configuration;
  digest.generation = update.versions.generation;
  if (!peer.knows_self) {
    digest.member_details.push_back(DetailOf(self));
  }
  this->FillRequested(peer, update, now, digest);
  if (scope != Scope::kMinimal) {
    peer.urgent_changes_sent = this->UrgentChangeCount();
    peer.urgent_pending = false;
    this->FillMembers(peer, address, scope, update, now, digest);
    this->FillUrgentObservations(peer, now, digest);
  }
  if (scope == Scope::kRegular) {
    digest.shortages = update.shortages;
    const std::size_t used =
        kDigestOverheadBytes +
        (digest.members.size() + digest.shortages.size()) * kEntryBytes;
    const std::size_t limit = this->MaxDigestBytes();
    this->FillObservations(peer, limit > used ? limit - used : 0, now, digest);
  }
  while (!peer.missing_details.empty() &&
         digest.missing_details.size() < kMaxNamesPerDigest) {
    digest.missing_details.push_back(*peer.missing_details.begin());
    peer.missing_details.erase(peer.missing_details.begin());
  }
  out.push_back({address, std::move(digest)});
}

void Gossip::FillRequested(Peer& peer, const LocalUpdate& update, TimePoint now,
                           Digest& digest) {
  for (std::size_t count = 0;
       count < kMaxNamesPerDigest && !peer.requested_details.empty(); ++count) {
    const NameHash name = *peer.requested_details.begin();
    peer.requested_details.erase(peer.requested_details.begin());
    if (name == digest.node) {
      peer.knows_self = false;
      digest.member_details.assign(1, DetailOf(this->membership.self()));
      continue;
    }
    const MemberRecord* record = this->membership.Find(name);
    if (record != nullptr && IsPresent(record->state)) {
      digest.member_details.push_back(DetailOf(record->identity));
      digest.members.push_back(
          Membership::EntryFor(name, *record, update.versions, now));
      continue;
    }
    const auto backend = this->observations.records().find(name);
    if (backend != this->observations.records().end()) {
      peer.observations[name].has_detail = false;
      this->AddObservation(peer, name, backend->second, now, digest);
    }
  }
}

void Gossip::FillMembers(Peer& peer, const std::string& address, Scope scope,
                         const LocalUpdate& update, TimePoint now,
                         Digest& digest) {
  const std::uint32_t heartbeats_per_entry =
      this->IsFullMesh() ? 1 : kHeartbeatsPerRelay;
  std::size_t detail_bytes = 0;
  std::vector<std::pair<std::uint32_t, NameHash>> due;
  const auto add = [&](NameHash node, const MemberRecord& record,
                       KnownMember& known) {
    digest.members.push_back(
        Membership::EntryFor(node, record, update.versions, now));
    known.heartbeat = std::max(known.heartbeat, record.heartbeat);
    known.configuration_version = record.configuration_version;
  };
  for (const auto& [node, record] : this->membership.records()) {
    if (record.identity.peer_address == address) {
      continue;
    }
    KnownMember& known = peer.members[node];
    const bool present = IsPresent(record.state);
    if (!known.has_detail || known.incarnation != record.identity.incarnation) {
      if (present && detail_bytes < kMaxDetailBytes) {
        detail_bytes += kEstimatedDetailBytes;
        digest.member_details.push_back(DetailOf(record.identity));
        known = {};
        known.has_detail = true;
        known.incarnation = record.identity.incarnation;
        known.urgent_revision = record.urgent_revision;
        add(node, record, known);
      } else if (present) {
        peer.urgent_pending = true;
      }
    } else if (known.urgent_revision != record.urgent_revision) {
      known.urgent_revision = record.urgent_revision;
      known.resends_left = kUrgentResends;
      peer.urgent_pending = true;
      add(node, record, known);
    } else if (known.resends_left > 0) {
      --known.resends_left;
      peer.urgent_pending = peer.urgent_pending || known.resends_left > 0;
      add(node, record, known);
    } else if (scope == Scope::kRegular && present) {
      const bool heartbeat_due = record.heartbeat / heartbeats_per_entry >
                                 known.heartbeat / heartbeats_per_entry;
      const bool version_due =
          record.configuration_version > known.configuration_version;
      if (heartbeat_due || version_due) {
        due.emplace_back(record.heartbeat - known.heartbeat, node);
      }
    }
  }
  // Members whose heartbeat at the peer is most outdated come first. Entries of
  // members use at most half of the digest.
  const std::size_t limit = this->MaxDigestBytes() / 2 / kEntryBytes;
  std::sort(due.begin(), due.end(), std::greater<>());
  for (const auto& [gap, node] : due) {
    if (digest.members.size() >= limit) {
      break;
    }
    add(node, *this->membership.Find(node), peer.members[node]);
  }
}

void Gossip::FillUrgentObservations(Peer& peer, TimePoint now, Digest& digest) {
  for (const auto& [name, record] : this->observations.records()) {
    if (record.urgent_revision == 0) {
      continue;
    }
    KnownObservation& known = peer.observations[name];
    if (known.urgent_revision != record.urgent_revision) {
      known.urgent_revision = record.urgent_revision;
      known.resends_left = kUrgentResends;
      peer.urgent_pending = true;
      this->AddObservation(peer, name, record, now, digest);
    } else if (known.resends_left > 0) {
      --known.resends_left;
      peer.urgent_pending = peer.urgent_pending || known.resends_left > 0;
      this->AddObservation(peer, name, record, now, digest);
    }
  }
}

void Gossip::FillObservations(Peer& peer, std::size_t bytes, TimePoint now,
                              Digest& digest) {
  const auto& names = this->observations.ordered_names();
  const auto& records = this->observations.records();
  const bool full_mesh = this->IsFullMesh();
  std::size_t detail_bytes = 0;
  std::size_t used = 0;
  for (std::size_t visited = 0; visited < names.size() && used < bytes;
       ++visited) {
    peer.observation_cursor = (peer.observation_cursor + 1) % names.size();
    const NameHash name = names[peer.observation_cursor];
    const ObservationRecord& record = records.find(name)->second;
    const auto known = peer.observations.find(name);
    const bool has_detail = known != peer.observations.end() &&
                            known->second.has_detail &&
                            known->second.detail_tag == record.detail_tag;
    if (has_detail) {
      const bool relayed =
          full_mesh && (!record.published_at ||
                        now >= *record.published_at + kMaxOwnObservationAge);
      if (relayed || known->second.counter >= record.counter) {
        continue;
      }
      used += kEntryBytes;
    } else if (detail_bytes < kMaxDetailBytes) {
      detail_bytes += kEstimatedDetailBytes;
    } else {
      continue;
    }
    this->AddObservation(peer, name, record, now, digest);
  }
}

void Gossip::AddObservation(Peer& peer, NameHash name,
                            const ObservationRecord& record, TimePoint now,
                            Digest& digest) {
  KnownObservation& known = peer.observations[name];
  if (!known.has_detail || known.detail_tag != record.detail_tag) {
    digest.backend_details.push_back(ObservationGossip::DetailFor(record));
    known.has_detail = true;
    known.detail_tag = record.detail_tag;
  }
  known.counter = record.counter;
  digest.observations.push_back(ObservationGossip::EntryFor(name, record, now));
}

void Gossip::ApplyMembers(Peer& peer, const Digest& digest,
                          std::optional<TimePoint> exchanged_at,
                          TimePoint now) {
  const NameHash self = HashName(this->membership.self().node);
  for (const MemberDetail& detail : digest.member_details) {
    KnownMember& known = peer.members[HashName(detail.node)];
    if (!known.has_detail || known.incarnation < detail.incarnation) {
      known = {};
      known.has_detail = true;
      known.incarnation = detail.incarnation;
      const MemberRecord* record = this->membership.Find(HashName(detail.node));
      known.urgent_revision = record != nullptr ? record->urgent_revision : 0;
    }
  }
  const AnnouncedVersions relay = {digest.configuration_version,
                                   digest.generation};
  for (const MemberEntry& entry : digest.members) {
    if (entry.node == self) {
      continue;
    }
    if (!this->membership.ApplyRelayedEntry(entry, relay, exchanged_at, now)) {
      peer.missing_details.insert(entry.node);
      continue;
    }
    KnownMember& known = peer.members[entry.node];
    const MemberRecord* record = this->membership.Find(entry.node);
    const bool outdated_report =
        entry.flag == MemberEntry::Flag::kSuspect && !record->suspected;
    if (outdated_report && known.has_detail) {
      // The peer still reports the member as silent because it has not received
      // a heartbeat that arrived here, so that heartbeat is sent again.
      known.heartbeat = entry.heartbeat;
      known.resends_left = kUrgentResends;
      peer.urgent_pending = true;
    } else {
      known.heartbeat = std::max(known.heartbeat, entry.heartbeat);
    }
  }
}

void Gossip::ApplyObservations(Peer& peer, const Digest& digest,
                               TimePoint now) {
  std::unordered_map<NameHash, const BackendDetail*> details;
  for (const BackendDetail& detail : digest.backend_details) {
    details.emplace(HashName(detail.backend), &detail);
  }
  for (const ObservationEntry& entry : digest.observations) {
    const auto found = details.find(entry.backend);
    const BackendDetail* detail =
        found != details.end() ? found->second : nullptr;
    if (!this->observations.Merge(entry, detail, now)) {
      peer.missing_details.insert(entry.backend);
      continue;
    }
    KnownObservation& known = peer.observations[entry.backend];
    known.has_detail = true;
    known.detail_tag = entry.detail_tag;
    known.counter = std::max(known.counter, entry.counter);
  }
}

void Gossip::RecordRequestedDetails(Peer& peer, const Digest& digest) {
  for (const NameHash name : digest.missing_details) {
    if (peer.requested_details.size() < kMaxNamesPerDigest) {
      peer.requested_details.insert(name);
    }
  }
  peer.urgent_pending = peer.urgent_pending || !peer.requested_details.empty();
}

std::vector<std::string> Gossip::PeerAddresses() const {
  std::set<std::string> addresses(this->seeds.begin(), this->seeds.end());
  addresses.insert(this->contacts.begin(), this->contacts.end());
  for (const auto& [node, record] : this->membership.records()) {
    if (IsPresent(record.state)) {
      addresses.insert(record.identity.peer_address);
    }
  }
  addresses.erase(this->membership.self().peer_address);
  return {addresses.begin(), addresses.end()};
}

std::size_t Gossip::MaxDigestBytes() const {
  const std::size_t count = std::max<std::size_t>(this->neighbours.size(), 1);
  return kRegularBytesPerSecond / (count * kRoundsPerSecond);
}

bool Gossip::IsFullMesh() const {
  return this->present_nodes <= kMaxFullMeshNodes;
}

}  // namespace qp
