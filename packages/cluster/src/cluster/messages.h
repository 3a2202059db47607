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

/// Limit for an encoded message.
inline constexpr std::size_t kMaxMessageBytes = 64 * 1024;

/// Low 32 bits of the hash of a node, backend or class name.
using NameHash = std::uint32_t;
NameHash HashName(std::string_view name);

/// Number of a message kind on the wire. Numbers of removed kinds are not
/// reused.
enum class MessageKind : std::uint8_t {
  kDigest = 1,
  kConfigurationRequest = 2,
  kConfigurationPush = 3,
  kConfigurationAck = 4,
  kBudgetGrant = 5,
  kBudgetGrantAck = 6,
  kLeave = 7,
};

/// Sender and time of a message.
struct MessageHeader {
  std::string address;
  std::uint64_t incarnation = 0;
  HybridTime time;
};

/// Short form of the sender's state of a member; 12 bytes on the wire.
struct MemberEntry {
  enum class Flag : std::uint8_t { kAlive, kSuspect, kLeft };

  // Largest values of the 5 and 7 bits on the wire.
  static constexpr std::uint32_t kMaxLag = 31;
  static constexpr std::uint32_t kMaxHeardAge = 31;      // Units of 100 ms.
  static constexpr std::uint32_t kMaxExchangeAge = 127;  // Units of 100 ms.

  NameHash node = 0;
  std::uint32_t heartbeat = 0;
  Flag flag = Flag::kAlive;
  std::uint8_t incarnation = 0;  ///< Low 8 bits.
  /// Difference from the sender's version; kMaxLag also stands for any larger
  /// difference.
  std::uint32_t configuration_lag = 0;
  std::uint32_t generation_lag = 0;
  /// Time since the heartbeat arrived, in units of 100 ms.
  std::uint32_t heard_age = 0;
  /// Upper bound of the age of the member's state, in units of 100 ms;
  /// kMaxExchangeAge if no bound is known.
  std::uint32_t exchange_age = 0;
};

/// Full description of a member, sent to peers that do not know it yet.
struct MemberDetail {
  std::string node;
  std::string address;
  std::string region;
  std::string availability_zone;
  std::uint64_t incarnation = 0;
};

/// Short form of an observation; 12 bytes on the wire.
struct ObservationEntry {
  static constexpr std::uint32_t kMaxAge = 127;  // Units of 250 ms.

  NameHash backend = 0;
  std::uint32_t counter = 0;  ///< Orders observations of it.
  std::uint8_t running = 0;   ///< Encoded by EncodeLoad.
  std::uint8_t queued = 0;    ///< Encoded by EncodeLoad.
  bool leaving = false;
  bool reachable = true;
  std::uint8_t detail_tag = 0;  ///< 6 bits of the hash of its details.
  std::uint32_t age = 0;        ///< Of the observation, units of 250 ms.
};

/// Fields of an observation that rarely change.
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

/// Budget that a member lacks for a class; 12 bytes on the wire.
struct ShortageEntry {
  NameHash node = 0;
  NameHash class_name = 0;
  std::uint32_t units = 0;  ///< Millionths of the class's rate.
  std::uint32_t age = 0;    ///< Units of 100 ms.
};

/// State that a daemon sends to a peer, regularly or on a change.
struct Digest {
  NameHash node = 0;           ///< The sender.
  std::uint32_t sequence = 0;  ///< Of the sender's digests to this receiver.
  std::uint32_t echo = 0;      ///< Latest one from the receiver; 0 if none.
  bool wants_reply = false;    ///< False for replies and urgent updates.
  std::uint32_t heartbeat = 0;
  std::uint64_t configuration_version = 0;  ///< Applied; 0 if none.
  std::uint64_t generation = 0;             ///< Known; 0 if none.
  std::vector<MemberEntry> members;
  std::vector<MemberDetail> member_details;
  std::vector<ObservationEntry> observations;
  std::vector<BackendDetail> backend_details;
  std::vector<ShortageEntry> shortages;
  /// Names for which the sender has short entries but lacks the details.
  std::vector<NameHash> missing_details;
};

/// Document that a ConfigurationRequest, -Push or -Ack refers to.
enum class DocumentKind : std::uint8_t {
  kConfiguration = 0,
  kBudgetGeneration = 1,
};

/// Requests a document of at least `version`.
struct ConfigurationRequest {
  DocumentKind document = DocumentKind::kConfiguration;
  std::uint64_t version = 0;
  std::vector<std::uint32_t> parts;  ///< Requested parts; empty for all.
};

/// One part of a document. A large configuration does not fit into one message.
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

/// Announces a planned stop of the sender.
struct LeaveMessage {
  NameHash node = 0;
  std::uint64_t configuration_version = 0;
  std::uint64_t generation = 0;
};

using Message = std::variant<Digest, ConfigurationRequest, ConfigurationPush,
                             ConfigurationAck, policy::BudgetGrant,
                             BudgetGrantAck, LeaveMessage>;

/// A message and its destination address.
struct Envelope {
  std::string to;
  Message message;
};

struct ReceivedMessage {
  MessageHeader header;
  Message message;
};

/// Encodes a message as the msgpack array [kind, header, body].
std::string EncodeMessage(const MessageHeader& header, const Message& message);

/// Errors: kInvalidArgument for malformed bytes, kNotFound for an unknown
/// message kind.
Result<ReceivedMessage> DecodeMessage(std::string_view bytes);

std::string EncodeGeneration(const policy::BudgetGeneration& generation);
Result<policy::BudgetGeneration> DecodeGeneration(std::string_view bytes);

/// Encodes a load as an 8-bit float with a 4-bit mantissa: exact up to 31,
/// rounded down by at most 1/16 above.
std::uint8_t EncodeLoad(std::uint32_t value);
std::uint32_t DecodeLoad(std::uint8_t code);

}  // namespace qp
