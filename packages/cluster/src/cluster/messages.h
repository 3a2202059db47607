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

/// Maximum size of an encoded message.
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

/// Compact form of what the sender of a digest knows about a member; 12 bytes
/// on the wire.
struct MemberEntry {
  enum class Flag : std::uint8_t { kAlive, kSuspect, kLeft };

  // The lags and heard_age have 5 bits on the wire, exchange_age has 7.
  static constexpr std::uint32_t kMaxLag = 31;
  static constexpr std::uint32_t kMaxHeardAge = 31;      // Units of 100 ms.
  static constexpr std::uint32_t kMaxExchangeAge = 127;  // Units of 100 ms.

  NameHash node = 0;
  std::uint32_t heartbeat = 0;
  Flag flag = Flag::kAlive;
  std::uint8_t incarnation = 0;  ///< Low 8 bits of the member's incarnation.
  /// Number of versions by which the member's configuration is behind the
  /// sender's; kMaxLag also stands for any larger number.
  std::uint32_t configuration_lag = 0;
  /// As configuration_lag, for the budget generation.
  std::uint32_t generation_lag = 0;
  /// Time since the member's latest heartbeat arrived, in units of 100 ms.
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

/// Fields of an observation that often change; 12 bytes on the wire.
struct ObservationEntry {
  static constexpr std::uint32_t kMaxAge = 127;  // Units of 250 ms.

  NameHash backend = 0;
  /// Position among all observations of this backend server.
  std::uint32_t counter = 0;
  std::uint8_t running = 0;  ///< Encoded by EncodeLoad.
  std::uint8_t queued = 0;   ///< Encoded by EncodeLoad.
  bool leaving = false;
  bool reachable = true;
  std::uint8_t detail_tag = 0;  ///< 6 bits of the hash of the BackendDetail.
  std::uint32_t age = 0;        ///< Age of the observation in units of 250 ms.
};

/// Fields of an observation that rarely change. Sent only to peers that do not
/// know them yet.
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
  std::uint32_t age = 0;    ///< Age of the shortage in units of 100 ms.
};

/// State of the cluster as known to the sender. Sent to peers at regular
/// intervals, after urgent changes and as a reply.
struct Digest {
  NameHash node = 0;  ///< Hash of the sender's name.
  /// Number of this digest among the sender's digests to this receiver.
  std::uint32_t sequence = 0;
  /// Sequence number of the newest digest that the sender has received from the
  /// receiver; 0 if none.
  std::uint32_t echo = 0;
  bool wants_reply = false;  ///< False for replies and urgent updates.
  std::uint32_t heartbeat = 0;
  /// Version of the configuration that the sender has applied; 0 if none.
  std::uint64_t configuration_version = 0;
  /// Number of the newest budget generation known to the sender; 0 if none.
  std::uint64_t generation = 0;
  std::vector<MemberEntry> members;
  std::vector<MemberDetail> member_details;
  std::vector<ObservationEntry> observations;
  std::vector<BackendDetail> backend_details;
  std::vector<ShortageEntry> shortages;
  /// Members and backend servers whose details the sender requests.
  std::vector<NameHash> missing_details;
};

/// Document that a ConfigurationRequest, ConfigurationPush or ConfigurationAck
/// refers to.
enum class DocumentKind : std::uint8_t {
  kConfiguration = 0,
  kBudgetGeneration = 1,
};

/// Requests a document of at least `version`.
struct ConfigurationRequest {
  DocumentKind document = DocumentKind::kConfiguration;
  std::uint64_t version = 0;
  /// Numbers of the requested parts; empty for all parts.
  std::vector<std::uint32_t> parts;
};

/// One part of a document. Documents are split because a large configuration
/// does not fit into one message.
struct ConfigurationPush {
  DocumentKind document = DocumentKind::kConfiguration;
  std::uint64_t version = 0;
  std::uint32_t part = 0;          ///< Number of this part, from 0.
  std::uint32_t parts = 0;         ///< Number of parts of the document.
  std::uint64_t content_hash = 0;  ///< Hash of the whole document.
  std::string content;             ///< Content of this part.
};

/// Reports that `node` has version `version` of a document.
struct ConfigurationAck {
  DocumentKind document = DocumentKind::kConfiguration;
  std::uint64_t version = 0;
  NameHash node = 0;
};

/// Acknowledges the grant with this generation and number.
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
