#include "relay/load_gossip.h"

#include <algorithm>
#include <random>
#include <utility>

#include "foundation/wait.h"
#include "http/endpoint.h"

namespace qp::relay {

namespace {

using asio::ip::udp;

/// Largest size of a report, in bytes. Server list updates are left out of a
/// larger report, and peers read them from the store themselves.
constexpr std::size_t kMaxReportBytes = 8 * 1024;
/// Largest size of a report that covers a zone, in bytes. It has room for about
/// 800 servers; a larger report is not sent.
constexpr std::size_t kMaxZoneReportBytes = 24 * 1024;

std::uint32_t CountMillis(Duration duration) {
  return static_cast<std::uint32_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

std::uint16_t ProgressAge(const Server& server, TimePoint now) {
  return server.progressed_at
             ? static_cast<std::uint16_t>(std::min<std::uint32_t>(
                   CountMillis(now - *server.progressed_at),
                   kUnknownProgressAge))
             : kUnknownProgressAge;
}

/// Longest usual time from the making of a report to its use: a report waits
/// for a busy process. Progress must not appear later than it was, since an
/// engine can have failed in between.
constexpr Duration kMaxReportDelay = std::chrono::milliseconds(100);

}  // namespace

void PeerLoads::Put(LoadReport report, TimePoint now) {
  if (report.covers_zone) {
    std::string zone = report.availability_zone;
    if (zone == this->own_zone) {
      return;  // Processes of the own zone send their reports directly.
    }
    this->zones.insert_or_assign(std::move(zone),
                                 Entry{std::move(report), now});
    return;
  }
  const auto found = this->reports.find(report.node);
  if (found != this->reports.end()) {
    const LoadReport& known = found->second.report;
    if (std::pair(report.incarnation, report.number) <=
        std::pair(known.incarnation, known.number)) {
      return;
    }
  }
  std::string name = report.node;
  this->reports.insert_or_assign(std::move(name),
                                 Entry{std::move(report), now});
}

void PeerLoads::Expire(TimePoint now) {
  const auto is_expired = [now](const auto& entry) {
    return now - entry.second.received > kMaxAge;
  };
  std::erase_if(this->reports, is_expired);
  std::erase_if(this->zones, is_expired);
}

std::size_t PeerLoads::CountInZone() const {
  return static_cast<std::size_t>(std::count_if(
      this->reports.begin(), this->reports.end(), [this](const auto& entry) {
        return entry.second.report.availability_zone == this->own_zone;
      }));
}

void PeerLoads::Apply(const LoadReport& report, ServerDirectory& servers) {
  for (const auto& load : report.loads) {
    if (const ServerPtr server = servers.Find(load.server)) {
      server->peer_streams += load.streams;
      server->peer_kv_token_layers += load.kv_token_layers;
    }
  }
}

void PeerLoads::Apply(ServerDirectory& servers) const {
  servers.ClearPeerLoads();
  for (const auto& [name, entry] : this->reports) {
    // The report of a zone already includes those of its processes.
    if (!this->zones.contains(entry.report.availability_zone)) {
      Apply(entry.report, servers);
    }
  }
  for (const auto& [zone, entry] : this->zones) {
    if (zone != this->own_zone) {
      Apply(entry.report, servers);
    }
  }
}

void PeerLoads::AddZoneLoads(LoadReport& report) const {
  std::map<std::string, ServerLoad> sums;
  const auto add = [&sums](const LoadReport& part) {
    for (const auto& load : part.loads) {
      ServerLoad& sum = sums[load.server];
      sum.server = load.server;
      sum.streams += load.streams;
      sum.kv_token_layers += load.kv_token_layers;
    }
  };
  add(report);
  for (const auto& [name, entry] : this->reports) {
    if (entry.report.availability_zone == this->own_zone) {
      add(entry.report);
    }
  }
  report.covers_zone = true;
  report.loads.clear();
  for (auto& [id, sum] : sums) {
    report.loads.push_back(std::move(sum));
  }
}

void ApplyRefusals(const LoadReport& report, const ServerDirectory& servers,
                   TimePoint now) {
  for (const auto& refusal : report.refusals) {
    if (const ServerPtr server = servers.Find(refusal.server)) {
      const Duration remaining =
          std::chrono::milliseconds(refusal.remaining_ms);
      server->RecordPeerRefusal(now + std::min(remaining, kMaxRefusalBackoff));
    }
  }
}

void ApplyEngineEvidence(const LoadReport& report,
                         const ServerDirectory& servers, TimePoint now) {
  for (const auto& load : report.loads) {
    const ServerPtr server = servers.Find(load.server);
    if (server != nullptr && !server->record.layers.empty() &&
        load.progress_age_ms != kUnknownProgressAge) {
      server->RecordPeerProgress(
          now - std::chrono::milliseconds(load.progress_age_ms) -
          kMaxReportDelay);
    }
  }
  for (const auto& loss : report.losses) {
    const ServerPtr server = servers.Find(loss.server);
    if (server != nullptr && !server->record.layers.empty()) {
      const Duration remaining = std::min<Duration>(
          std::chrono::milliseconds(loss.remaining_ms), kMaxSuspicion);
      const Duration age = std::min<Duration>(
          std::chrono::milliseconds(loss.age_ms), kMaxSuspicion);
      server->RecordPeerLoss(now - age, now + remaining);
    }
  }
}

LoadGossip::LoadGossip(RelayContext& context, Clock& time, std::string name,
                       ReportListener& receiver)
    : relay(context),
      clock(time),
      node(std::move(name)),
      listener(receiver),
      incarnation(time.WallNow()),
      socket(context.io),
      loads(context.availability_zone) {}

Result<void> LoadGossip::Listen(std::string_view address) {
  BOOST_OUTCOME_TRY(parsed, http::ParseEndpoint(address));
  const udp::endpoint endpoint(parsed.address(), parsed.port());
  boost::system::error_code failure;
  this->socket.open(endpoint.protocol(), failure);
  if (!failure) {
    this->socket.bind(endpoint, failure);
  }
  if (!failure) {
    this->socket.non_blocking(true, failure);
  }
  if (failure) {
    return Error{ErrorCode::kUnavailable, "load.listen", std::string(address),
                 failure.message()};
  }
  this->own_address = address;
  this->Receive();
  return Ok();
}

void LoadGossip::SetPeers(std::map<std::string, std::string> zone_by_address) {
  this->peers = std::move(zone_by_address);
  this->peers.erase(this->own_address);
  this->learned_peers = 0;
  if (!this->joined_at) {
    this->joined_at = this->clock.Now();
  }
  this->IndexOtherZones();
}

bool LoadGossip::has_joined() const {
  return this->joined_at &&
         (this->has_heard_peer || this->peers.empty() ||
          this->clock.Now() - *this->joined_at >= kMaxFirstReportWait);
}

void LoadGossip::LearnPeer(const LoadReport& report) {
  this->has_heard_peer = true;
  const std::string address = this->sender.address().to_string() + ":" +
                              std::to_string(this->sender.port());
  if (address == this->own_address || this->peers.contains(address) ||
      this->learned_peers >= kMaxLearnedPeers) {
    return;
  }
  ++this->learned_peers;
  this->relay.metrics.Count("quetzalpost_load_reports_total", "new_sender");
  this->peers.emplace(address, report.availability_zone);
  this->IndexOtherZones();
}

void LoadGossip::IndexOtherZones() {
  this->other_zones.clear();
  for (const auto& [address, zone] : this->peers) {
    if (zone != this->relay.availability_zone) {
      this->other_zones[zone].push_back(address);
    }
  }
  this->UpdateKnownZones();
}

void LoadGossip::UpdateKnownZones() {
  this->is_full_mesh = this->peers.size() < kFullMeshPeerLimit;
  this->relay.other_zones_known =
      this->is_full_mesh ||
      std::all_of(
          this->other_zones.begin(), this->other_zones.end(),
          [this](const auto& zone) { return this->loads.HasZone(zone.first); });
}

void LoadGossip::Receive() {
  this->socket.async_receive_from(
      asio::buffer(this->buffer), this->sender,
      [this](boost::system::error_code failure, std::size_t size) {
        if (failure == asio::error::operation_aborted) {
          return;
        }
        if (!failure) {
          auto report = DecodeLoadReport({this->buffer.data(), size});
          if (!report) {
            this->relay.metrics.Count("quetzalpost_load_reports_total",
                                      "malformed");
          } else if (report.value().node != this->node) {
            this->LearnPeer(report.value());
            this->listener.OnReport(report.value());
            ApplyRefusals(report.value(), this->relay.servers,
                          this->clock.Now());
            ApplyEngineEvidence(report.value(), this->relay.servers,
                                this->clock.Now());
            this->loads.Put(std::move(report.value()), this->clock.Now());
          }
        }
        this->Receive();
      });
}

Task<void> LoadGossip::Run() {
  while (true) {
    const std::size_t process_count =
        static_cast<std::size_t>(std::max(1.0, this->relay.processes_in_zone));
    const auto slowdown =
        std::max<std::size_t>(1, process_count / kProcessesPerInterval);
    co_await SleepFor(this->clock, kInterval * slowdown);
    this->loads.Expire(this->clock.Now());
    this->loads.Apply(this->relay.servers);
    this->UpdateKnownZones();
    this->relay.silent_processes_in_zone =
        std::max(0.0, this->relay.processes_in_zone - 1 -
                          static_cast<double>(this->loads.CountInZone()));
    this->SendReports();
  }
}

LoadReport LoadGossip::MakeReport() {
  LoadReport report;
  report.node = this->node;
  report.availability_zone = this->relay.availability_zone;
  report.incarnation = this->incarnation;
  report.number = ++this->report_number;
  const TimePoint now = this->clock.Now();
  this->relay.servers.ForEach([&report, now](const Server& server) {
    if (now < server.refusing_until) {
      const auto remaining =
          std::chrono::duration_cast<std::chrono::milliseconds>(
              server.refusing_until - now);
      report.refusals.push_back(
          {server.record.id, static_cast<std::uint32_t>(remaining.count())});
    }
    if (server.in_flight > 0) {
      report.loads.push_back({server.record.id, server.in_flight,
                              server.kv_token_layers,
                              ProgressAge(server, now)});
    }
    if (server.lost_at && now < server.suspect_until &&
        server.last_progress < *server.lost_at) {
      report.losses.push_back({server.record.id,
                               CountMillis(now - *server.lost_at),
                               CountMillis(server.suspect_until - now)});
    }
  });
  this->relay.servers.ClearUnreportedLoads();
  this->listener.FillReport(report);
  return report;
}

void LoadGossip::SendReports() {
  LoadReport report = this->MakeReport();
  const bool to_other_zones =
      this->report_number % kReportsPerOtherZoneReport == 0 &&
      (this->is_full_mesh || report.holds_lease);
  this->SendToPeers(report, to_other_zones);
  if (!this->is_full_mesh && this->report_number % kReportsPerZoneReport == 0) {
    this->SendZoneReports(std::move(report));
  }
}

void LoadGossip::SendUpdate(bool to_other_zones) {
  LoadReport report = this->MakeReport();
  this->SendToPeers(report, to_other_zones);
}

void LoadGossip::SendToPeers(LoadReport& report, bool to_other_zones) {
  std::string bytes = EncodeLoadReport(report);
  if (bytes.size() > kMaxReportBytes) {
    report.updates.clear();
    bytes = EncodeLoadReport(report);
  }
  for (const auto& [address, zone] : this->peers) {
    if (zone == this->relay.availability_zone || to_other_zones) {
      this->SendTo(address, bytes);
    }
  }
}

void LoadGossip::SendZoneReports(LoadReport report) {
  this->loads.AddZoneLoads(report);
  report.updates.clear();
  const std::string bytes = EncodeLoadReport(report);
  if (bytes.size() > kMaxZoneReportBytes) {
    this->relay.metrics.Count("quetzalpost_load_reports_total", "too_large");
    return;
  }
  for (const auto& [zone, addresses] : this->other_zones) {
    const auto chosen = std::uniform_int_distribution<std::size_t>(
        0, addresses.size() - 1)(this->relay.random);
    this->SendTo(addresses[chosen], bytes);
  }
}

void LoadGossip::SendTo(std::string_view address, std::string_view bytes) {
  const auto peer = http::ParseEndpoint(address);
  if (!peer) {
    return;  // The peer's registry entry has no valid address.
  }
  boost::system::error_code failure;
  this->socket.send_to(
      asio::buffer(bytes.data(), bytes.size()),
      udp::endpoint(peer.value().address(), peer.value().port()), 0, failure);
  if (failure) {
    this->relay.metrics.Count("quetzalpost_load_reports_total", "unsent");
  }
}

}  // namespace qp::relay
