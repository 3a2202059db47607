#include "cluster/messages.h"

#include <algorithm>
#include <bit>
#include <limits>
#include <msgpack.hpp>
#include <stdexcept>
#include <tuple>

#include "foundation/hash.h"

namespace qp {

namespace {

/// Each member, observation and shortage is packed into three 32-bit words.
constexpr std::size_t kPackedWords = 3;
constexpr std::size_t kPackedBytes = kPackedWords * sizeof(std::uint32_t);

/// Appends the bytes of a word, lowest first.
void AppendWord(std::string& out, std::uint32_t word) {
  for (int shift = 0; shift < 32; shift += 8) {
    out.push_back(static_cast<char>(word >> shift));
  }
}

std::uint32_t ReadWord(std::string_view bytes, std::size_t index) {
  std::uint32_t word = 0;
  for (std::size_t byte = 0; byte < sizeof(word); ++byte) {
    const auto value =
        static_cast<unsigned char>(bytes[index * sizeof(word) + byte]);
    word |= static_cast<std::uint32_t>(value) << (8 * byte);
  }
  return word;
}

/// Reads bit fields of a word, starting with the lowest bits.
class BitReader {
 public:
  explicit BitReader(std::uint32_t word) : rest(word) {}

  std::uint32_t Take(int bits) {
    const std::uint32_t value = this->rest & ((1U << bits) - 1);
    this->rest >>= bits;
    return value;
  }

 private:
  std::uint32_t rest;
};

/// Writes bit fields into a word, starting with the lowest bits. A value that
/// does not fit into its field is replaced by the largest value that fits.
class BitWriter {
 public:
  BitWriter& Put(std::uint32_t value, int bits) {
    this->word |= std::min(value, (1U << bits) - 1) << this->used;
    this->used += bits;
    return *this;
  }

  std::uint32_t Word() const { return this->word; }

