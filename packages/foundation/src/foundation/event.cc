#include "foundation/event.h"

#include <algorithm>
#include <array>

namespace qp {

namespace {

constexpr std::array kCatalogue = {
    EventInfo{EventId::kDaemonStarted, "daemon_started", Severity::kInfo,
              "The daemon has opened its listeners."},
    EventInfo{EventId::kDaemonReady, "daemon_ready", Severity::kInfo,
              "The daemon takes new work."},
    EventInfo{EventId::kDaemonUnready, "daemon_unready", Severity::kWarning,
              "The daemon refuses new work; the field reason says why."},
    EventInfo{EventId::kDrainStarted, "drain_started", Severity::kInfo,
              "A planned stop has begun; work in flight goes on."},
    EventInfo{EventId::kDaemonStopped, "daemon_stopped", Severity::kInfo,
              "All work in flight has ended and the daemon leaves."},
    EventInfo{EventId::kTaskFailed, "task_failed", Severity::kError,
              "An exception left a task of the process, which is an error in "
              "the program; loops run again after a second."},
    EventInfo{EventId::kRequestRefused, "request_refused", Severity::kInfo,
              "A request was refused before its start."},
    EventInfo{EventId::kRequestFinished, "request_finished", Severity::kDebug,
              "A request got its final answer."},
    EventInfo{EventId::kListenerOpened, "listener_opened", Severity::kInfo,
              "A listener accepts connections."},
    EventInfo{EventId::kClientDisconnected, "client_disconnected",
              Severity::kDebug,
              "A caller closed its connection before the answer ended."},
    EventInfo{EventId::kAccessDenied, "access_denied", Severity::kWarning,
              "A bearer token was missing or not known."},
    EventInfo{EventId::kAttemptStarted, "attempt_started", Severity::kDebug,
              "A chain of stages was given a stream."},
    EventInfo{
        EventId::kAttemptFailed, "attempt_failed", Severity::kWarning,
        "An attempt ended in an error; the fields say at which step and peer."},
    EventInfo{
        EventId::kStreamResumed, "stream_resumed", Severity::kInfo,
        "A stream goes on at the position where a failed attempt stopped."},
    EventInfo{EventId::kLateRecordDropped, "late_record_dropped",
              Severity::kDebug,
              "A token record of a former attempt or position was dropped."},
    EventInfo{
        EventId::kClaimWon, "claim_won", Severity::kDebug,
        "This daemon holds the claim of a call that may not be repeated."},
    EventInfo{EventId::kClaimLost, "claim_lost", Severity::kInfo,
              "Another daemon or an earlier try holds the claim."},
    EventInfo{
        EventId::kClaimUnresolved, "claim_unresolved", Severity::kWarning,
        "The answer to a claim write was lost and could not be read back."},
    EventInfo{EventId::kClaimReleased, "claim_released", Severity::kInfo,
              "A claim whose call was never sent was released."},
    EventInfo{EventId::kOnceCallSent, "once_call_sent", Severity::kDebug,
              "A call that may not be repeated left for its service."},
    EventInfo{EventId::kOnceCallFinished, "once_call_finished",
              Severity::kDebug,
              "A call that may not be repeated has a recorded answer."},
    EventInfo{EventId::kMemberJoined, "member_joined", Severity::kInfo,
              "A daemon was heard for the first time."},
    EventInfo{
        EventId::kMemberSuspected, "member_suspected", Severity::kWarning,
        "A daemon has not been heard of for longer than the suspicion bound."},
    EventInfo{EventId::kMemberLost, "member_lost", Severity::kWarning,
              "A daemon counts as gone."},
    EventInfo{EventId::kConfigurationReceived, "configuration_received",
              Severity::kInfo, "A peer sent a higher configuration version."},
    EventInfo{EventId::kMessageDropped, "message_dropped", Severity::kWarning,
              "A message between daemons was malformed or of an unknown kind."},
    EventInfo{EventId::kBudgetGranted, "budget_granted", Severity::kInfo,
              "Part of a class budget was given to a peer."},
    EventInfo{EventId::kBudgetReceived, "budget_received", Severity::kInfo,
              "Part of a class budget was received from a peer."},
    EventInfo{EventId::kBudgetGeneration, "budget_generation", Severity::kInfo,
              "A new budget generation is in use."},
    EventInfo{EventId::kConfirmationLost, "confirmation_lost", Severity::kError,
              "The configuration in force could not be confirmed in time."},
    EventInfo{EventId::kConfirmationRegained, "confirmation_regained",
              Severity::kInfo,
              "The configuration in force is confirmed again."},
    EventInfo{EventId::kTableUnavailable, "table_unavailable", Severity::kError,
              "The table service does not answer."},
    EventInfo{EventId::kTableAvailable, "table_available", Severity::kInfo,
              "The table service answers again."},
    EventInfo{EventId::kVmListUnavailable, "vm_list_unavailable",
              Severity::kWarning,
              "The VM list could not be read; the last one stays in use."},
    EventInfo{EventId::kConfigurationAccepted, "configuration_accepted",
              Severity::kInfo,
              "The table accepted a configuration change from this daemon."},
    EventInfo{
        EventId::kConfigurationRefused, "configuration_refused",
        Severity::kInfo,
        "A configuration change was refused; another version is in force."},
    EventInfo{EventId::kConfigurationUnresolved, "configuration_unresolved",
              Severity::kWarning,
              "It is not known whether a configuration change took effect."},
    EventInfo{EventId::kBackendJoined, "backend_joined", Severity::kInfo,
              "A backend server takes part in routing."},
    EventInfo{EventId::kBackendLeaving, "backend_leaving", Severity::kInfo,
              "A backend server is leaving and gets no new work."},
    EventInfo{EventId::kBackendLost, "backend_lost", Severity::kWarning,
              "A backend server does not answer."},
    EventInfo{EventId::kLeaseAcquired, "lease_acquired", Severity::kInfo,
              "This daemon holds the placement lease."},
    EventInfo{EventId::kLeaseLost, "lease_lost", Severity::kWarning,
              "This daemon no longer holds the placement lease."},
    EventInfo{EventId::kOrderSent, "order_sent", Severity::kInfo,
              "An order was sent to an engine."},
    EventInfo{EventId::kOrderRefused, "order_refused", Severity::kWarning,
              "An engine refused an order."},
    EventInfo{EventId::kConfigurationInForce, "configuration_in_force",
              Severity::kInfo,
              "A configuration version is in force on this daemon."},
    EventInfo{EventId::kRelayRequestFinished, "relay_request_finished",
              Severity::kInfo,
              "A relayed request got its final answer, or its caller left; "
              "`fingerprint` is shared by attempts of one caller with the same "
              "path and body."},
    EventInfo{EventId::kRelayAttemptFailed, "relay_attempt_failed",
              Severity::kWarning,
              "A try of a relayed request failed or fell silent; the fields "
              "say at which step and server."},
    EventInfo{EventId::kServerSuspected, "server_suspected", Severity::kWarning,
              "A backend server gets no requests for a while."},
    EventInfo{EventId::kRelayEntryUnreadable, "relay_entry_unreadable",
              Severity::kWarning,
              "An entry of the store could not be read and is not used."},
    EventInfo{EventId::kSettingsReloaded, "settings_reloaded", Severity::kInfo,
              "Changed settings are in use."},
    EventInfo{
        EventId::kLogLinesSuppressed, "log_lines_suppressed",
        Severity::kWarning,
        "Lines about single requests were left out to bound the log; "
        "`truncated` of them are about requests without a whole response."},
    EventInfo{EventId::kServerListed, "server_listed", Severity::kInfo,
              "The store lists a backend server or a new incarnation of it."},
    EventInfo{EventId::kServerUnlisted, "server_unlisted", Severity::kInfo,
              "A backend server is no longer listed and gets no requests."},
    EventInfo{EventId::kRelayStreamMoved, "relay_stream_moved",
              Severity::kWarning,
              "A running stream that fell silent was to go on over other "
              "engines; the outcome says whether its first engine took it, "
              "`refuser` which engine of the chain was gone or had no room, if "
              "the answer names one."},
    EventInfo{EventId::kServerLeaving, "server_leaving", Severity::kInfo,
              "A backend server said in an answer that it is about to stop and "
              "gets no more requests."},
    EventInfo{
        EventId::kServerPaused, "server_paused", Severity::kWarning,
        "A backend server refused a request and asked for no more of them "
        "for a while."},
    EventInfo{
        EventId::kCrashProbed, "crash_probed", Severity::kWarning,
        "A backend server broke off requests before their first event; "
        "`crashed` says whether it refuses new connections, `parts` are the "
        "shared prompt parts of the first of these requests, `fingerprints` "
        "identify all of them (32 at most)."},
    EventInfo{EventId::kPromptPartQuarantined, "prompt_part_quarantined",
              Severity::kError,
              "Requests with this prompt part, or with this fingerprint "
              "(`request-...`), crash backend servers and are rejected until "
              "it is tried again; `source` says who found it."},
    EventInfo{
        EventId::kPromptPartReleased, "prompt_part_released", Severity::kInfo,
        "A prompt part or a fingerprint is no longer quarantined, because a "
        "response to a request with it has begun, another part explains its "
        "crashes, or it was not seen for long."},
    EventInfo{
        EventId::kQuarantineNotStored, "quarantine_not_stored",
        Severity::kWarning,
        "A change of the quarantined prompt parts could not be written to "
        "the table, or they could not be read; tried again."},
    EventInfo{
        EventId::kConfigurationCompared, "configuration_compared",
        Severity::kInfo,
        "Recorded regularly: the configuration version in use and the time "
        "since it was last compared with the store (`age_ms`)."},
    EventInfo{
        EventId::kConfigurationReadFailed, "configuration_read_failed",
        Severity::kWarning,
        "A read of the configuration failed; `cause` says why it was made, "
        "`waited_ms` how long it took. Tried again."},
    EventInfo{EventId::kServerLimited, "server_limited", Severity::kWarning,
              "A backend server named the requests a second that it takes from "
              "all processes together; `share` is the part that this process "
              "may send, `source` says who received the answer."},
    EventInfo{EventId::kServerLimitEnded, "server_limit_ended", Severity::kInfo,
              "A backend server's answers no longer name a limit on requests."},
    EventInfo{EventId::kServerListReadFailed, "server_list_read_failed",
              Severity::kWarning,
              "A comparison of the server list with the store failed. Tried "
              "again."},
    EventInfo{EventId::kStoreRestored, "store_restored", Severity::kWarning,
              "The store was restored from a copy, so what was written to it "
              "last is lost; `era` counts the restores."},
    EventInfo{EventId::kRestoredEntryHeld, "restored_entry_held",
              Severity::kInfo,
              "The restored store lists an older state of a backend server "
              "than is known; it is not used until the server writes again."},
    EventInfo{EventId::kRelaySilentTryContinued, "relay_silent_try_continued",
              Severity::kInfo,
              "A request goes on at the server that had fallen silent, since "
              "that server has answered or no other one has taken it."},
    EventInfo{EventId::kResponseTruncated, "response_truncated",
              Severity::kWarning,
              "A caller's connection ended before its last response had been "
              "sent; `why` says by what, `unsent_bytes` how much was left."},
    EventInfo{EventId::kClientsRefused, "clients_refused", Severity::kWarning,
              "Connections of callers were refused or closed since the last "
              "such line to stay within the limits; each field is a reason "
              "with its number."},
    EventInfo{EventId::kAcceptFailed, "accept_failed", Severity::kError,
              "Connections of callers could not be accepted, usually because "
              "no descriptor is free; tried again every 50 ms and recorded "
              "once until an accept succeeds."},
    EventInfo{EventId::kClientLimitsInUse, "client_limits_in_use",
              Severity::kInfo,
              "The limits on all connections of callers together, from the "
              "settings or the machine."},
    EventInfo{EventId::kRelayRequestHedged, "relay_request_hedged",
              Severity::kInfo,
              "A slow request was sent to a second server after `delay_ms`, "
              "the time within which the share `quantile` of the service's "
              "answers arrives; `winner` says which try answered first."},
};

}  // namespace

std::string_view ToString(Severity severity) {
  switch (severity) {
    case Severity::kDebug:
      return "debug";
    case Severity::kInfo:
      return "info";
    case Severity::kWarning:
      return "warning";
    case Severity::kError:
      return "error";
  }
  return "error";
}

std::span<const EventInfo> EventCatalogue() { return kCatalogue; }

std::string EventCatalogueMarkdown() {
  std::string page =
      "# Events\n\nEvery log line and every entry of the time line has one of "
      "these numbers.\nThis page is the output of `quetzalpostd "
      "--list-events`; a test compares the two.\n\n"
      "| number | name | severity | meaning |\n|---|---|---|---|\n";
  for (const EventInfo& info : kCatalogue) {
    page += "| " + std::to_string(static_cast<int>(info.id)) + " | `" +
            std::string(info.name) + "` | " +
            std::string(ToString(info.severity)) + " | " +
            std::string(info.summary) + " |\n";
  }
  return page;
}

const EventInfo& InfoOf(EventId id) {
  const auto found = std::lower_bound(
      kCatalogue.begin(), kCatalogue.end(), id,
      [](const EventInfo& info, EventId wanted) { return info.id < wanted; });
  return *found;
}

}  // namespace qp
