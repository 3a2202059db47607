#include "cluster/cluster_node.h"

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <unordered_map>
#include <utility>

#include "cluster/budget_exchange.h"
#include "cluster/configuration_gossip.h"
#include "cluster/gossip.h"
#include "cluster/membership.h"
#include "cluster/messages.h"
#include "cluster/observation_gossip.h"
#include "cluster/overlay.h"
#include "cluster/version_agreement.h"
#include "config/configuration_json.h"

namespace qp {

namespace {

using policy::BudgetGeneration;
using policy::BudgetMember;

/// A daemon that has neither read the table nor exchanged heartbeats with a
/// majority for this time stops serving.
constexpr Duration kConfirmationPeriod = std::chrono::seconds(9);
/// A member that has been silent for this time is excluded from the next
/// generation.
constexpr Duration kRemovalTimeout = std::chrono::seconds(9);
/// A leaving daemon waits at most this time for acknowledgements of its grants.
constexpr Duration kLeaveTimeout = std::chrono::seconds(2);
constexpr std::size_t kObserversPerBackend = 2;

std::uint32_t SecondsOf(WallMillis millis) {
  return static_cast<std::uint32_t>(millis / 1000);
}

void SortUnique(std::vector<BudgetMember>& members) {
  std::sort(members.begin(), members.end());
  members.erase(std::unique(members.begin(), members.end()), members.end());
}

}  // namespace

struct ClusterNode::State {
  State(NodeIdentity self, std::vector<std::string> seeds, PeerLink& peer_link,
        Timeline* event_timeline, EventSink& sink, std::uint64_t seed)
      : identity(std::move(self)),
        link(peer_link),
        timeline(event_timeline),
        events(sink),
        membership(this->identity, sink),
        gossip(this->membership, this->observations, std::move(seeds), seed),
        budget_exchange({this->identity.node, this->identity.incarnation}, sink,
                        seed + 1) {}

  // Sending.

  void Flush(std::vector<Envelope>& out) {
    for (const Envelope& envelope : out) {
      MessageHeader header{
          this->identity.peer_address, this->identity.incarnation, {}};
      if (this->timeline != nullptr) {
        header.time = this->timeline->Stamp();
      }
      const std::string bytes = EncodeMessage(header, envelope.message);
      ++this->counters.messages_sent;
      this->counters.bytes_sent += bytes.size();
      this->link.Send(envelope.to, bytes);
    }
    out.clear();
  }

  LocalUpdate MakeLocalUpdate(TimePoint now) {
    return {this->OwnVersions(),
            this->budget_exchange.MakeShortageEntries(now)};
  }

  AnnouncedVersions OwnVersions() const {
    return {this->configuration_gossip.version(),
            this->generation_gossip.version()};
  }

  // Receiving: one overload of Handle for each kind of message.

  void Handle(const MessageHeader& header, const Digest& digest, TimePoint now,
              std::vector<Envelope>& out) {
    if (!this->gossip.OnDigest(header, digest, this->MakeLocalUpdate(now), now,
                               out)) {
      return;
    }
    this->budget_exchange.OnShortages(digest.shortages, now);
    this->configuration_gossip.OnAnnounced(
        header.address, digest.configuration_version, now, out);
    this->generation_gossip.OnAnnounced(header.address, digest.generation, now,
                                        out);
  }

  void Handle(const MessageHeader& header, const ConfigurationRequest& request,
              TimePoint, std::vector<Envelope>& out) {
    this->DocumentGossipOf(request.document)
        .OnRequest(header.address, request, out);
  }

  void Handle(const MessageHeader& header, const ConfigurationPush& push,
              TimePoint now, std::vector<Envelope>& out) {
    const auto document =
        this->DocumentGossipOf(push.document).OnPush(push, now);
    if (!document) {
      return;
    }
    const bool applied = push.document == DocumentKind::kConfiguration
                             ? this->ApplyReceivedConfiguration(*document, now)
                             : this->ApplyReceivedGeneration(*document, now);
    if (!applied) {
      ++this->counters.malformed;
      return;
    }
    out.push_back(
        {header.address, ConfigurationAck{push.document, document->version,
                                          HashName(this->identity.node)}});
  }

