#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "foundation/error.h"
#include "foundation/hybrid_clock.h"
#include "policy/budget_ledger.h"

namespace qp {

inline constexpr std::size_t kMaxMessageBytes = 64 * 1024;

/// First 32 bits of the hash of a node, backend or class name.
using NameHash = std::uint32_t;
NameHash HashName(std::string_view name);

/// Number of a kind on the wire. A retired number is not reused.
enum class MessageKind : std::uint8_t {
  kDigest = 1,
  kConfigurationRequest = 2,
  kConfigurationPush = 3,
  kConfigurationAck = 4,
  kBudgetGrant = 5,
  kBudgetGrantAck = 6,
  kLeave = 7,
};

/// Sender of a message.
struct MessageHeader {
  std::string address;
  std::uint64_t incarnation = 0;
  HybridTime time;
};

/// Short form of what the sender knows of a member; 12 bytes on the wire.
struct MemberEntry {
  enum class Flag : std::uint8_t { kAlive, kSuspect, kLeft };

  static constexpr std::uint32_t kMaxLag = 31;
  static constexpr std::uint32_t kMaxHeardAge = 31;      // 100 ms
  static constexpr std::uint32_t kMaxExchangeAge = 127;  // 100 ms

  NameHash node = 0;
  std::uint32_t heartbeat = 0;
  Flag flag = Flag::kAlive;
  std::uint8_t incarnation = 0;  ///< Lowest bits.
  /// Versions behind the sender's; kMaxLag stands for "that much or more".
  std::uint32_t configuration_lag = 0;
  std::uint32_t generation_lag = 0;
  std::uint32_t heard_age = 0;     ///< Since the news arrived, 100 ms.
  std::uint32_t exchange_age = 0;  ///< Upper bound of the news' age, 100 ms.
};

/// Full description of a member, sent to peers that don't know it yet.
struct MemberDetail {
  std::string node;
  std::string address;
  std::string region;
  std::string availability_zone;
  std::uint64_t incarnation = 0;
};

/// Short form of an observation; 12 bytes on the wire.
struct ObservationEntry {
  static constexpr std::uint32_t kMaxAge = 127;  // 250 ms

  NameHash backend = 0;
  std::uint32_t counter = 0;  ///< Grows with each observation of it.
  std::uint8_t running = 0;   ///< In the code of EncodeLoad.
  std::uint8_t queued = 0;    ///< In the code of EncodeLoad.
  bool leaving = false;
  bool reachable = true;
  std::uint8_t detail_tag = 0;  ///< 6 bits of the hash of its details.
  std::uint32_t age = 0;        ///< Since the observation, 250 ms.
};

/// Parts of an observation that rarely change.
struct BackendDetail {
  std::string backend;
  std::uint64_t incarnation = 0;
  std::string kind;
  std::string model;
  std::string service;
  std::uint32_t first_layer = 0;
  std::uint32_t last_layer = 0;
  std::uint32_t slots = 0;
};

/// Shortage of a member for a class.
struct ShortageEntry {
  NameHash node = 0;
  NameHash class_name = 0;
  std::uint32_t units = 0;  ///< Micro-units of the class's rate.
  std::uint32_t age = 0;    ///< 100 ms.
};

/// Regular news to a neighbour.
struct Digest {
  NameHash node = 0;           ///< The sender.
  std::uint32_t sequence = 0;  ///< Of the sender's digests to this receiver.
  std::uint32_t echo = 0;      ///< Latest sequence received; 0 if none.
  bool wants_reply = false;    ///< False for a digest that is a reply.
  std::uint32_t heartbeat = 0;
  std::uint64_t configuration_version = 0;  ///< Applied; 0 if none.
  std::uint64_t generation = 0;             ///< Known; 0 if none.
  std::vector<MemberEntry> members;
  std::vector<MemberDetail> member_details;
  std::vector<ObservationEntry> observations;
  std::vector<BackendDetail> backend_details;
  std::vector<ShortageEntry> shortages;
  /// Names that the sender has short entries but no details for.
  std::vector<NameHash> missing_details;
};

/// What ConfigurationRequest, -Push and -Ack are about.
enum class DocumentKind : std::uint8_t {
  kConfiguration = 0,
  kBudgetGeneration = 1,
};

/// Asks for a document of at least `version`.
struct ConfigurationRequest {
  DocumentKind document = DocumentKind::kConfiguration;
  std::uint64_t version = 0;
  std::vector<std::uint32_t> parts;  ///< Missing parts; empty for all.
};

/// One part of a document; a large configuration exceeds one message.
struct ConfigurationPush {
  DocumentKind document = DocumentKind::kConfiguration;
  std::uint64_t version = 0;
  std::uint32_t part = 0;
  std::uint32_t parts = 0;
  std::uint64_t content_hash = 0;  ///< Of the whole content.
  std::string content;             ///< Of this part.
};

struct ConfigurationAck {
  DocumentKind document = DocumentKind::kConfiguration;
  std::uint64_t version = 0;
  NameHash node = 0;
};

struct BudgetGrantAck {
  std::uint64_t generation = 0;
  std::uint64_t number = 0;
};

/// The sender stops as planned.
struct LeaveMessage {
  NameHash node = 0;
  std::uint64_t configuration_version = 0;
  std::uint64_t generation = 0;
};

using Message = std::variant<Digest, ConfigurationRequest, ConfigurationPush,
                             ConfigurationAck, policy::BudgetGrant,
                             BudgetGrantAck, LeaveMessage>;

/// A message and the address that it goes to.
struct Envelope {
  std::string to;
  Message message;
};

struct ReceivedMessage {
  MessageHeader header;
  Message message;
};

/// msgpack arrays: [kind, header, body].
std::string EncodeMessage(const MessageHeader& header, const Message& message);

/// kInvalidArgument for bytes that don't decode, kNotFound for a kind that
/// isn't known here.
Result<ReceivedMessage> DecodeMessage(std::string_view bytes);

std::string EncodeGeneration(const policy::BudgetGeneration& generation);
Result<policy::BudgetGeneration> DecodeGeneration(std::string_view bytes);

/// Eight-bit float with 4 bits of mantissa; exact up to 31, then rounded down
/// by at most 1/16.
std::uint8_t EncodeLoad(std::uint32_t value);
std::uint32_t DecodeLoad(std::uint8_t code);

}  // namespace qp
