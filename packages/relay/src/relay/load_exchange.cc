#include "relay/load_exchange.h"

#include <algorithm>
#include <msgpack.hpp>
#include <span>
#include <utility>

#include "foundation/wait.h"
#include "http/endpoint.h"

namespace qp::relay {

namespace {

using asio::ip::udp;

/// First member of each report; other datagrams are dropped.
constexpr std::uint32_t kReportFormat = 2;

/// Members of the arrays of a report.
constexpr std::size_t kReportMembers = 11;
constexpr std::size_t kLoadMembers = 3;
constexpr std::size_t kNewsMembers = 3;
constexpr std::size_t kEntryMembers = 3;
constexpr std::size_t kRecordMembers = 9;

/// Largest report; what does not fit is left out, and peers read it from the
/// store themselves.
constexpr std::size_t kMaxReportBytes = 8 * 1024;

using Packer = msgpack::packer<msgpack::sbuffer>;

Error Malformed(std::string detail) {
  return Error{ErrorCode::kProtocol, "load.decode", "", std::move(detail)};
}

/// Elements of an array; throws on anything else.
std::span<const msgpack::object> ElementsOf(const msgpack::object& object) {
  if (object.type != msgpack::type::ARRAY) {
    throw msgpack::type_error();
  }
  return {object.via.array.ptr, object.via.array.size};
}

std::span<const msgpack::object> ElementsOf(const msgpack::object& object,
                                            std::size_t count) {
  const auto elements = ElementsOf(object);
  if (elements.size() != count) {
    throw msgpack::type_error();
  }
  return elements;
}

ServerLoad LoadOf(const msgpack::object& object) {
  const auto members = ElementsOf(object, kLoadMembers);
  return {members[0].as<std::string>(), members[1].as<std::uint32_t>(),
          members[2].as<double>()};
}

void Pack(Packer& packer, const ServerRecord& record) {
  packer.pack_array(kRecordMembers);
  packer.pack(record.service);
  packer.pack(record.address);
  packer.pack(record.availability_zone);
  packer.pack(record.slots);
  packer.pack(record.draining);
  packer.pack(record.incarnation);
  packer.pack(record.accelerator);
  packer.pack(record.layers.first);
  packer.pack(record.layers.end);
}

ServerRecord RecordOf(const msgpack::object& object) {
  const auto members = ElementsOf(object, kRecordMembers);
  ServerRecord record;
  record.service = members[0].as<std::string>();
  record.address = members[1].as<std::string>();
  record.availability_zone = members[2].as<std::string>();
  record.slots = members[3].as<std::uint32_t>();
  record.draining = members[4].as<bool>();
  record.incarnation = members[5].as<std::int64_t>();
  record.accelerator = members[6].as<std::string>();
  record.layers = {members[7].as<std::uint32_t>(),
                   members[8].as<std::uint32_t>()};
  return record;
}

void Pack(Packer& packer, const ServerNews& news) {
  packer.pack_array(kNewsMembers);
  packer.pack(news.from);
  packer.pack(news.to);
  packer.pack_array(static_cast<std::uint32_t>(news.entries.size()));
  for (const auto& entry : news.entries) {
    packer.pack_array(kEntryMembers);
    packer.pack(entry.id);
    packer.pack(entry.removed);
    if (entry.record) {
      Pack(packer, *entry.record);
    } else {
      packer.pack_nil();
    }
  }
}

ServerNews NewsOf(const msgpack::object& object) {
  const auto members = ElementsOf(object, kNewsMembers);
  ServerNews news;
  news.from = members[0].as<std::uint64_t>();
  news.to = members[1].as<std::uint64_t>();
  for (const auto& element : ElementsOf(members[2])) {
    const auto parts = ElementsOf(element, kEntryMembers);
    ServerEntry entry;
    entry.id = parts[0].as<std::string>();
    entry.removed = parts[1].as<bool>();
    if (!parts[2].is_nil()) {
      entry.record = RecordOf(parts[2]);
      entry.record->id = entry.id;
    }
    news.entries.push_back(std::move(entry));
  }
  return news;
}

LoadReport ReportOf(const msgpack::object& object) {
  const auto members = ElementsOf(object, kReportMembers);
  if (members[0].as<std::uint32_t>() != kReportFormat) {
    throw msgpack::type_error();
  }
  LoadReport report;
  report.node = members[1].as<std::string>();
  report.availability_zone = members[2].as<std::string>();
  report.incarnation = members[3].as<std::int64_t>();
  report.number = members[4].as<std::uint64_t>();
  for (const auto& load : ElementsOf(members[5])) {
    report.loads.push_back(LoadOf(load));
  }
  report.configuration_version = members[6].as<std::uint64_t>();
  report.holds_lease = members[7].as<bool>();
  report.server_revision = members[8].as<std::uint64_t>();
  report.server_age_ms = members[9].as<std::uint32_t>();
  for (const auto& news : ElementsOf(members[10])) {
    report.news.push_back(NewsOf(news));
  }
  return report;
}

}  // namespace

std::string EncodeLoadReport(const LoadReport& report) {
  msgpack::sbuffer bytes;
  Packer packer(bytes);
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
  packer.pack(report.configuration_version);
  packer.pack(report.holds_lease);
  packer.pack(report.server_revision);
  packer.pack(report.server_age_ms);
  packer.pack_array(static_cast<std::uint32_t>(report.news.size()));
  for (const auto& news : report.news) {
    Pack(packer, news);
  }
  return {bytes.data(), bytes.size()};
}

Result<LoadReport> DecodeLoadReport(std::string_view bytes) {
  try {
    const auto handle = msgpack::unpack(bytes.data(), bytes.size());
    return ReportOf(handle.get());
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
  this->relay.servers.ForEach([&report](const Server& server) {
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