  void Handle(const MessageHeader&, const ConfigurationAck& ack, TimePoint,
              std::vector<Envelope>&) {
    const bool configuration = ack.document == DocumentKind::kConfiguration;
    this->membership.RecordAcknowledgement(
        ack.node,
        {configuration ? ack.version : 0, configuration ? 0 : ack.version});
  }

  void Handle(const MessageHeader& header, const policy::BudgetGrant& grant,
              TimePoint, std::vector<Envelope>& out) {
    this->budget_exchange.OnGrant(grant, header.address, out);
  }

  void Handle(const MessageHeader&, const BudgetGrantAck& ack, TimePoint,
              std::vector<Envelope>&) {
    this->budget_exchange.ledger().Acknowledge(ack.generation, ack.number);
  }

  void Handle(const MessageHeader& header, const LeaveMessage& leave_message,
              TimePoint, std::vector<Envelope>&) {
    this->membership.RecordAcknowledgement(
        leave_message.node,
        {leave_message.configuration_version, leave_message.generation});
    this->membership.MarkLeft(leave_message.node, header.incarnation);
  }

  ConfigurationGossip& DocumentGossipOf(DocumentKind kind) {
    return kind == DocumentKind::kConfiguration ? this->configuration_gossip
                                                : this->generation_gossip;
  }

  // Documents.

  bool ApplyReceivedConfiguration(const Document& document, TimePoint) {
    auto parsed = ParseConfiguration(document.content);
    if (!parsed || parsed.value().version != document.version) {
      return false;
    }
    if (this->configuration_gossip.Offer(document.version, document.content)) {
      this->ActivateConfiguration(std::move(parsed).value());
    }
    return true;
  }

  bool ApplyReceivedGeneration(const Document& document, TimePoint now) {
    auto decoded = DecodeGeneration(document.content);
    if (!decoded || decoded.value().number != document.version) {
      return false;
    }
    this->AdoptGeneration(std::move(decoded).value(), now);
    return true;
  }

  void ActivateConfiguration(Configuration next) {
    this->configuration =
        std::make_shared<const Configuration>(std::move(next));
    this->budget_exchange.SetConfiguration(this->configuration);
    if (this->configuration_listener) {
      this->configuration_listener(this->configuration);
    }
    this->RestartRateAgreement();
    this->gossip.RequestRound();
    this->events.Record(
        EventId::kConfigurationReceived,
        {{"version", std::to_string(this->configuration->version)},
         {"change", this->configuration->change_id}});
  }

  void AdoptGeneration(BudgetGeneration generation, TimePoint now) {
    SortUnique(generation.members);
    SortUnique(generation.previous_members);
    const std::uint64_t number = generation.number;
    if (!this->generation_gossip.Offer(number, EncodeGeneration(generation))) {
      return;
    }
    this->budget_exchange.ledger().Adopt(std::move(generation), now);
    this->generation_agreement = {};
    this->RestartRateAgreement();
    this->gossip.RequestRound();
    this->events.Record(EventId::kBudgetGeneration,
                        {{"generation", std::to_string(number)}});
  }

  // Agreement.

  /// Returns the daemons of which a majority confirms this daemon: the members
  /// of the known generation or, before the first one, all daemons known from
  /// gossip and from the contacts.
  std::vector<BudgetMember> VotingMembers() const {
    const BudgetGeneration& generation = this->budget_exchange.ledger().Known();
    if (generation.number > 0) {
      return generation.members;
    }
    std::set<BudgetMember> voters;
    voters.insert({this->identity.node, this->identity.incarnation});
    for (const auto& [node, record] : this->membership.records()) {
      voters.insert({record.identity.node, record.identity.incarnation});
    }
    for (const Contact& contact : this->contacts) {
      if (this->membership.FindByName(contact.node) == nullptr &&
          contact.node != this->identity.node) {
        voters.insert({contact.node, 0});
      }
    }
    return {voters.begin(), voters.end()};
  }

  bool IsListed(const std::string& node) const {
    return std::any_of(
        this->contacts.begin(), this->contacts.end(),
        [&node](const Contact& contact) { return contact.node == node; });
  }

