#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "foundation/hybrid_clock.h"

namespace qp {

enum class Severity { kDebug, kInfo, kWarning, kError };

std::string_view ToString(Severity severity);

/// Number of a log event. The number of a removed event is never used again.
/// 1xxx daemon, 2xxx gateway, 3xxx calls, 4xxx cluster, 5xxx platform,
/// 6xxx policy and controllers, 7xxx relay.
enum class EventId : std::uint16_t {
  kDaemonStarted = 1001,
  kDaemonReady = 1002,
  kDaemonUnready = 1003,
  kDrainStarted = 1004,
  kDaemonStopped = 1005,
  kTaskFailed = 1006,

  kRequestRefused = 2001,
  kRequestFinished = 2002,
  kListenerOpened = 2003,
  kClientDisconnected = 2004,
  kAccessDenied = 2005,

  kAttemptStarted = 3001,
  kAttemptFailed = 3002,
  kStreamResumed = 3003,
  kLateRecordDropped = 3004,
  kClaimWon = 3005,
  kClaimLost = 3006,
  kClaimUnresolved = 3007,
  kClaimReleased = 3008,
  kOnceCallSent = 3009,
  kOnceCallFinished = 3010,

  kMemberJoined = 4001,
  kMemberSuspected = 4002,
  kMemberLost = 4003,
  kConfigurationReceived = 4004,
  kMessageDropped = 4005,
  kBudgetGranted = 4006,
  kBudgetReceived = 4007,
  kBudgetGeneration = 4008,
  kConfirmationLost = 4009,
  kConfirmationRegained = 4010,

  kTableUnavailable = 5001,
  kTableAvailable = 5002,
  kVmListUnavailable = 5003,
  kConfigurationAccepted = 5004,
  kConfigurationRefused = 5005,
  kConfigurationUnresolved = 5006,

  kBackendJoined = 6001,
  kBackendLeaving = 6002,
  kBackendLost = 6003,
  kLeaseAcquired = 6004,
  kLeaseLost = 6005,
  kOrderSent = 6006,
  kOrderRefused = 6007,
  kConfigurationInForce = 6008,

  kRelayRequestFinished = 7001,
  kRelayAttemptFailed = 7002,
  kServerSuspected = 7003,
  kRelayEntryUnreadable = 7004,
  kSettingsReloaded = 7005,
  kLogLinesSuppressed = 7006,
  kServerListed = 7007,
  kServerUnlisted = 7008,
  kRelayStreamMoved = 7009,
  kServerLeaving = 7010,
  kServerPaused = 7011,
  kCrashProbed = 7012,
  kPromptPartQuarantined = 7013,
  kPromptPartReleased = 7014,
  kQuarantineNotStored = 7015,
  kConfigurationCompared = 7016,
  kConfigurationReadFailed = 7017,
  kServerLimited = 7018,
  kServerLimitEnded = 7019,
  kServerListReadFailed = 7020,
  kStoreRestored = 7021,
  kRestoredEntryHeld = 7022,
  kRelaySilentTryContinued = 7023,
  kResponseTruncated = 7024,
  kClientsRefused = 7030,
  kAcceptFailed = 7031,
  kClientLimitsInUse = 7032,
  kRelayRequestHedged = 7035,
};

/// Catalogue entry of an event.
struct EventInfo {
  EventId id;
  std::string_view name;  ///< Lower snake case.
  Severity severity;
  std::string_view summary;  ///< Meaning for operators, in one sentence.
};

/// All events, ordered by number.
std::span<const EventInfo> EventCatalogue();

/// Formats the catalogue as a Markdown page; docs/events.md is this output.
std::string EventCatalogueMarkdown();

/// Catalogue entry of `id`. Every EventId must have one.
const EventInfo& InfoOf(EventId id);

struct EventField {
  std::string name;
  std::string value;
};

/// One event, as it is logged and kept in a Timeline.
struct Event {
  EventId id;
  HybridTime time;
  std::string node;
  std::vector<EventField> fields;
};

/// Records the events of one process. Thread-safe.
class EventSink {
 public:
  virtual ~EventSink() = default;
  virtual void Record(EventId id, std::vector<EventField> fields) = 0;
};

/// Discards events, for tests and tools.
class NullEventSink : public EventSink {
 public:
  void Record(EventId, std::vector<EventField>) override {}
};

}  // namespace qp
