#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "foundation/asio.h"
#include "foundation/clock.h"
#include "foundation/error.h"
#include "relay/load_report.h"
#include "relay/relay.h"

namespace qp::relay {

/// Sums the latest report of each peer and of each other zone by server.
class PeerLoads {
 public:
  /// Age above which a report is dropped: most of its requests have ended, and
  /// a process that has stopped must not reserve capacity for longer.
  static constexpr Duration kMaxAge = std::chrono::milliseconds(1500);

  explicit PeerLoads(std::string zone) : own_zone(std::move(zone)) {}

  /// Ignores a report that is not newer than the last one of its node. A report
  /// that covers a zone replaces the last one of that zone, from any node.
  void Put(LoadReport report, TimePoint now);
  void Expire(TimePoint now);
  /// Writes the sums to the servers of the directory.
  void Apply(ServerDirectory& servers) const;
  /// Adds the loads of the peers in this zone to those of this process.
  void AddZoneLoads(LoadReport& report) const;
  /// Whether a current report covers the zone.
  bool HasZone(std::string_view zone) const {
    return this->zones.contains(zone);
  }
  std::size_t size() const { return this->reports.size(); }

 private:
  struct Entry {
    LoadReport report;
    TimePoint received{};
  };
  static void Apply(const LoadReport& report, ServerDirectory& servers);

  std::string own_zone;
  std::map<std::string, Entry, std::less<>> reports;
  std::map<std::string, Entry, std::less<>> zones;
};

/// Keeps requests away from servers that refuse those of a peer, for as long as
/// the peer does but at most kMaxRefusalBackoff.
void ApplyRefusals(const LoadReport& report, const ServerDirectory& servers,
                   TimePoint now);

/// Handles the members of reports other than the load and the refusals.
class ReportListener {
 public:
  virtual ~ReportListener() = default;
  virtual void OnReport(const LoadReport& report) = 0;
  /// Fills in the members other than the load and the refusals.
  virtual void FillReport(LoadReport& report) = 0;
};

/// Exchanges reports between the processes of a deployment: each process's load
/// on the backend servers and what it has read from the store. Reports are
/// datagrams; a lost one is superseded by the next.
///
/// Reports go often to peers of the same zone, which use the same engines, and
/// seldom to other zones. In large deployments only the holder of the lease
/// reports to all processes. In addition, each process sends the load of its
/// whole zone to one random process of each other zone (rumour spreading after
/// Demers et al., "Epidemic algorithms for replicated database maintenance",
/// PODC 1987): with zones of similar size each process receives one report of
/// each zone per round on average, and the load of a zone does not depend on a
/// single process.
class LoadGossip {
 public:
  /// Time between two reports to a peer of the zone. A process receives about
  /// two requests in that time at current deployment sizes.
  static constexpr Duration kInterval = std::chrono::milliseconds(150);
  /// The interval is multiplied by the number of whole groups of this many
  /// processes in the zone. A process of a larger zone receives 200 to 400
  /// reports a second: 200 where the groups are full.
  static constexpr std::size_t kProcessesPerInterval = 30;
  /// Reports to the zone for each one that also goes to other zones.
  static constexpr std::uint64_t kReportsPerOtherZoneReport = 3;
  /// Number of peers from which on only the holder of the lease sends its
  /// reports to all processes in other zones.
  static constexpr std::size_t kFullMeshPeerLimit = 24;

  LoadGossip(RelayContext& relay, Clock& clock, std::string node,
             ReportListener& listener);

  Result<void> Listen(std::string_view address);
  /// `zone_by_address` contains all processes, this one included.
  void SetPeers(std::map<std::string, std::string> zone_by_address);
  /// Sends reports until the process ends.
  Task<void> Run();
  /// Sends a report to the peers of the zone at once, without waiting for the
  /// interval.
  void SendUpdate();

 private:
  /// Reports of the own load for each one that covers the zone.
  static constexpr std::uint64_t kReportsPerZoneReport = 2;

  void Receive();
  LoadReport MakeReport();
  void SendReports();
  void SendToPeers(LoadReport& report, bool to_other_zones);
  void SendZoneReports(LoadReport report);
  void SendTo(std::string_view address, std::string_view bytes);
  void UpdateKnownZones();

  RelayContext& relay;
  Clock& clock;
  std::string node;
  ReportListener& listener;
  std::string own_address;
  std::int64_t incarnation;
  asio::ip::udp::socket socket;
  asio::ip::udp::endpoint sender;
  std::array<char, 32768> buffer;
  std::map<std::string, std::string> peers;  ///< Zone by address.
  std::map<std::string, std::vector<std::string>> other_zones;
  std::uint64_t report_number = 0;
  bool is_full_mesh = true;  ///< Every process reports to all peers.
  PeerLoads loads;
};

}  // namespace qp::relay