 private:
  std::uint32_t word = 0;
  int used = 0;
};

std::uint32_t PackFields(const MemberEntry& entry) {
  return BitWriter()
      .Put(static_cast<std::uint32_t>(entry.flag), 2)
      .Put(entry.incarnation, 8)
      .Put(entry.configuration_lag, 5)
      .Put(entry.generation_lag, 5)
      .Put(entry.heard_age, 5)
      .Put(entry.exchange_age, 7)
      .Word();
}

MemberEntry UnpackMember(std::string_view bytes) {
  MemberEntry entry;
  entry.node = ReadWord(bytes, 0);
  entry.heartbeat = ReadWord(bytes, 1);
  BitReader fields(ReadWord(bytes, 2));
  const std::uint32_t flag = fields.Take(2);
  if (flag > static_cast<std::uint32_t>(MemberEntry::Flag::kLeft)) {
    throw std::invalid_argument("unknown member flag");
  }
  entry.flag = static_cast<MemberEntry::Flag>(flag);
  entry.incarnation = static_cast<std::uint8_t>(fields.Take(8));
  entry.configuration_lag = fields.Take(5);
  entry.generation_lag = fields.Take(5);
  entry.heard_age = fields.Take(5);
  entry.exchange_age = fields.Take(7);
  return entry;
}

std::uint32_t PackFields(const ObservationEntry& entry) {
  return BitWriter()
      .Put(entry.running, 8)
      .Put(entry.queued, 8)
      .Put(entry.leaving ? 1 : 0, 1)
      .Put(entry.reachable ? 1 : 0, 1)
      .Put(entry.detail_tag, 6)
      .Put(entry.age, 7)
      .Word();
}

ObservationEntry UnpackObservation(std::string_view bytes) {
  ObservationEntry entry;
  entry.backend = ReadWord(bytes, 0);
  entry.counter = ReadWord(bytes, 1);
  BitReader fields(ReadWord(bytes, 2));
  entry.running = static_cast<std::uint8_t>(fields.Take(8));
  entry.queued = static_cast<std::uint8_t>(fields.Take(8));
  entry.leaving = fields.Take(1) == 1;
  entry.reachable = fields.Take(1) == 1;
  entry.detail_tag = static_cast<std::uint8_t>(fields.Take(6));
  entry.age = fields.Take(7);
  return entry;
}

// Bits for the units of a shortage. A shortage is at most the whole rate of a
// class (10^6 units), which is below 2^20.
constexpr int kShortageUnitsBits = 20;

ShortageEntry UnpackShortage(std::string_view bytes) {
  ShortageEntry entry;
  entry.node = ReadWord(bytes, 0);
  entry.class_name = ReadWord(bytes, 1);
  BitReader fields(ReadWord(bytes, 2));
  entry.units = fields.Take(kShortageUnitsBits);
  entry.age = fields.Take(7);
  return entry;
}

std::string PackEntries(const std::vector<MemberEntry>& entries) {
  std::string packed;
  packed.reserve(entries.size() * kPackedBytes);
  for (const MemberEntry& entry : entries) {
    AppendWord(packed, entry.node);
    AppendWord(packed, entry.heartbeat);
    AppendWord(packed, PackFields(entry));
  }
  return packed;
}

std::string PackEntries(const std::vector<ObservationEntry>& entries) {
  std::string packed;
  packed.reserve(entries.size() * kPackedBytes);
  for (const ObservationEntry& entry : entries) {
    AppendWord(packed, entry.backend);
    AppendWord(packed, entry.counter);
    AppendWord(packed, PackFields(entry));
  }
  return packed;
}

std::string PackEntries(const std::vector<ShortageEntry>& entries) {
  std::string packed;
  packed.reserve(entries.size() * kPackedBytes);
  for (const ShortageEntry& entry : entries) {
    AppendWord(packed, entry.node);
    AppendWord(packed, entry.class_name);
    AppendWord(packed, BitWriter()
                           .Put(entry.units, kShortageUnitsBits)
                           .Put(entry.age, 7)
                           .Word());
  }
  return packed;
}

/// Splits packed entries and decodes each with `unpack`. Throws
/// std::invalid_argument if the length is not a multiple of the entry size.
template <class Unpack>
auto UnpackEntries(const std::string& packed, Unpack unpack) {
  std::vector<decltype(unpack(std::string_view()))> entries;
  if (packed.size() % kPackedBytes != 0) {
    throw std::invalid_argument(
        "length of packed entries is not a multiple of 12 bytes");
  }
  entries.reserve(packed.size() / kPackedBytes);
  const std::string_view records = packed;
  for (std::size_t at = 0; at < packed.size(); at += kPackedBytes) {
    entries.push_back(unpack(records.substr(at, kPackedBytes)));
  }
  return entries;
}

// Structured values are sent as tuples, which msgpack-cxx packs as arrays.
using MemberDetailTuple = std::tuple<std::string, std::string, std::string,
                                     std::string, std::uint64_t>;
using BackendDetailTuple =
    std::tuple<std::string, std::uint64_t, std::string, std::string,
               std::string, std::uint32_t, std::uint32_t, std::uint32_t>;
using BudgetMemberTuple = std::tuple<std::string, std::uint64_t>;
using GenerationTuple =
    std::tuple<std::uint64_t, std::vector<BudgetMemberTuple>,
               std::vector<BudgetMemberTuple>>;

MemberDetailTuple ToTuple(const MemberDetail& value) {
  return {value.node, value.address, value.region, value.availability_zone,
          value.incarnation};
}

MemberDetail ToMemberDetail(MemberDetailTuple tuple) {
  auto& [node, address, region, zone, incarnation] = tuple;
  return {std::move(node), std::move(address), std::move(region),
          std::move(zone), incarnation};
}

BackendDetailTuple ToTuple(const BackendDetail& value) {
  return {value.backend, value.incarnation, value.kind,       value.model,
          value.service, value.first_layer, value.last_layer, value.slots};
}

BackendDetail ToBackendDetail(BackendDetailTuple tuple) {
  auto& [backend, incarnation, kind, model, service, first, last, slots] =
      tuple;
  return {std::move(backend),
          incarnation,
          std::move(kind),
          std::move(model),
          std::move(service),
          first,
          last,
          slots};
}

BudgetMemberTuple ToTuple(const policy::BudgetMember& member) {
  return {member.node, member.incarnation};
}

policy::BudgetMember ToBudgetMember(BudgetMemberTuple tuple) {
  return {std::move(std::get<0>(tuple)), std::get<1>(tuple)};
}

template <class Values>
auto ToTuples(const Values& values) {
  std::vector<decltype(ToTuple(values.front()))> tuples;
  tuples.reserve(values.size());
  for (const auto& value : values) {
    tuples.push_back(ToTuple(value));
  }
  return tuples;
}

template <class Tuples, class Convert>
auto FromTuples(Tuples tuples, Convert convert) {
  std::vector<decltype(convert(std::move(tuples.front())))> values;
  values.reserve(tuples.size());
  for (auto& tuple : tuples) {
    values.push_back(convert(std::move(tuple)));
  }
  return values;
}

using Packer = msgpack::packer<msgpack::sbuffer>;

template <class... Fields>
void PackArray(Packer& packer, const Fields&... fields) {
  packer.pack_array(sizeof...(fields));
  (packer.pack(fields), ...);
}

/// Packs the body of a message as an array.
struct PackBody {
  Packer& packer;

