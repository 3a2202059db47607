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

/// Latest report of each peer and of each other zone, added up by server.
class PeerLoads {
 public:
  /// Age at which a report no longer counts: its requests have mostly ended,
  /// and a peer that is gone must not take up room for longer.
  static constexpr Duration kMaxAge = std::chrono::milliseconds(1500);

  explicit PeerLoads(std::string zone) : own_zone(std::move(zone)) {}

  /// Ignores reports older than the one known of the node. Of a zone the last
  /// one to arrive counts, whoever sent it.
  void Put(LoadReport report, TimePoint now);
  void Expire(TimePoint now);
  /// Writes the sums into the servers of the directory.
  void Apply(ServerDirectory& servers) const;
  /// Adds the loads of the peers in this zone to those of this process.
  void AddZoneLoads(LoadReport& report) const;
  /// Whether a report that covers the zone is known.
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

/// Keeps requests away from the servers that refuse those of a peer, for as
/// long as the peer does.
void ApplyRefusals(const LoadReport& report, const ServerDirectory& servers,
                   TimePoint now);

/// Takes what peers report besides their load.
class ReportListener {
 public:
  virtual ~ReportListener() = default;
  virtual void OnReport(const LoadReport& report) = 0;
  /// Fills in what this process reports besides its load.
  virtual void FillReport(LoadReport& report) = 0;
};

/// Tells the processes of a deployment one another's load on the backend
/// servers and what they read from the store, by datagrams: a lost one is
/// replaced by the next.
///
/// Peers of the same zone are told often, as they use the same engines; peers
/// of other zones seldom. In large deployments the holder of the lease is the
/// only one to tell all of them. There each process sends the load of its whole
/// zone to one process of each other zone, drawn anew each time (rumour
/// spreading after Demers et al., "Epidemic algorithms for replicated database
/// maintenance", PODC 1987): with zones of like size each process hears of each
/// zone once a round on average, and no process has a part of its own in it.
class LoadGossip {
 public:
  /// Time between two reports to a peer of the zone. Some two requests per
  /// process come in that time at the sizes of today.
  static constexpr Duration kInterval = std::chrono::milliseconds(150);
  /// Peers in the zone from which on reports are sent less often, so that a
  /// process gets no more than some two hundred a second.
  static constexpr std::size_t kFullRatePeers = 30;
  /// Reports in the zone for each one to other zones.
  static constexpr std::uint64_t kReportsPerOtherZoneReport = 3;
  /// Processes from which on other zones are told nothing.
  static constexpr std::size_t kMaxForOtherZones = 24;

  LoadGossip(RelayContext& relay, Clock& clock, std::string node,
             ReportListener& listener);

  Result<void> Listen(std::string_view address);
  /// `zone_by_address` names all processes, this one included.
  void SetPeers(std::map<std::string, std::string> zone_by_address);
  /// Sends reports until the process ends.
  Task<void> Run();
  /// Tells the peers of the zone at once what is news.
  void SendUpdate();

 private:
  /// Reports in the zone for each one that covers the zone.
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
  std::uint64_t number = 0;
  bool all_told = true;  ///< Few enough peers for a report to each.
  PeerLoads loads;
};

}  // namespace qp::relay
