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

/// What this daemon knows of another one.
struct MemberRecord {
  NodeIdentity identity;
  std::uint32_t heartbeat = 0;
  std::uint64_t configuration_version = 0;
  std::uint64_t generation = 0;
  /// Local time at which the latest news left a daemon that heard it.
  TimePoint heard_at{};
  /// The latest news was certainly produced after this local time: a message
  /// of this daemon sent then was seen before. Empty if there was none.
  std::optional<TimePoint> exchanged_at;
  bool suspected = false;  ///< A neighbour of it reported silence.
  bool left = false;       ///< It said farewell.
  MemberState state = MemberState::kAlive;
  std::uint32_t urgent_revision = 0;  ///< Changes with news to pass on at once.
};

/// Whether a member in this state takes part: it is neither gone nor leaving.
bool IsPresent(MemberState state);

/// Versions that a daemon has announced.
struct AnnouncedVersions {
  std::uint64_t configuration = 0;
  std::uint64_t generation = 0;
};

/// The other daemons and their states. A daemon is heard directly if it is a
/// neighbour, otherwise through gossip. Neighbours report silence early, so
/// that daemons which hear of it only rarely learn of a loss in time.
class Membership {
 public:
  /// Without news, direct or relayed, for this time a member is suspect.
  static constexpr Duration kSuspectAfter = std::chrono::milliseconds(1500);
  /// Bound on detecting a loss, less one tick and the delay of a message.
  static constexpr Duration kGoneAfter =
      std::chrono::seconds(2) - std::chrono::milliseconds(200);
  /// A neighbour silent for this long is reported to the others, so that the
  /// report arrives before kGoneAfter. Two heartbeats are missing by then.
  static constexpr Duration kReportAfter = std::chrono::milliseconds(1100);
  /// Bound for members that are no neighbours and that nobody reported.
  static constexpr Duration kUnreportedGoneAfter = std::chrono::seconds(9);
  static constexpr Duration kRetention = std::chrono::minutes(10);

  Membership(NodeIdentity self, EventSink& events);

  /// Takes in a description; a higher incarnation replaces the record.
  /// True if the member or its incarnation is new.
  bool ApplyDetail(const MemberDetail& detail, TimePoint now);

  /// News directly from the member.
  void ApplyDirectHeartbeat(NameHash node, std::uint32_t heartbeat,
                            const AnnouncedVersions& versions,
                            std::optional<TimePoint> exchanged_at,
                            TimePoint now);

  /// News relayed by another daemon whose digest was produced after
  /// `relay_exchanged_at`. False if the member's details are missing.
  bool ApplyRelayedEntry(const MemberEntry& entry,
                         const AnnouncedVersions& relay,
                         std::optional<TimePoint> relay_exchanged_at,
                         TimePoint now);

  /// The member said farewell.
  void MarkLeft(NameHash node, std::uint64_t incarnation);

  /// The member acknowledged versions.
  void RecordAcknowledgement(NameHash node, const AnnouncedVersions& versions);

  /// Moves members between states; `neighbours` are heard directly since the
  /// time given for each.
  void Expire(const std::unordered_map<NameHash, TimePoint>& neighbours,
              TimePoint now);

  /// Short form for a digest of a daemon that announces `own`.
  static MemberEntry EntryFor(NameHash node, const MemberRecord& record,
                              const AnnouncedVersions& own, TimePoint now);

  const MemberRecord* Find(NameHash node) const;
  const MemberRecord* FindByName(std::string_view node) const;
  const std::unordered_map<NameHash, MemberRecord>& records() const {
    return this->members;
  }
  const NodeIdentity& self() const { return this->identity; }

  /// Changes whenever the set of members that are not gone or left changes.
  std::uint64_t present_set_revision() const { return this->present_revision; }

  /// Changes with each urgent_revision of a record.
  std::uint64_t urgent_change_count() const { return this->urgent_changes; }

  MembersView View() const;
  std::size_t EstimateStateBytes() const;

 private:
  void MarkUrgent(MemberRecord& record);
  /// Takes in a neighbour's report that the member is silent.
  void ApplySuspicion(const MemberEntry& entry, TimePoint heard_at,
                      MemberRecord& record);
  /// Takes in a relayed heartbeat; one that the reporter did not see refutes
  /// its report.
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