  void operator()(const Digest& body) const {
    PackArray(this->packer, body.node, body.sequence, body.echo,
              body.wants_reply, body.heartbeat, body.configuration_version,
              body.generation, PackEntries(body.members),
              ToTuples(body.member_details), PackEntries(body.observations),
              ToTuples(body.backend_details), PackEntries(body.shortages),
              body.missing_details);
  }

  void operator()(const ConfigurationRequest& body) const {
    PackArray(this->packer, static_cast<std::uint8_t>(body.document),
              body.version, body.parts);
  }

  void operator()(const ConfigurationPush& body) const {
    PackArray(this->packer, static_cast<std::uint8_t>(body.document),
              body.version, body.part, body.parts, body.content_hash,
              body.content);
  }

  void operator()(const ConfigurationAck& body) const {
    PackArray(this->packer, static_cast<std::uint8_t>(body.document),
              body.version, body.node);
  }

  void operator()(const policy::BudgetGrant& body) const {
    PackArray(this->packer, body.generation, body.number,
              body.acknowledged_below, ToTuple(body.giver),
              ToTuple(body.receiver), body.class_name, body.units);
  }

  void operator()(const BudgetGrantAck& body) const {
    PackArray(this->packer, body.generation, body.number);
  }

  void operator()(const LeaveMessage& body) const {
    PackArray(this->packer, body.node, body.configuration_version,
              body.generation);
  }
};

MessageKind KindOf(const Message& message) {
  return static_cast<MessageKind>(message.index() + 1);
}

/// Reads the elements of an array. Throws msgpack::type_error if the number of
/// elements or the type of an element differs.
class ArrayReader {
 public:
  ArrayReader(const msgpack::object& value, std::size_t size) : array(value) {
    if (value.type != msgpack::type::ARRAY || value.via.array.size != size) {
      throw msgpack::type_error();
    }
  }

  const msgpack::object& Next() {
    return this->array.via.array.ptr[this->index++];
  }

  template <class T>
  T Next() {
    return this->Next().as<T>();
  }

