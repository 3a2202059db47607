#include "relay/load_exchange.h"

#include <algorithm>
#include <utility>

#include "foundation/wait.h"
#include "http/endpoint.h"

namespace qp::relay {

namespace {

using asio::ip::udp;

/// Largest report; what does not fit is left out, and peers read it from the
/// store themselves.
constexpr std::size_t kMaxReportBytes = 8 * 1024;

}  // namespace

void PeerLoads::Put(LoadReport report, TimePoint now) {
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
  std::erase_if(this->reports, [now](const auto& entry) {
    return now - entry.second.received > kMaxAge;
  });
}

void PeerLoads::Apply(ServerDirectory& servers) const {
  servers.ClearPeerLoads();
  for (const auto& [name, entry] : this->reports) {
    for (const auto& load : entry.report.loads) {
      if (const ServerPtr server = servers.Find(load.server)) {
        server->peer_streams += load.streams;
        server->peer_kv_token_layers += load.kv_token_layers;
      }
    }
  }
}

void TakeRefusals(const LoadReport& report, const ServerDirectory& servers,
                  TimePoint now) {
  for (const auto& refusal : report.refusals) {
    if (const ServerPtr server = servers.Find(refusal.server)) {
      const Duration remaining =
          std::chrono::milliseconds(refusal.remaining_ms);
      server->NotePeerRefusal(now + std::min(remaining, kLongestRefusal));
    }
  }
}

LoadExchange::LoadExchange(Relay& shared, Clock& time, std::string name,
                           ReportListener& receiver)
    : relay(shared),
      clock(time),
      node(std::move(name)),
      listener(receiver),
      incarnation(time.WallNow()),
      socket(shared.io) {}

Result<void> LoadExchange::Listen(std::string_view address) {
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

void LoadExchange::SetPeers(
    std::map<std::string, std::string> zone_by_address) {
  this->peers = std::move(zone_by_address);
  this->peers.erase(this->own_address);
  this->relay.other_zones_known = this->peers.size() < kMaxForOtherZones;
}

void LoadExchange::Receive() {
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
            this->listener.OnReport(report.value());
            TakeRefusals(report.value(), this->relay.servers,
                         this->clock.Now());
            this->loads.Put(std::move(report.value()), this->clock.Now());
          }
        }
        this->Receive();
      });
}

Task<void> LoadExchange::Run() {
  while (true) {
    const std::size_t in_zone =
        static_cast<std::size_t>(std::max(1.0, this->relay.processes_in_zone));
    const auto slowdown = std::max<std::size_t>(1, in_zone / kFullRatePeers);
    co_await SleepFor(this->clock, kInterval * slowdown);
    this->loads.Expire(this->clock.Now());
    this->loads.Apply(this->relay.servers);
    this->SendReports();
  }
}

LoadReport LoadExchange::MakeReport() {
  LoadReport report;
  report.node = this->node;
  report.availability_zone = this->relay.availability_zone;
  report.incarnation = this->incarnation;
  report.number = ++this->number;
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
      report.loads.push_back(
          {server.record.id, server.in_flight, server.kv_token_layers});
    }
  });
  this->relay.servers.ClearUnreportedLoads();
  this->listener.Describe(report);
  return report;
}

void LoadExchange::SendReports() {
  LoadReport report = this->MakeReport();
  std::string bytes = EncodeLoadReport(report);
  if (bytes.size() > kMaxReportBytes) {
    report.news.clear();
    bytes = EncodeLoadReport(report);
  }
  const bool to_others = this->number % kOtherZoneEvery == 0 &&
                         (this->relay.other_zones_known || report.holds_lease);
  for (const auto& [address, zone] : this->peers) {
    if (zone != this->relay.availability_zone && !to_others) {
      continue;
    }
    const auto peer = http::ParseEndpoint(address);
    if (!peer) {
      continue;
    }
    boost::system::error_code failure;
    this->socket.send_to(
        asio::buffer(bytes),
        udp::endpoint(peer.value().address(), peer.value().port()), 0, failure);
    if (failure) {
      this->relay.metrics.Count("quetzalpost_load_reports_total", "unsent");
    }
  }
}

}  // namespace qp::relay
