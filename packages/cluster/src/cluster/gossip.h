#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "cluster/identity.h"
#include "cluster/membership.h"
#include "cluster/messages.h"
#include "cluster/observation_gossip.h"
#include "foundation/clock.h"

namespace qp {

/// What this daemon's digests announce besides members and observations.
struct LocalUpdate {
  AnnouncedVersions versions;
  std::vector<ShortageEntry> shortages;
};

/// Sends digests to the neighbours and takes in those of peers. Remembers for
/// each peer what it knows, so that an entry crosses a link about once, and
/// keeps each digest within a share of the byte budget.
class Gossip {
 public:
  static constexpr Duration kRoundInterval = std::chrono::milliseconds(500);
  /// For regular digests to all neighbours, together. The bound for all
  /// messages is 8 KB/s; the rest is for urgent news and configurations.
  static constexpr std::size_t kRegularBytesPerSecond = 7000;
  /// For details that a peer does not know, per digest and beside the above,
  /// so that a daemon which joins learns the members within seconds.
  static constexpr std::size_t kMaxDetailBytes = 4096;
  /// A peer that was asked and has been silent for this time is skipped.
  static constexpr Duration kResponseTimeout = std::chrono::seconds(2);

  Gossip(Membership& membership, ObservationGossip& observations,
         std::vector<std::string> seeds, std::uint64_t random_seed);

  void SetContacts(std::vector<std::string> addresses);

  /// Sends a digest to each neighbour at the next Tick.
  void RequestRound() { this->round_requested = true; }

  void Tick(const LocalUpdate& update, TimePoint now,
            std::vector<Envelope>& out);

  /// Takes in a digest. False if it is of an earlier incarnation.
  bool OnDigest(const MessageHeader& header, const Digest& digest,
                const LocalUpdate& update, TimePoint now,
                std::vector<Envelope>& out);

  /// Whether each known or configured peer has answered or has been silent
  /// for kResponseTimeout.
  bool HasAskedAllPeers(TimePoint now) const;

  /// Interval at which an observation is spread anew. Beyond a full mesh it
  /// crosses about 3 links a node: 600 workers x 12 bytes x 3 / 8 s are
  /// 2.7 KB/s. Smaller clusters have more room for it beside the members.
  Duration ObservationInterval() const;

  std::size_t EstimateStateBytes() const;

 private:
  /// What a peer is known to have of a member.
  struct KnownMember {
    bool has_detail = false;
    std::uint64_t incarnation = 0;
    std::uint64_t configuration_version = 0;
    std::uint32_t heartbeat = 0;
    std::uint32_t urgent_revision = 0;
    std::uint8_t resends_left = 0;  ///< Times that urgent news is sent again.
  };

  /// What a peer is known to have of a backend server.
  struct KnownObservation {
    bool has_detail = false;
    std::uint8_t detail_tag = 0;
    std::uint8_t resends_left = 0;
    std::uint32_t counter = 0;
    std::uint32_t urgent_revision = 0;
  };

  struct SentDigest {
    std::uint32_t sequence = 0;
    TimePoint at{};
  };

  struct Peer {
    std::uint64_t incarnation = 0;  ///< 0 until heard.
    std::uint32_t sequence = 0;     ///< Of the latest digest sent.
    std::uint32_t received_sequence = 0;
    std::array<SentDigest, 32> sent;
    std::optional<TimePoint> first_sent_at;
    TimePoint last_sent_at{};
    TimePoint last_used_at{};
    bool answered = false;
    bool knows_self = false;
    std::unordered_map<NameHash, KnownMember> members;
    std::unordered_map<NameHash, KnownObservation> observations;
    std::size_t observation_cursor = 0;
    std::set<NameHash> missing_details;    ///< Details to ask for.
    std::set<NameHash> requested_details;  ///< Details that it asked for.
    std::uint64_t urgent_changes_sent = 0;
    bool urgent_pending = true;  ///< Urgent news is due or repeated.
  };

  enum class Scope { kRegular, kUrgent, kMinimal };

  Peer& PeerOf(const std::string& address, TimePoint now);
  void UpdateNeighbours(TimePoint now);
  std::uint64_t UrgentChangeCount() const;
  void SendRound(const LocalUpdate& update, TimePoint now,
                 std::vector<Envelope>& out);
  void SendUrgent(const LocalUpdate& update, TimePoint now,
                  std::vector<Envelope>& out);
  void SendToUnanswered(const LocalUpdate& update, TimePoint now,
                        std::vector<Envelope>& out);
  void Probe(const LocalUpdate& update, TimePoint now,
             std::vector<Envelope>& out);
  void SendDigest(const std::string& address, Scope scope,
                  const LocalUpdate& update, TimePoint now,
                  std::vector<Envelope>& out);
  void FillRequested(Peer& peer, const LocalUpdate& update, TimePoint now,
                     Digest& digest);
  void FillMembers(Peer& peer, const std::string& address, Scope scope,
                   const LocalUpdate& update, TimePoint now, Digest& digest);
  void FillObservations(Peer& peer, std::size_t bytes, TimePoint now,
                        Digest& digest);
  void FillUrgentObservations(Peer& peer, TimePoint now, Digest& digest);
  void AddObservation(Peer& peer, NameHash name,
                      const ObservationRecord& record, TimePoint now,
                      Digest& digest);
  void ApplyMembers(Peer& peer, const Digest& digest,
                    std::optional<TimePoint> exchanged_at, TimePoint now);
  void ApplyObservations(Peer& peer, const Digest& digest, TimePoint now);
  void RecordRequestedDetails(Peer& peer, const Digest& digest);
  std::vector<std::string> PeerAddresses() const;
  std::size_t MaxDigestBytes() const;
  bool IsFullMesh() const;

  Membership& membership;
  ObservationGossip& observations;
  std::vector<std::string> seeds;
  std::vector<std::string> contacts;
  std::mt19937_64 random;
  std::unordered_map<std::string, Peer> peers;
  std::unordered_map<NameHash, TimePoint> neighbours;  ///< Since when.
  std::size_t present_nodes = 1;                       ///< With this one.
  std::uint64_t neighbours_revision = 0;  ///< Of the members, for `neighbours`.
  std::uint32_t heartbeat = 0;
  std::uint32_t first_sequence;
  std::uint64_t rounds = 0;
  std::optional<TimePoint> next_round;
  bool round_requested = false;
  bool all_peers_asked = false;
};

}  // namespace qp