 private:
  const msgpack::object& array;
  std::size_t index = 0;
};

DocumentKind ToDocumentKind(std::uint8_t number) {
  if (number > static_cast<std::uint8_t>(DocumentKind::kBudgetGeneration)) {
    throw std::invalid_argument("document");
  }
  return static_cast<DocumentKind>(number);
}

Digest DecodeDigest(const msgpack::object& object) {
  ArrayReader reader(object, 13);
  Digest body;
  body.node = reader.Next<NameHash>();
  body.sequence = reader.Next<std::uint32_t>();
  body.echo = reader.Next<std::uint32_t>();
  body.wants_reply = reader.Next<bool>();
  body.heartbeat = reader.Next<std::uint32_t>();
  body.configuration_version = reader.Next<std::uint64_t>();
  body.generation = reader.Next<std::uint64_t>();
  body.members = UnpackEntries(reader.Next<std::string>(), UnpackMember);
  body.member_details =
      FromTuples(reader.Next<std::vector<MemberDetailTuple>>(), ToMemberDetail);
  body.observations =
      UnpackEntries(reader.Next<std::string>(), UnpackObservation);
  body.backend_details = FromTuples(
      reader.Next<std::vector<BackendDetailTuple>>(), ToBackendDetail);
  body.shortages = UnpackEntries(reader.Next<std::string>(), UnpackShortage);
  body.missing_details = reader.Next<std::vector<NameHash>>();
  return body;
}

ConfigurationRequest DecodeRequest(const msgpack::object& object) {
  ArrayReader reader(object, 3);
  ConfigurationRequest body;
  body.document = ToDocumentKind(reader.Next<std::uint8_t>());
  body.version = reader.Next<std::uint64_t>();
  body.parts = reader.Next<std::vector<std::uint32_t>>();
  return body;
}

ConfigurationPush DecodePush(const msgpack::object& object) {
  ArrayReader reader(object, 6);
  ConfigurationPush body;
  body.document = ToDocumentKind(reader.Next<std::uint8_t>());
  body.version = reader.Next<std::uint64_t>();
  body.part = reader.Next<std::uint32_t>();
  body.parts = reader.Next<std::uint32_t>();
  body.content_hash = reader.Next<std::uint64_t>();
  body.content = reader.Next<std::string>();
  return body;
}

ConfigurationAck DecodeAck(const msgpack::object& object) {
  ArrayReader reader(object, 3);
  ConfigurationAck body;
  body.document = ToDocumentKind(reader.Next<std::uint8_t>());
  body.version = reader.Next<std::uint64_t>();
  body.node = reader.Next<NameHash>();
  return body;
}

policy::BudgetGrant DecodeGrant(const msgpack::object& object) {
  ArrayReader reader(object, 7);
  policy::BudgetGrant body;
  body.generation = reader.Next<std::uint64_t>();
  body.number = reader.Next<std::uint64_t>();
  body.acknowledged_below = reader.Next<std::uint64_t>();
  body.giver = ToBudgetMember(reader.Next<BudgetMemberTuple>());
  body.receiver = ToBudgetMember(reader.Next<BudgetMemberTuple>());
  body.class_name = reader.Next<std::string>();
  body.units = reader.Next<std::uint64_t>();
  return body;
}

BudgetGrantAck DecodeGrantAck(const msgpack::object& object) {
  ArrayReader reader(object, 2);
  BudgetGrantAck body;
  body.generation = reader.Next<std::uint64_t>();
  body.number = reader.Next<std::uint64_t>();
  return body;
}

LeaveMessage DecodeLeaveMessage(const msgpack::object& object) {
  ArrayReader reader(object, 3);
  LeaveMessage body;
  body.node = reader.Next<NameHash>();
  body.configuration_version = reader.Next<std::uint64_t>();
  body.generation = reader.Next<std::uint64_t>();
  return body;
}

Message DecodeBody(MessageKind kind, const msgpack::object& object) {
  switch (kind) {
    case MessageKind::kDigest:
      return DecodeDigest(object);
    case MessageKind::kConfigurationRequest:
      return DecodeRequest(object);
    case MessageKind::kConfigurationPush:
      return DecodePush(object);
    case MessageKind::kConfigurationAck:
      return DecodeAck(object);
    case MessageKind::kBudgetGrant:
      return DecodeGrant(object);
    case MessageKind::kBudgetGrantAck:
      return DecodeGrantAck(object);
    case MessageKind::kLeave:
      return DecodeLeaveMessage(object);
  }
  throw std::invalid_argument("unknown message kind");
}

MessageHeader DecodeHeader(const msgpack::object& object) {
  ArrayReader reader(object, 4);
  MessageHeader header;
  header.address = reader.Next<std::string>();
  header.incarnation = reader.Next<std::uint64_t>();
  header.time.millis = reader.Next<WallMillis>();
  header.time.counter = reader.Next<std::uint32_t>();
  return header;
}

bool IsKnownKind(std::uint64_t kind) {
  return kind >= static_cast<std::uint64_t>(MessageKind::kDigest) &&
         kind <= static_cast<std::uint64_t>(MessageKind::kLeave);
}

Error DecodeError(ErrorCode code, std::string detail) {
  return Error{code, "cluster.decode", "", std::move(detail)};
}

// Without limits, a short message could declare an array of 2^32 elements, and
// the unpacker would reserve memory for it.
const msgpack::unpack_limit kUnpackLimits(kMaxMessageBytes, 0, kMaxMessageBytes,
                                          kMaxMessageBytes, 0, 8);

/// Unpacks one value and calls `decode` with it. Bytes after the value are an
/// error.
template <class Decode>
auto Unpack(std::string_view bytes, Decode decode) -> decltype(decode({})) {
  if (bytes.size() > kMaxMessageBytes) {
    return DecodeError(ErrorCode::kInvalidArgument, "message exceeds 64 KiB");
  }
  try {
    std::size_t offset = 0;
    const auto handle = msgpack::unpack(bytes.data(), bytes.size(), offset,
                                        nullptr, nullptr, kUnpackLimits);
    if (offset != bytes.size()) {
      return DecodeError(ErrorCode::kInvalidArgument,
                         "trailing bytes after the encoded value");
    }
    return decode(handle.get());
  } catch (const std::exception& failure) {
    return DecodeError(ErrorCode::kInvalidArgument, failure.what());
  }
}

constexpr std::uint32_t kMantissaBits = 4;
// Loads below this limit (32) are encoded without rounding.
constexpr std::uint32_t kExactLoadLimit = 2U << kMantissaBits;

}  // namespace

NameHash HashName(std::string_view name) {
  return static_cast<NameHash>(Hash64(name));
}

std::string EncodeMessage(const MessageHeader& header, const Message& message) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack_array(3);
  packer.pack(static_cast<std::uint8_t>(KindOf(message)));
  PackArray(packer, header.address, header.incarnation, header.time.millis,
            header.time.counter);
  std::visit(PackBody{packer}, message);
  return {buffer.data(), buffer.size()};
}

