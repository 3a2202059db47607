#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foundation/asio.h"
#include "foundation/clock.h"
#include "foundation/error.h"
#include "relay/load_report.h"
#include "relay/relay.h"

namespace qp::relay {

/// Keeps the latest load report of each peer and of each other zone, and sums
/// their loads by backend server.
class PeerLoads {
 public:
  /// Age above which a report is dropped. Most of the requests that it counts
  /// have ended by then, and a process that has stopped must not reserve
  /// capacity for longer.
  static constexpr Duration kMaxAge = std::chrono::milliseconds(1500);

  explicit PeerLoads(std::string zone) : own_zone(std::move(zone)) {}

  /// Ignores a report that is not newer than the last one of its node. A report
  /// that covers a zone replaces the last one of that zone, from any node.
  void Put(LoadReport report, TimePoint now);
  /// Drops the reports that are older than kMaxAge.
  void Expire(TimePoint now);
  /// Writes the sums to the servers of the directory. The report that covers a
  /// zone replaces those of the zone's processes.
  void Apply(ServerDirectory& servers) const;
  /// Turns the report of this process into one that covers its zone, by adding
  /// the loads of the peers in the zone. The sums state no age of a progress,
  /// because those of the peers are as old as their reports.
  void AddZoneLoads(LoadReport& report) const;
  /// Whether a report that covers `zone` has arrived and not expired.
  bool HasZone(std::string_view zone) const {
    return this->zones.contains(zone);
  }
  std::size_t size() const { return this->reports.size(); }
  /// Number of peers of the own zone whose reports have not expired.
  std::size_t CountInZone() const;

 private:
  struct Entry {
    LoadReport report;
    TimePoint received{};  ///< Time of arrival.
  };
  static void Apply(const LoadReport& report, ServerDirectory& servers);

  std::string own_zone;
  /// Last report of each peer, by node.
  std::map<std::string, Entry, std::less<>> reports;
  /// Last report that covers another zone, by zone.
  std::map<std::string, Entry, std::less<>> zones;
};

/// Keeps requests of this process away from servers that refuse requests of the
/// sender of `report`, for the time that the report states but at most
/// kMaxRefusalBackoff.
void ApplyRefusals(const LoadReport& report, const ServerDirectory& servers,
                   TimePoint now);

/// Applies what the sender of `report` knows of engines: which have made
/// progress, and which requests wait for in vain. A process has too few streams
/// to see progress of each engine by itself, and would suspect engines that
/// only are slow.
void ApplyEngineEvidence(const LoadReport& report,
                         const ServerDirectory& servers, TimePoint now);

/// Handles the members of load reports other than the loads and the refusals.
class ReportListener {
 public:
  virtual ~ReportListener() = default;
  virtual void OnReport(const LoadReport& report) = 0;
  /// Fills in the members other than the loads and the refusals.
  virtual void FillReport(LoadReport& report) = 0;
};

/// Exchanges reports between the processes of a deployment: each process's load
/// on the backend servers and what it has read from the store. Reports are
/// datagrams; a lost one is superseded by the next.
///
/// Each report goes to the peers of the same zone, which use the same engines,
/// and only some reports go to other zones. In large deployments only the
/// holder of the lease for changing the engines' layers sends its own report to
/// other zones. Instead, each process regularly sends the load of its whole
/// zone to one random process of each other zone (rumour spreading after Demers
/// et al., "Epidemic algorithms for replicated database maintenance", PODC
/// 1987). With zones of similar size, each process receives one report of each
/// other zone per round on average, and no single process has to report for its
/// zone.
class LoadGossip {
 public:
  /// Time between two reports to a peer of the zone. At current deployment
  /// sizes a process receives about two requests in that time, so its load
  /// differs from its last report by about two requests.
  static constexpr Duration kInterval = std::chrono::milliseconds(150);
  /// Limits the reports that a process receives: in a zone with n whole groups
  /// of this many processes, the time between two reports is n times kInterval.
  /// A process of a zone with at least one group receives 200 to 400 reports a
  /// second, and 200 if all groups are full.
  static constexpr std::size_t kProcessesPerInterval = 30;
  /// A report to the peers of the zone also goes to the other zones if its
  /// number is a multiple of this.
  static constexpr std::uint64_t kReportsPerOtherZoneReport = 3;
  /// With fewer peers than this, each process sends its reports to all other
  /// processes. Otherwise only the holder of the lease sends its reports to all
  /// processes of other zones.
  static constexpr std::size_t kFullMeshPeerLimit = 24;

  /// Longest time that a process that starts waits for the report of a peer.
  /// Reports of the own zone arrive every 150 ms in small deployments.
  static constexpr Duration kMaxFirstReportWait =
      std::chrono::milliseconds(1000);
  /// Senders that are reported to although the registry does not name them yet.
  static constexpr std::size_t kMaxLearnedPeers = 1000;

  LoadGossip(RelayContext& relay, Clock& clock, std::string node,
             ReportListener& listener);

  /// Receives reports on `address`, "IP:port". kUnavailable if the socket
  /// cannot be opened or bound.
  Result<void> Listen(std::string_view address);
  /// Sets the processes to report to. `zone_by_address` contains all processes
  /// of the deployment, this one included.
  void SetPeers(std::map<std::string, std::string> zone_by_address);
  /// Sends reports until the process ends.
  Task<void> Run();
  /// Sends a report to the peers of the zone at once, without waiting for the
  /// interval. `to_other_zones`: also to all processes of other zones.
  void SendUpdate(bool to_other_zones = false);
  bool has_peers() const { return !this->peers.empty(); }
  /// Whether this process knows what its peers know: one of them has reported,
  /// or there are none, or none has reported for kMaxFirstReportWait. False
  /// before SetPeers.
  bool has_joined() const;

 private:
  /// The load of the zone is sent after a report whose number is a multiple of
  /// this.
  static constexpr std::uint64_t kReportsPerZoneReport = 2;

  void Receive();
  /// Reports to the sender of `report` from now on. A process that starts must
  /// not wait for its peers to count the processes again.
  void LearnPeer(const LoadReport& report);
  LoadReport MakeReport();
  void SendReports();
  void SendToPeers(LoadReport& report, bool to_other_zones);
  /// Sends the load of the zone to one random process of each other zone.
  void SendZoneReports(LoadReport report);
  void SendTo(std::string_view address, std::string_view bytes);
  void IndexOtherZones();
  /// Updates `is_full_mesh` and RelayContext::other_zones_known.
  void UpdateKnownZones();

  RelayContext& relay;
  Clock& clock;
  std::string node;
  ReportListener& listener;
  std::string own_address;
  /// Wall-clock time at which this process started.
  std::int64_t incarnation;
  asio::ip::udp::socket socket;
  /// Sender of the datagram that was received last.
  asio::ip::udp::endpoint sender;
  std::array<char, 32768> buffer;
  /// Time of the first SetPeers.
  std::optional<TimePoint> joined_at;
  bool has_heard_peer = false;
  /// Number of peers that LearnPeer has added since the last SetPeers.
  std::size_t learned_peers = 0;
  /// Zone of each peer, by address.
  std::map<std::string, std::string> peers;
  /// Addresses of the processes of each other zone, by zone.
  std::map<std::string, std::vector<std::string>> other_zones;
  /// Number of the last report of this process.
  std::uint64_t report_number = 0;
  /// Whether every process sends its reports to all peers.
  bool is_full_mesh = true;
  PeerLoads loads;
};

}  // namespace qp::relay
