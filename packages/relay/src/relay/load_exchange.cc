#include "relay/load_exchange.h"

#include <algorithm>
#include <msgpack.hpp>
#include <utility>

#include "foundation/wait.h"
#include "http/endpoint.h"

namespace qp::relay {

namespace {

using asio::ip::udp;

/// First member of each report; other datagrams are dropped.
constexpr std::uint32_t kReportFormat = 1;

/// Members of a report and of a load on the wire.
constexpr std::size_t kReportMembers = 6;
constexpr std::size_t kLoadMembers = 3;

Error Malformed(std::string detail) {
  return Error{ErrorCode::kProtocol, "load.decode", "", std::move(detail)};
}

ServerLoad LoadOf(const msgpack::object& object) {
  if (object.type != msgpack::type::ARRAY ||
      object.via.array.size != kLoadMembers) {
    throw msgpack::type_error();
  }
  const msgpack::object* members = object.via.array.ptr;
  return {members[0].as<std::string>(), members[1].as<std::uint32_t>(),
          members[2].as<double>()};
}

}  // namespace

std::string EncodeLoadReport(const LoadReport& report) {
  msgpack::sbuffer bytes;
  msgpack::packer<msgpack::sbuffer> packer(bytes);
  packer.pack_array(kReportMembers);
  packer.pack(kReportFormat);
  packer.pack(report.node);
  packer.pack(report.availability_zone);
  packer.pack(report.incarnation);
  packer.pack(report.number);
  packer.pack_array(static_cast<std::uint32_t>(report.loads.size()));
  for (const auto& load : report.loads) {
    packer.pack_array(kLoadMembers);
    packer.pack(load.server);
    packer.pack(load.streams);
    packer.pack(load.kv_token_layers);
  }
  return {bytes.data(), bytes.size()};
}

Result<LoadReport> DecodeLoadReport(std::string_view bytes) {
  try {
    const auto handle = msgpack::unpack(bytes.data(), bytes.size());
    const msgpack::object& object = handle.get();
    if (object.type != msgpack::type::ARRAY ||
        object.via.array.size != kReportMembers) {
      return Malformed("not a report");
    }
    const msgpack::object* members = object.via.array.ptr;
    if (members[0].as<std::uint32_t>() != kReportFormat ||
        members[5].type != msgpack::type::ARRAY) {
      return Malformed("another format");
    }
    LoadReport report;
    report.node = members[1].as<std::string>();
    report.availability_zone = members[2].as<std::string>();
    report.incarnation = members[3].as<std::int64_t>();
    report.number = members[4].as<std::uint64_t>();
    const auto& loads = members[5].via.array;
    for (std::uint32_t index = 0; index < loads.size; ++index) {
      report.loads.push_back(LoadOf(loads.ptr[index]));
    }
    return report;
  } catch (const std::exception& failure) {
    return Malformed(failure.what());
  }
}

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

LoadExchange::LoadExchange(Relay& shared, Clock& time, std::string name)
    : relay(shared),
      clock(time),
      node(std::move(name)),
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

void LoadExchange::SetPeers(std::map<std::string, std::string> zone_by_address) {
  this->peers = std::move(zone_by_address);
  this->peers.erase(this->own_address);
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
            this->loads.Put(std::move(report.value()), this->clock.Now());
          }
        }
        this->Receive();
      });
}

Task<void> LoadExchange::Run() {
  while (true) {
    const std::size_t in_zone = static_cast<std::size_t>(
        std::max(1.0, this->relay.processes_in_zone));
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
  this->relay.servers.ForEach([&report](const Server& server) {
    if (server.in_flight > 0) {
      report.loads.push_back(
          {server.record.id, server.in_flight, server.kv_token_layers});
    }
  });
  return report;
}

void LoadExchange::SendReports() {
  const std::string bytes = EncodeLoadReport(this->MakeReport());
  const bool to_others = this->number % kOtherZoneEvery == 0 &&
                         this->peers.size() < kMaxForOtherZones;
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
