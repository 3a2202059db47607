#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "blackboard/views.h"
#include "cluster/identity.h"
#include "cluster/messages.h"
#include "foundation/clock.h"
#include "foundation/event.h"

namespace qp {

/// State of another daemon as known to this one.
struct MemberRecord {
  NodeIdentity identity;
  std::uint32_t heartbeat = 0;
  std::uint64_t configuration_version = 0;
  std::uint64_t generation = 0;
  /// Local time at which the latest heartbeat arrived at the daemon that
  /// received it directly. Estimated from the ages in relayed entries, without
  /// their transit times.
  TimePoint heard_at{};
  /// Lower bound of the local time at which the member sent its latest state.
  /// A digest was sent after the message of this daemon that it echoes; for an
  /// entry relayed in it, MemberEntry::exchange_age is subtracted. Empty if no
  /// bound is known.
  std::optional<TimePoint> exchanged_at;
  /// Whether a neighbour of the member has reported the member as silent.
  bool suspected = false;
  bool left = false;  ///< Whether the member announced that it leaves.
  MemberState state = MemberState::kAlive;
  /// Incremented with each change that is sent to the neighbours at once.
  std::uint32_t urgent_revision = 0;
};

/// Whether a member in `state` takes part in the cluster, that is, the member
/// is neither gone nor leaving.
bool IsPresent(MemberState state);

/// Versions that a daemon has announced; 0 if none.
struct AnnouncedVersions {
  std::uint64_t configuration = 0;
  std::uint64_t generation = 0;
};

/// The other daemons and their states, derived from heartbeats. Heartbeats of
/// neighbours arrive directly, those of other members through gossip.
/// Neighbours of a silent member report it early, so that daemons that receive
/// its heartbeats only at long intervals detect its loss in time.
class Membership {
 public:
  /// A neighbour or a reported member is suspect after this time without a
  /// heartbeat, direct or relayed.
  static constexpr Duration kSuspectAfter = std::chrono::milliseconds(1500);
  /// A neighbour or a reported member is gone after this time without a
  /// heartbeat. A loss must be detected within 2 s; 200 ms are subtracted for
  /// one tick and the delay of a message.
  static constexpr Duration kGoneAfter =
      std::chrono::seconds(2) - std::chrono::milliseconds(200);
  /// A neighbour without a heartbeat for this time is reported to the others,
  /// early enough for the report to arrive before kGoneAfter. Two heartbeats
  /// are missing by then.
  static constexpr Duration kReportAfter = std::chrono::milliseconds(1100);
  /// A member that is neither a neighbour nor reported is gone after this time
  /// without a heartbeat.
  static constexpr Duration kUnreportedGoneAfter = std::chrono::seconds(9);
  /// Gone and leaving members are removed this long after the last heartbeat.
  static constexpr Duration kRetention = std::chrono::minutes(10);

  Membership(NodeIdentity self, EventSink& events);

  /// Applies the description of a member. A higher incarnation replaces the
  /// member's record. Returns true if the member or its incarnation is new.
  bool ApplyDetail(const MemberDetail& detail, TimePoint now);

  /// Applies the state that the member sent itself. `exchanged_at` is the send
  /// time of this daemon's message that the member echoed; empty if none.
  void ApplyDirectHeartbeat(NameHash node, std::uint32_t heartbeat,
                            const AnnouncedVersions& versions,
                            std::optional<TimePoint> exchanged_at,
                            TimePoint now);

  /// Applies an entry relayed by a daemon that announces the versions `relay`
  /// and whose digest was produced after `relay_exchanged_at`. Returns false if
  /// the member is unknown or its incarnation differs, so that its details have
  /// to be requested.
  bool ApplyRelayedEntry(const MemberEntry& entry,
                         const AnnouncedVersions& relay,
                         std::optional<TimePoint> relay_exchanged_at,
                         TimePoint now);

  /// Marks the member as leaving. Ignored if its incarnation differs.
  void MarkLeft(NameHash node, std::uint64_t incarnation);

  /// Records that the member announced or acknowledged these versions.
  void RecordAcknowledgement(NameHash node, const AnnouncedVersions& versions);

  /// Updates the state of each member and removes members after kRetention.
  /// `neighbours` maps each neighbour to the time at which it became one.
  void Expire(const std::unordered_map<NameHash, TimePoint>& neighbours,
              TimePoint now);

  /// Returns the entry of `record` for a digest that announces the versions
  /// `own`.
  static MemberEntry EntryFor(NameHash node, const MemberRecord& record,
                              const AnnouncedVersions& own, TimePoint now);

  const MemberRecord* Find(NameHash node) const;
  const MemberRecord* FindByName(std::string_view node) const;
  const std::unordered_map<NameHash, MemberRecord>& records() const {
    return this->members;
  }
  const NodeIdentity& self() const { return this->identity; }

  /// Changes whenever the set of present members (IsPresent) changes.
  std::uint64_t present_set_revision() const { return this->present_revision; }

  /// Incremented whenever the urgent_revision of a record is incremented.
  std::uint64_t urgent_change_count() const { return this->urgent_changes; }

  MembersView View() const;
  std::size_t EstimateStateBytes() const;

 private:
  void MarkUrgent(MemberRecord& record);
  /// Applies a report that the member is silent, made by a neighbour of the
  /// member. Ignored if a later heartbeat than the reporter's is known here.
  void ApplySuspicion(const MemberEntry& entry, TimePoint heard_at,
                      MemberRecord& record);
  /// Applies a relayed heartbeat. A heartbeat that the reporter of a silent
  /// member has not received refutes the report.
  void ApplyHeartbeat(const MemberEntry& entry, TimePoint heard_at,
                      MemberRecord& record);
  void SetState(MemberRecord& record, MemberState state);
  MemberState ComputeState(const MemberRecord& record, bool neighbour,
                           TimePoint heard_at, TimePoint now) const;

  NodeIdentity identity;
  EventSink& events;
  std::unordered_map<NameHash, MemberRecord> members;
  std::uint64_t present_revision = 1;
  std::uint64_t urgent_changes = 0;
};

}  // namespace qp