  /// Whether the daemon has stopped permanently: the VM list has been read and
  /// does not contain the daemon, which has been silent for kRemovalTimeout.
  bool IsRemoved(const BudgetMember& member, const MemberRecord* record,
                 TimePoint now) const {
    if (this->contacts.empty() || this->IsListed(member.node)) {
      return false;
    }
    const TimePoint silent_since =
        record != nullptr ? record->heard_at : this->started_at.value_or(now);
    const bool gone = record == nullptr || record->state == MemberState::kGone;
    return gone && now >= silent_since + kRemovalTimeout;
  }

  /// Number of members that have not left, and number of these that know a
  /// version.
  struct InformedCount {
    std::size_t members = 0;
    std::size_t informed = 0;
  };

  InformedCount CountInformed(
      const std::vector<BudgetMember>& voters, TimePoint now,
      const std::function<bool(const MemberRecord&)>& knows) const {
    InformedCount count;
    for (const BudgetMember& member : voters) {
      const MemberRecord* record = this->membership.FindByName(member.node);
      if (record != nullptr && record->left) {
        continue;
      }
      ++count.members;
      const bool self = member.node == this->identity.node;
      const bool informed =
          record != nullptr &&
          record->identity.incarnation >= member.incarnation && knows(*record);
      if (self || informed || this->IsRemoved(member, record, now)) {
        ++count.informed;
      }
    }
    return count;
  }

  void RestartRateAgreement() {
    this->rate_agreement = {};
    this->active_rate_agreement = {};
  }

  void UpdateAgreements(TimePoint now) {
    if (this->budget_exchange.ledger().HasPendingGeneration()) {
      this->UpdateGenerationAgreement(now);
    }
    if (this->budget_exchange.IsAwaitingAgreement()) {
      this->UpdateRateAgreements(now);
    }
  }

  void UpdateGenerationAgreement(TimePoint now) {
    policy::BudgetLedger& ledger = this->budget_exchange.ledger();
    const std::uint64_t number = ledger.KnownGeneration();
    const InformedCount count =
        this->CountInformed(ledger.Known().previous_members, now,
                            [number](const MemberRecord& record) {
                              return record.generation >= number;
                            });
    const bool stopped =
        this->generation_agreement.Update(count.members, count.informed, now);
    if (ledger.Activate(stopped, now)) {
      this->RestartRateAgreement();
    }
  }

  void UpdateRateAgreements(TimePoint now) {
    const policy::BudgetLedger& ledger = this->budget_exchange.ledger();
    const std::uint64_t version = this->configuration_gossip.version();
    const auto knows = [version](const MemberRecord& record) {
      return record.configuration_version >= version;
    };
    // The members of both the known and the active generation must agree: a
    // daemon that does not know the newer generation is confirmed by a majority
    // of the active one.
    const InformedCount known =
        this->CountInformed(this->VotingMembers(), now, knows);
    const InformedCount active =
        this->CountInformed(ledger.Active().members, now, knows);
    const bool known_agreed =
        this->rate_agreement.Update(known.members, known.informed, now);
    const bool active_agreed = this->active_rate_agreement.Update(
        active.members, active.informed, now);
    // No delay is necessary at the first start of a cluster: the daemons of the
    // first generation start together and hold no earlier shares.
    const bool starting = this->budget_exchange.IsFirstConfiguration() &&
                          ledger.ActiveGeneration() <= 1 &&
                          known.informed == known.members &&
                          active.informed == active.members;
    if (starting || (known_agreed && active_agreed)) {
      this->budget_exchange.OnVersionAgreed(version);
    }
  }