Result<ReceivedMessage> DecodeMessage(std::string_view bytes) {
  const auto decode =
      [](const msgpack::object& object) -> Result<ReceivedMessage> {
    ArrayReader reader(object, 3);
    const auto kind = reader.Next<std::uint64_t>();
    if (!IsKnownKind(kind)) {
      return DecodeError(ErrorCode::kNotFound, "unknown message kind");
    }
    ReceivedMessage received;
    received.header = DecodeHeader(reader.Next());
    received.message =
        DecodeBody(static_cast<MessageKind>(kind), reader.Next());
    return received;
  };
  return Unpack(bytes, decode);
}

std::string EncodeGeneration(const policy::BudgetGeneration& generation) {
  msgpack::sbuffer buffer;
  Packer packer(buffer);
  packer.pack(GenerationTuple(generation.number, ToTuples(generation.members),
                              ToTuples(generation.previous_members)));
  return {buffer.data(), buffer.size()};
}

Result<policy::BudgetGeneration> DecodeGeneration(std::string_view bytes) {
  const auto decode =
      [](const msgpack::object& object) -> Result<policy::BudgetGeneration> {
    auto [number, members, previous] = object.as<GenerationTuple>();
    policy::BudgetGeneration generation;
    generation.number = number;
    generation.members = FromTuples(std::move(members), ToBudgetMember);
    generation.previous_members =
        FromTuples(std::move(previous), ToBudgetMember);
    return generation;
  };
  return Unpack(bytes, decode);
}

std::uint8_t EncodeLoad(std::uint32_t value) {
  if (value < kExactLoadLimit) {
    return static_cast<std::uint8_t>(value);
  }
  const auto width = static_cast<std::uint32_t>(std::bit_width(value));
  const std::uint32_t exponent = width - kMantissaBits - 1;
  const std::uint32_t mantissa =
      (value >> exponent) & ((1U << kMantissaBits) - 1);
  const std::uint32_t code = ((exponent + 1) << kMantissaBits) | mantissa;
  return static_cast<std::uint8_t>(
      std::min<std::uint32_t>(code, std::numeric_limits<std::uint8_t>::max()));
}

std::uint32_t DecodeLoad(std::uint8_t code) {
  if (code < kExactLoadLimit) {
    return code;
  }
  const std::uint32_t exponent =
      (static_cast<std::uint32_t>(code) >> kMantissaBits) - 1;
  const std::uint32_t mantissa = code & ((1U << kMantissaBits) - 1);
  return ((1U << kMantissaBits) | mantissa) << exponent;
}

}  // namespace qp
