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

/// Versions that this daemon announces and budget shortages that it knows of.
/// Its digests contain them in addition to members and observations.
struct LocalUpdate {
  AnnouncedVersions versions;
  std::vector<ShortageEntry> shortages;
};

/// Exchanges digests with peers. Records for each peer what that peer already
/// knows, so that an entry is sent over each link about once, and keeps each
/// regular digest within its share of kRegularBytesPerSecond.
class Gossip {
 public:
  static constexpr Duration kRoundInterval = std::chrono::milliseconds(500);
  /// Maximum rate of the regular digests to all neighbours together. The limit
  /// for all messages of a daemon is 8 KB/s; the rest is reserved for urgent
  /// updates and configurations.
  static constexpr std::size_t kRegularBytesPerSecond = 7000;
  /// Maximum size of the details of members in a digest, and separately of the
  /// details of backend servers. Details do not count towards
  /// kRegularBytesPerSecond, so that a daemon that joins learns all members
  /// within seconds.
  static constexpr std::size_t kMaxDetailBytes = 4096;
  /// HaveAllPeersRespondedOrTimedOut does not wait for a peer that has not
  /// responded for this time after the first digest to it.
  static constexpr Duration kResponseTimeout = std::chrono::seconds(2);

  Gossip(Membership& membership, ObservationGossip& observations,
         std::vector<std::string> seeds, std::uint64_t random_seed);

  void SetContacts(std::vector<std::string> addresses);

  /// Sends a digest to each neighbour at the next Tick.
  void RequestRound() { this->round_requested = true; }

  void Tick(const LocalUpdate& update, TimePoint now,
            std::vector<Envelope>& out);

  /// Applies a digest and replies if the sender wants a reply and is not a
  /// neighbour. Returns false for a digest of an earlier incarnation; only the
  /// member details of such a digest are applied.
  bool OnDigest(const MessageHeader& header, const Digest& digest,
                const LocalUpdate& update, TimePoint now,
                std::vector<Envelope>& out);

  /// Whether each known or configured peer has responded or has been silent
  /// for kResponseTimeout since the first digest to it.
  bool HaveAllPeersRespondedOrTimedOut(TimePoint now) const;

  /// Returns the interval at which an observer publishes its observation of a
  /// backend server again. Urgent changes are published earlier.
  /// Without a full mesh, each publication is sent over about 3 links per node:
  /// 600 workers x 12 bytes x 3 / 8 s = 2.7 KB/s. Smaller clusters use fewer
  /// bytes for members and can publish more often.
  Duration ObservationInterval() const;

  std::size_t EstimateStateBytes() const;

 private:
  /// Latest state of a member that a peer is known to have received.
  struct KnownMember {
    bool has_detail = false;
    std::uint64_t incarnation = 0;
    std::uint64_t configuration_version = 0;
    std::uint32_t heartbeat = 0;
    std::uint32_t urgent_revision = 0;
    std::uint8_t resends_left = 0;  ///< Resends of the latest urgent update.
  };

  /// Latest observation of a backend server that a peer is known to have
  /// received.
  struct KnownObservation {
    bool has_detail = false;
    std::uint8_t detail_tag = 0;
    std::uint8_t resends_left = 0;  ///< Resends of the latest urgent update.
    std::uint32_t counter = 0;
    std::uint32_t urgent_revision = 0;
  };

  struct SentDigest {
    std::uint32_t sequence = 0;
    TimePoint at{};
  };

  struct Peer {
    std::uint64_t incarnation = 0;  ///< 0 until the first digest arrives.
    std::uint32_t sequence = 0;     ///< Number of the latest sent digest.
    /// Number of the newest digest received from the peer; 0 if none.
    std::uint32_t received_sequence = 0;
    /// The latest digests sent to the peer, at index `sequence % 32`.
    std::array<SentDigest, 32> sent;
    std::optional<TimePoint> first_sent_at;
    TimePoint last_sent_at{};
    TimePoint last_used_at{};
    bool responded = false;
    bool knows_self = false;  ///< The peer has echoed a digest of this daemon.
    std::unordered_map<NameHash, KnownMember> members;
    std::unordered_map<NameHash, KnownObservation> observations;
    std::size_t observation_cursor = 0;
    /// Names whose details this daemon has to request from the peer.
    std::set<NameHash> missing_details;
    /// Names whose details the peer has requested from this daemon.
    std::set<NameHash> requested_details;
    /// UrgentChangeCount() at the latest digest with urgent updates.
    std::uint64_t urgent_changes_sent = 0;
    bool urgent_pending = true;  ///< Urgent updates or resends are due.
  };

  /// Contents of a digest.
  enum class Scope {
    kRegular,  ///< All entries that are due, within kRegularBytesPerSecond.
    kUrgent,   ///< Urgent updates and details that the peer lacks.
    kMinimal,  ///< This daemon's versions and the requested details.
  };

  Peer& PeerOf(const std::string& address, TimePoint now);
  void UpdateNeighbours(TimePoint now);
  std::uint64_t UrgentChangeCount() const;
  void SendRound(const LocalUpdate& update, TimePoint now,
                 std::vector<Envelope>& out);
  void SendUrgent(const LocalUpdate& update, TimePoint now,
                  std::vector<Envelope>& out);
  /// After the start, sends a digest in each round to every peer that has not
  /// responded, until kResponseTimeout.
  void SendToUnresponsivePeers(const LocalUpdate& update, TimePoint now,
                               std::vector<Envelope>& out);
  /// Sends a digest to a random address among the seeds, the contacts and the
  /// gone members. Excludes the addresses of members that are not gone.
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
  /// Neighbours by the hash of their names, with the time of their addition.
  std::unordered_map<NameHash, TimePoint> neighbours;
  std::size_t present_nodes = 1;  ///< Including this one.
  /// Membership::present_set_revision() that `neighbours` was computed for.
  std::uint64_t neighbours_revision = 0;
  std::uint32_t heartbeat = 0;
  std::uint32_t first_sequence;
  std::uint64_t rounds = 0;
  std::optional<TimePoint> next_round;
  bool round_requested = false;
  bool all_peers_responded_or_timed_out = false;
};

}  // namespace qp