  /// Returns the latest time since which more than half of the voters have
  /// exchanged heartbeats with this daemon; empty without such a majority.
  /// Voters that know a higher version do not confirm, since this daemon is not
  /// up to date with them.
  std::optional<TimePoint> LastMajorityContact(TimePoint now) const {
    const AnnouncedVersions own = this->OwnVersions();
    std::vector<TimePoint> contact_times;
    std::size_t members = 0;
    for (const BudgetMember& member : this->VotingMembers()) {
      const bool self = member.node == this->identity.node;
      const MemberRecord* record = this->membership.FindByName(member.node);
      const bool current = record != nullptr &&
                           record->configuration_version <= own.configuration &&
                           record->generation <= own.generation;
      if (record != nullptr && record->left && current) {
        continue;
      }
      ++members;
      if (self) {
        contact_times.push_back(now);
      } else if (current && !record->left && record->exchanged_at) {
        contact_times.push_back(*record->exchanged_at);
      }
    }
    const std::size_t majority = members / 2 + 1;
    if (contact_times.size() < majority) {
      return std::nullopt;
    }
    const auto nth =
        contact_times.begin() + static_cast<std::ptrdiff_t>(majority - 1);
    std::nth_element(contact_times.begin(), nth, contact_times.end(),
                     std::greater<>());
    return *nth;
  }

  void AdvanceConfirmation(std::optional<TimePoint> at) {
    if (at && (!this->confirmed_at || *at > *this->confirmed_at)) {
      this->confirmed_at = at;
    }
  }

  bool IsConfirmed(TimePoint now) const {
    return this->confirmed_at &&
           now < *this->confirmed_at + kConfirmationPeriod;
  }

  void UpdateConfirmation(TimePoint now) {
    if (now >= this->next_confirmation_check) {
      this->next_confirmation_check = now + Gossip::kRoundInterval;
      this->AdvanceConfirmation(this->LastMajorityContact(now));
    }
    const bool confirmed = this->IsConfirmed(now);
    if (confirmed == this->was_confirmed) {
      return;
    }
    this->was_confirmed = confirmed;
    this->events.Record(
        confirmed ? EventId::kConfirmationRegained : EventId::kConfirmationLost,
        {});
  }

  /// Returns the daemons that are present now and the members of the active
  /// generation that have not left and have been silent for less than
  /// kRemovalTimeout.
  std::vector<BudgetMember> NextGenerationMembers(TimePoint now) const {
    std::vector<BudgetMember> members;
    members.push_back({this->identity.node, this->identity.incarnation});
    const auto& active = this->budget_exchange.ledger().Active().members;
    for (const auto& [node, record] : this->membership.records()) {
      const BudgetMember member{record.identity.node,
                                record.identity.incarnation};
      const bool listed =
          std::binary_search(active.begin(), active.end(), member);
      const bool recent =
          !record.left && now < record.heard_at + kRemovalTimeout;
      if (IsPresent(record.state) || (listed && recent)) {
        members.push_back(member);
      }
    }
    SortUnique(members);
    return members;
  }

  // Observers.

  /// Whether this daemon observes the backend server. Cached until the members
  /// change, since callers check every backend server each second.
  bool IsObserver(NameHash backend) {
    if (this->observers_revision != this->membership.present_set_revision()) {
      this->observers_revision = this->membership.present_set_revision();
      this->observer_cache.clear();
      this->present_nodes = {HashName(this->identity.node)};
      for (const auto& [node, record] : this->membership.records()) {
        if (IsPresent(record.state)) {
          this->present_nodes.push_back(node);
        }
      }
    }
    const auto [at, added] = this->observer_cache.try_emplace(backend, false);
    if (added) {
      const auto observers = ChooseByRendezvous(backend, this->present_nodes,
                                                kObserversPerBackend);
      at->second = std::find(observers.begin(), observers.end(),
                             this->present_nodes.front()) != observers.end();
    }
    return at->second;
  }

