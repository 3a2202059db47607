#include "relay/load_report.h"

#include <msgpack.hpp>
#include <span>
#include <utility>

#include "relay/admission/admission_report_codec.h"
#include "relay/request_limit.h"

namespace qp::relay {

namespace {

/// Version of the layout, the first member of each report. Datagrams with
/// another version are rejected.
constexpr std::uint32_t kReportFormat = 9;

// Lengths of the arrays in a report.
constexpr std::size_t kReportMembers = 20;
constexpr std::size_t kLoadMembers = 4;
constexpr std::size_t kRefusalMembers = 2;
constexpr std::size_t kLossMembers = 3;
constexpr std::size_t kUpdateMembers = 3;
constexpr std::size_t kEntryMembers = 3;
constexpr std::size_t kRecordMembers = 10;
constexpr std::size_t kPartMembers = 4;
constexpr std::size_t kCrashMembers = 3;
constexpr std::size_t kLimitMembers = 3;

using Packer = msgpack::packer<msgpack::sbuffer>;

Error Malformed(std::string detail) {
  return Error{ErrorCode::kProtocol, "load.decode", "", std::move(detail)};
}

/// Returns the elements of an array. Throws msgpack::type_error for any other
/// type.
std::span<const msgpack::object> ElementsOf(const msgpack::object& object) {
  if (object.type != msgpack::type::ARRAY) {
    throw msgpack::type_error();
  }
  return {object.via.array.ptr, object.via.array.size};
}

/// Throws msgpack::type_error unless the array has `count` elements.
std::span<const msgpack::object> ElementsOf(const msgpack::object& object,
                                            std::size_t count) {
  const auto elements = ElementsOf(object);
  if (elements.size() != count) {
    throw msgpack::type_error();
  }
  return elements;
}

ServerLoad DecodeLoad(const msgpack::object& object) {
  const auto members = ElementsOf(object, kLoadMembers);
  return {members[0].as<std::string>(), members[1].as<std::uint32_t>(),
          members[2].as<double>(), members[3].as<std::uint16_t>()};
}

ServerRefusal DecodeRefusal(const msgpack::object& object) {
  const auto members = ElementsOf(object, kRefusalMembers);
  return {members[0].as<std::string>(), members[1].as<std::uint32_t>()};
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
  packer.pack(record.heartbeats);
}

ServerRecord DecodeRecord(const msgpack::object& object) {
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
  record.heartbeats = members[9].as<std::uint64_t>();
  return record;
}

void Pack(Packer& packer, const ServerUpdate& update) {
  packer.pack_array(kUpdateMembers);
  packer.pack(update.from);
  packer.pack(update.to);
  packer.pack_array(static_cast<std::uint32_t>(update.entries.size()));
  for (const auto& entry : update.entries) {
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

ServerUpdate DecodeUpdate(const msgpack::object& object) {
  const auto members = ElementsOf(object, kUpdateMembers);
  ServerUpdate update;
  update.from = members[0].as<std::uint64_t>();
  update.to = members[1].as<std::uint64_t>();
  for (const auto& element : ElementsOf(members[2])) {
    const auto parts = ElementsOf(element, kEntryMembers);
    ServerEntry entry;
    entry.id = parts[0].as<std::string>();
    entry.removed = parts[1].as<bool>();
    if (!parts[2].is_nil()) {
      entry.record = DecodeRecord(parts[2]);
      entry.record->id = entry.id;
    }
    update.entries.push_back(std::move(entry));
  }
  return update;
}

void Pack(Packer& packer, const PartReport& report) {
  packer.pack_array(kPartMembers);
  packer.pack(report.part);
  packer.pack_array(static_cast<std::uint32_t>(report.crashes.size()));
  for (const auto& crash : report.crashes) {
    packer.pack_array(kCrashMembers);
    packer.pack(crash.engine);
    packer.pack(crash.crashed_ms_ago);
    packer.pack(crash.sent_ms_ago);
  }
  if (report.started_ms_ago) {
    packer.pack(*report.started_ms_ago);
  } else {
    packer.pack_nil();
  }
  packer.pack(report.trial_ms);
}

PartReport DecodePart(const msgpack::object& object) {
  const auto members = ElementsOf(object, kPartMembers);
  PartReport report;
  report.part = members[0].as<std::string>();
  for (const auto& element : ElementsOf(members[1])) {
    const auto parts = ElementsOf(element, kCrashMembers);
    report.crashes.push_back({parts[0].as<std::uint64_t>(),
                              parts[1].as<std::uint32_t>(),
                              parts[2].as<std::uint32_t>()});
  }
  if (!members[2].is_nil()) {
    report.started_ms_ago = members[2].as<std::uint32_t>();
  }
  report.trial_ms = members[3].as<std::uint32_t>();
  return report;
}

void Pack(Packer& packer, const LimitReport& report) {
  packer.pack_array(kLimitMembers);
  packer.pack(report.server);
  if (report.rate) {
    packer.pack(*report.rate);
  } else {
    packer.pack_nil();
  }
  packer.pack(report.age_ms);
}

LimitReport DecodeLimit(const msgpack::object& object) {
  const auto members = ElementsOf(object, kLimitMembers);
  LimitReport report;
  report.server = members[0].as<std::string>();
  if (!members[1].is_nil()) {
    report.rate = members[1].as<double>();
    // Not a number, negative and infinite limits are rejected.
    if (!(*report.rate >= 0 && *report.rate <= kMaxRequestLimit)) {
      throw msgpack::type_error();
    }
  }
  report.age_ms = members[2].as<std::uint32_t>();
  return report;
}

LoadReport DecodeReport(const msgpack::object& object) {
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
    report.loads.push_back(DecodeLoad(load));
  }
  report.configuration_version = members[6].as<std::uint64_t>();
  report.holds_lease = members[7].as<bool>();
  report.server_revision = members[8].as<std::uint64_t>();
  report.server_age_ms = members[9].as<std::uint32_t>();
  for (const auto& update : ElementsOf(members[10])) {
    report.updates.push_back(DecodeUpdate(update));
  }
  for (const auto& refusal : ElementsOf(members[11])) {
    report.refusals.push_back(DecodeRefusal(refusal));
  }
  report.covers_zone = members[12].as<bool>();
  report.configuration_age_ms = members[13].as<std::uint32_t>();
  report.reads_configuration = members[14].as<bool>();
  for (const auto& part : ElementsOf(members[15])) {
    report.parts.push_back(DecodePart(part));
  }
  for (const auto& limit : ElementsOf(members[16])) {
    report.limits.push_back(DecodeLimit(limit));
  }
  report.store_era = members[17].as<std::uint64_t>();
  report.admission = DecodeAdmission(members[18]);
  for (const auto& loss : ElementsOf(members[19])) {
    const auto parts = ElementsOf(loss, kLossMembers);
    report.losses.push_back({parts[0].as<std::string>(),
                             parts[1].as<std::uint32_t>(),
                             parts[2].as<std::uint32_t>()});
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
    packer.pack(load.progress_age_ms);
  }
  packer.pack(report.configuration_version);
  packer.pack(report.holds_lease);
  packer.pack(report.server_revision);
  packer.pack(report.server_age_ms);
  packer.pack_array(static_cast<std::uint32_t>(report.updates.size()));
  for (const auto& update : report.updates) {
    Pack(packer, update);
  }
  packer.pack_array(static_cast<std::uint32_t>(report.refusals.size()));
  for (const auto& refusal : report.refusals) {
    packer.pack_array(kRefusalMembers);
    packer.pack(refusal.server);
    packer.pack(refusal.remaining_ms);
  }
  packer.pack(report.covers_zone);
  packer.pack(report.configuration_age_ms);
  packer.pack(report.reads_configuration);
  packer.pack_array(static_cast<std::uint32_t>(report.parts.size()));
  for (const auto& part : report.parts) {
    Pack(packer, part);
  }
  packer.pack_array(static_cast<std::uint32_t>(report.limits.size()));
  for (const auto& limit : report.limits) {
    Pack(packer, limit);
  }
  packer.pack(report.store_era);
  PackAdmission(packer, report.admission);
  packer.pack_array(static_cast<std::uint32_t>(report.losses.size()));
  for (const auto& loss : report.losses) {
    packer.pack_array(kLossMembers);
    packer.pack(loss.server);
    packer.pack(loss.age_ms);
    packer.pack(loss.remaining_ms);
  }
  return {bytes.data(), bytes.size()};
}

Result<LoadReport> DecodeLoadReport(std::string_view bytes) {
  try {
    const auto handle = msgpack::unpack(bytes.data(), bytes.size());
    return DecodeReport(handle.get());
  } catch (const std::exception& failure) {
    return Malformed(failure.what());
  }
}

}  // namespace qp::relay