  NodeIdentity identity;
  PeerLink& link;
  Timeline* timeline;
  EventSink& events;
  ClusterCounters counters;
  Membership membership;
  ObservationGossip observations;
  ConfigurationGossip configuration_gossip{DocumentKind::kConfiguration};
  ConfigurationGossip generation_gossip{DocumentKind::kBudgetGeneration};
  Gossip gossip;
  BudgetExchange budget_exchange;
  VersionAgreement generation_agreement;
  VersionAgreement rate_agreement;         ///< Agreement of the voting members.
  VersionAgreement active_rate_agreement;  ///< Agreement of the active members.
  std::shared_ptr<const Configuration> configuration;
  ConfigurationListener configuration_listener;
  std::vector<Contact> contacts;
  std::optional<TimePoint> started_at;
  std::optional<TimePoint> confirmed_at;
  std::optional<TimePoint> leaving_at;
  TimePoint next_confirmation_check{};
  bool was_confirmed = false;
  /// Membership::present_set_revision() for which `present_nodes` and
  /// `observer_cache` are valid.
  std::uint64_t observers_revision = 0;
  std::vector<NameHash> present_nodes;
  std::unordered_map<NameHash, bool> observer_cache;
};

ClusterNode::ClusterNode(NodeIdentity identity, std::vector<std::string> seeds,
                         PeerLink& link, Timeline* timeline, EventSink& events,
                         std::uint64_t random_seed)
    : state(std::make_unique<State>(std::move(identity), std::move(seeds), link,
                                    timeline, events, random_seed)) {}

ClusterNode::~ClusterNode() = default;

void ClusterNode::Tick(TimePoint now) {
  State& node = *this->state;
  if (!node.started_at) {
    node.started_at = now;
  }
  std::vector<Envelope> out;
  if (!node.leaving_at) {
    node.gossip.Tick(node.MakeLocalUpdate(now), now, out);
    node.UpdateConfirmation(now);
    node.UpdateAgreements(now);
  }
  node.budget_exchange.Tick(node.membership, now, out);
  node.Flush(out);
}

void ClusterNode::OnMessage(std::string_view message, TimePoint now) {
  State& node = *this->state;
  ++node.counters.messages_received;
  auto received = DecodeMessage(message);
  if (!received) {
    const bool unknown = received.error().code == ErrorCode::kNotFound;
    ++(unknown ? node.counters.unknown_kind : node.counters.malformed);
    node.events.Record(EventId::kMessageDropped,
                       {{"reason", received.error().detail}});
    return;
  }
  const MessageHeader& header = received.value().header;
  if (node.timeline != nullptr) {
    node.timeline->Observe(header.time);
  }
  std::vector<Envelope> out;
  std::visit([&](const auto& body) { node.Handle(header, body, now, out); },
             received.value().message);
  node.Flush(out);
}

void ClusterNode::SetContacts(std::vector<Contact> contacts) {
  std::vector<std::string> addresses;
  addresses.reserve(contacts.size());
  for (const Contact& contact : contacts) {
    addresses.push_back(contact.peer_address);
  }
  this->state->gossip.SetContacts(std::move(addresses));
  this->state->contacts = std::move(contacts);
}

bool ClusterNode::OfferConfiguration(Configuration configuration, TimePoint) {
  State& node = *this->state;
  if (configuration.version <= node.configuration_gossip.version()) {
    return false;
  }
  node.configuration_gossip.Offer(configuration.version,
                                  ToJson(configuration).dump());
  node.ActivateConfiguration(std::move(configuration));
  return true;
}

void ClusterNode::SetConfigurationListener(ConfigurationListener listener) {
  this->state->configuration_listener = std::move(listener);
  if (this->state->configuration_listener && this->state->configuration) {
    this->state->configuration_listener(this->state->configuration);
  }
}

std::shared_ptr<const Configuration> ClusterNode::CurrentConfiguration() const {
  return this->state->configuration;
}

void ClusterNode::RecordTableRead(TimePoint read_began) {
  this->state->AdvanceConfirmation(read_began);
}

std::optional<TimePoint> ClusterNode::ConfirmedAt() const {
  return this->state->confirmed_at;
}

bool ClusterNode::IsConfirmed(TimePoint now) const {
  return this->state->IsConfirmed(now);
}

bool ClusterNode::HasSyncedWithPeers(TimePoint now) const {
  const State& node = *this->state;
  return node.gossip.HaveAllPeersRespondedOrTimedOut(now) &&
         node.configuration_gossip.highest_seen() <=
             node.configuration_gossip.version();
}

std::vector<std::string> ClusterNode::MembersLackingVersion(
    std::uint64_t version, TimePoint now) const {
  std::vector<std::string> pending;
  for (const auto& [node, record] : this->state->membership.records()) {
    const bool stopped =
        record.left || (record.state == MemberState::kGone &&
                        now >= record.heard_at + kConfirmationPeriod);
    if (!stopped && record.configuration_version < version) {
      pending.push_back(record.identity.node);
    }
  }
  std::sort(pending.begin(), pending.end());
  return pending;
}

void ClusterNode::PublishObservation(Observation observation, TimePoint now) {
  // The wall time in seconds is a lower limit of the observation's counter.
  // Without a timeline, as in tests on one machine, the monotonic clock serves
  // the same purpose, since all daemons share it.
  const WallMillis millis =
      this->state->timeline != nullptr
          ? this->state->timeline->Stamp().millis
          : std::chrono::duration_cast<std::chrono::milliseconds>(
                now.time_since_epoch())
                .count();
  this->state->observations.Publish(std::move(observation), SecondsOf(millis),
                                    this->state->gossip.ObservationInterval());
}

std::vector<Observation> ClusterNode::Observations(TimePoint) const {
  return this->state->observations.Current();
}

bool ClusterNode::ShouldObserve(std::string_view backend) const {
  return this->state->IsObserver(HashName(backend));
}

void ClusterNode::SetBudgetGeneration(BudgetGeneration generation,
                                      TimePoint now) {
  this->state->AdoptGeneration(std::move(generation), now);
}

std::optional<BudgetGeneration> ClusterNode::ProposeGeneration(
    TimePoint now) const {
  const State& node = *this->state;
  const policy::BudgetLedger& ledger = node.budget_exchange.ledger();
  const bool settled =
      !ledger.HasPendingGeneration() &&
      node.generation_gossip.highest_seen() == node.generation_gossip.version();
  if (!settled || node.leaving_at || !this->HasSyncedWithPeers(now) ||
      !node.IsConfirmed(now)) {
    return std::nullopt;
  }
  BudgetGeneration next;
  next.members = node.NextGenerationMembers(now);
  if (next.members == ledger.Active().members) {
    return std::nullopt;
  }
  next.number = ledger.ActiveGeneration() + 1;
  next.previous_members = ledger.Active().members;
  return next;
}

void ClusterNode::ReportDemand(std::string_view class_name,
                               const ClassDemand& demand, TimePoint now) {
  this->state->budget_exchange.ReportDemand(class_name, demand, now);
}

void ClusterNode::Leave(TimePoint now) {
  State& node = *this->state;
  if (node.leaving_at) {
    return;
  }
  node.leaving_at = now;
  std::vector<Envelope> out;
  node.budget_exchange.GrantAllShares(node.membership, out);
  const AnnouncedVersions versions = node.OwnVersions();
  for (const auto& [hash, record] : node.membership.records()) {
    if (IsPresent(record.state)) {
      out.push_back(
          {record.identity.peer_address,
           LeaveMessage{HashName(node.identity.node), versions.configuration,
                        versions.generation}});
    }
  }
  node.Flush(out);
}

bool ClusterNode::HasLeft(TimePoint now) const {
  const State& node = *this->state;
  return node.leaving_at &&
         (!node.budget_exchange.ledger().HasUnacknowledged() ||
          now >= *node.leaving_at + kLeaveTimeout);
}

MembersView ClusterNode::Members(TimePoint) const {
  return this->state->membership.View();
}

BudgetsView ClusterNode::Budgets(TimePoint now) const {
  BudgetsView view = this->state->budget_exchange.View();
  if (!this->state->IsConfirmed(now)) {
    view.shares.clear();
  }
  return view;
}

const ClusterCounters& ClusterNode::counters() const {
  return this->state->counters;
}

std::size_t ClusterNode::EstimateStateBytes() const {
  const State& node = *this->state;
  std::size_t bytes = sizeof(node);
  bytes += node.membership.EstimateStateBytes();
  bytes += node.observations.EstimateStateBytes();
  bytes += node.configuration_gossip.EstimateStateBytes();
  bytes += node.generation_gossip.EstimateStateBytes();
  bytes += node.gossip.EstimateStateBytes();
  bytes += node.budget_exchange.EstimateStateBytes();
  return bytes;
}

}  // namespace qp
