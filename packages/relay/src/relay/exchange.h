#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "relay/chain_load.h"
#include "relay/event_splitter.h"
#include "relay/possible_runs.h"
#include "relay/relay.h"
#include "relay/responses.h"
#include "relay/server_choice.h"
#include "relay/upstream_call.h"

namespace qp::relay {

/// Receives the response of an exchange.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  /// Writes the next bytes of the response, its head included.
  virtual void Write(std::string_view bytes) = 0;
  /// Ends a complete response. This call destroys the exchange.
  virtual void Finish() = 0;
  /// Closes the connection, so that the caller sees that the response is
  /// truncated. This call destroys the exchange.
  virtual void Abort() = 0;
  /// Bytes written that the caller's connection has not accepted yet.
  virtual std::size_t unsent() const = 0;
  /// Whether the connection stays open after this response.
  virtual bool keeps_open() const = 0;
};

/// The server to send a request to; with a chain, the chain's first engine.
struct Target {
  ServerPtr server;
  std::optional<Chain> chain;
};

/// One HTTP request of a caller, from its arrival to the end of its response.
/// Finds the route, chooses servers, and retries or resumes the request as far
/// as the route allows.
class Exchange : public CallListener {
 public:
  /// Maximum number of requests sent to servers for one request of a caller,
  /// including the refused ones. Limits the time that a caller waits while
  /// servers refuse its request.
  static constexpr int kMaxTries = 5;
  static_assert(kMaxTries <= PossibleRuns::kMaxNumber);

  Exchange(RelayContext& relay, http::Request request, TimePoint arrived,
           ResponseSink& sink);
  ~Exchange() override;

  void Start();
  /// Called when the caller's connection has ended, because of `why`. Cancels
  /// the request at the server.
  void Cancel(std::string_view why);
  /// Called when the process stops. Cancels the request at the server.
  void CancelForStop();
  /// Called when all bytes written to the sink have been sent.
  void OnSinkWritten();
  /// The request's id from the caller; empty before Start.
  const std::string& id() const { return this->metadata.attempt_id; }

  void OnServerMetadata(unsigned status,
                        const ResponseMetadata& metadata) override;
  void OnResponse(ResponseHead head) override;
  void OnBody(std::string_view bytes) override;
  void OnComplete() override;
  void OnFailure(CallFailure failure) override;

 private:
  /// A try whose server has fallen silent. It stays open beside the try that is
  /// to replace it.
  class SilentTry;
  struct Hedge;

  /// Classes of responses that are not a stream to be forwarded, by their head.
  enum class ResponseClass {
    kForwardable,
    kNotExecuted,  ///< The request has not run; another server can run it.
    kUnsigned,     ///< Not authenticated; must not be forwarded.
    kRetryable,
    kNotForwardable,  ///< Ends in a local reply or an aborted response.
  };

  /// Checks the request before a server is chosen. False if the request was
  /// answered with a local reply.
  bool Admit();
  /// Takes the memory of the request from the share of its workspace. False if
  /// the request was refused for lack of it.
  bool AcquireMemory();
  /// End of the response if the request is sent now.
  RequestEnd ExpectedEnd() const;
  /// Chooses a service of the route at random, by weight; `service` stays null
  /// if there is none.
  void ChooseService();
  /// Sends the request to the next server if the limits on tries and the
  /// quarantine of prompt parts allow it.
  void TryServers();
  /// Whether no response to this request has begun, so that the request or a
  /// part of its prompt can be what crashes servers.
  bool IsPromptUnproven() const {
    return !this->prompt_started && !this->crash_keys.empty();
  }
  /// Whether the request can be sent now. Otherwise rejects it, or tries again
  /// after a while because a trial of one of its parts is running.
  bool AdmitPrompt();
  /// Whether the memory of the engines allows to send the request. Otherwise
  /// rejects it.
  bool AdmitToEngines();
  /// Urgency that servers are sent, from 0 (most urgent) to 9.
  int ServerUrgency() const;
  /// Properties of the request for the admission to engines.
  admission::Request MakeAdmissionRequest();
  /// Chooses the target of a trial. Draws one of several, since parts whose
  /// trials crash the same engine cannot be told apart.
  Target ChooseTrialTarget();
  void RejectPrompt(const Admission& admission);
  /// Registers the request as pending with the quarantine.
  void TrackPrompt();
  /// Reports that `broken` broke off the response before it had begun, which
  /// the request or a part of its prompt can have caused.
  void ProbeForCrash(const ServerPtr& broken, TimePoint sent_at);
  /// Ends the request because it or a part of its prompt was quarantined.
  void HandlePromptQuarantined();
  /// A response has begun, which shows that the request crashes no server.
  void RecordPromptStart();
  ChoiceQuery MakeQuery() const;
  /// Chooses a server, or a chain if the service has engines. The server is
  /// null if none can take the request.
  Target ChooseTarget(std::span<const std::string> avoided);
  void SendTo(Target target);
  ResponseClass ClassifyResponse() const;
  void HandleNotExecuted();
  /// Ends the try at the head of a response whose body is not needed.
  /// `succeeded` states how the response counts for the server.
  void DropResponse(bool succeeded);
  /// Ends the try as failed because of an invalid response.
  void FailResponse(std::string detail);
  /// Whether the current response is a stream of events to be forwarded.
  bool IsStream() const;
  void HandleEvents();
  /// Whether the event has already been forwarded, from an earlier try.
  bool IsForwarded(const StreamEvent& event) const {
    return event.id && this->last_event_id && *event.id <= *this->last_event_id;
  }
  /// Records that events have arrived: updates the times of the stream and the
  /// progress of the chain's engines.
  void RecordEvents();
  void BeginResponse();
  void CompleteStream();
  /// Pauses reading from the server while the caller reads too slowly.
  void ApplyBackpressure();
  void RecordServerMetadata(Server& sender, unsigned status,
                            const ResponseMetadata& response);
  void RecordRefusal(Server& refuser, unsigned status);
  /// Logs that the try at `target` has failed. `begun`: it had sent an event.
  void LogFailedTry(const Server& target, const Error& error, bool begun);
  /// Ends the current try. Records the outcome for a server without a chain.
  void EndTry(bool succeeded);
  /// Ends the current try when its response is no longer needed. Records a
  /// failure only if the head of the response was overdue; otherwise nothing is
  /// known about the server.
  void AbandonTry();
  /// Removes the load of the try from its servers and stops its timer.
  void ReleaseTry();
  /// Tokens for which the request occupies memory of an engine.
  double KvTokens() const;
  void AddLoad();
  void RemoveLoad();
  /// Starts to move a silent stream to other engines behind its first engine. A
  /// move sends no further request, so it needs no retry budget. False if the
  /// stream cannot be moved or a move was already tried during this silence.
  bool TryMove();
  /// Continues a move once the first engine has reported which engines its
  /// stalled requests wait for, or has failed to.
  void BeginMove(const Result<StalledRequests>& stalled);
  /// The engine that this request waits for according to the first engine's
  /// report. Null if the report does not contain the request or names an engine
  /// that is not behind the first engine in the chain.
  ServerPtr FindLostEngine(const StalledRequests& stalled) const;
  /// Adds the engine to `lost_engines`, excludes it from the move, and records
  /// a failure unless the engine is already suspect.
  void MarkLost(const ServerPtr& lost);
  /// The current chain with each of `lost_engines` replaced by other engines;
  /// empty if one of them cannot be replaced.
  std::optional<Chain> ReplaceLostEngines(const ChoiceQuery& query);
  /// The chain to move to: the current chain without its lost engines if they
  /// are known and can be replaced, otherwise a new chain with the same first
  /// engine. Empty if there is neither.
  std::optional<Chain> ChooseMoveChain();
  /// Starts RequestMove with a chain without the engines in `move_avoided`.
  /// False if there is no such chain.
  bool RequestNextMove();
  /// Orders the first engine to move the stream to the chain of `next`. The
  /// coroutine can outlive the exchange and accesses it only while `owner` has
  /// not expired. `next` counts the load on the new chain before the order is
  /// sent, so that streams that fall silent at the same time do not all choose
  /// the same engines.
  static Task<void> RequestMove(RelayContext& relay, Exchange* exchange,
                                std::unique_ptr<ChainLoad> next,
                                std::weak_ptr<int> owner);
  void ApplyMove(std::unique_ptr<ChainLoad> next);
  /// Called when the order to move to `next` was refused or got no response.
  /// Orders a move to another chain if an engine of `next` refused, because
  /// that engine is possibly lost or out of memory; replaces the try otherwise.
  void HandleFailedMove(const Chain& next, const Result<MoveResult>& result);
  /// Sends the request to another server. Without another server or retry
  /// budget the current try continues, because its server is possibly just
  /// slow. Unless it is a stream that has not begun, it also stays open beside
  /// the new try, as in the hedged requests of Dean and Barroso ("The Tail at
  /// Scale", Communications of the ACM 56(2), 2013): the new server can refuse
  /// the request or fall silent as well.
  void ReplaceSilentTry();
  /// Makes the silent try the current one again and cancels the try that was to
  /// replace it. False if there is no silent try.
  bool ContinueSilentTry(std::string_view why);
  /// Cancels the silent try, if any.
  void DropSilentTry();
  /// Whether the current or the silent try has this number and its response has
  /// not begun.
  bool IsTryPending(int number) const;
  // Hedging: a second try while the first one runs. See HedgePolicy.
  /// Counts the request and starts the delay of its hedge if it can have one.
  void StartHedgeDelay();
  /// Sends the hedge if HedgePolicy allows it now.
  void SendHedge();
  /// Whether the current try is a hedge beside which the first try runs.
  bool IsHedgeBesideFirst() const;
  /// Records that the answer of the current try was chosen, and how long it
  /// took if it is `whole`.
  void RecordChosenAnswer(bool whole);
  void LogHedge();
  /// Tries the next server, or gives up if the request must not be run again.
  /// `may_have_run`: whether the server can have run the request.
  void HandleFailedTry(bool may_have_run, std::string_view why);
  /// Marks the engines of the chain without progress after `since` as suspect
  /// and returns them. If there is only one such engine, records a failure of
  /// that engine instead.
  std::vector<ServerPtr> SuspectSilentEngines(TimePoint since);
  /// Starts the timer for the next progress of the try, with a timeout that
  /// depends on the route and on whether the try has sent an event.
  void StartProgressTimeout();
  void CheckProgress();
  /// Whether the stream that has not begun waits at engines that all make
  /// progress for other streams.
  bool WaitsForBusyEngines(Duration silence) const;
  /// Time after the last event of the silent stream up to which progress of an
  /// engine does not show that the engine works.
  TimePoint ProgressCutoff() const;
  void StartProgressTimer(TimePoint due);
  void HandleDeadline();
  void GiveUp(std::string_view why);
  /// Waits for a server that resumes the stream if the response of a stream has
  /// begun, because an abort would cost the caller the whole response. Gives up
  /// at once otherwise, or if the interruption has become too long.
  void WaitOrGiveUp(std::string_view why);
  /// Retry-After for a caller whose request has not run.
  Duration ComputeRetryAfter();
  void SendLocalReply(const LocalReply& reply);
  void LogFinished(std::string_view outcome, std::string_view why);
  bool MayRetry() const {
    return this->route->retry_policy != RetryPolicy::kNever;
  }
  Duration Remaining() const { return this->deadline - this->relay.Now(); }

  RelayContext& relay;
  http::Request request;
  ResponseSink& sink;
  TimePoint arrived;
  RequestMetadata metadata;
  std::shared_ptr<const ActiveConfiguration> active_configuration;
  std::shared_ptr<const Route> route;
  const Service* service = nullptr;
  std::string workspace;
  std::string fingerprint;  ///< See MakeRequestFingerprint.
  /// The fingerprint and the shared parts: the keys of the quarantine. Empty
  /// until the request is admitted.
  std::vector<std::string> crash_keys;
  int priority = 0;
  TimePoint deadline{};
  ScopedTimer deadline_timer;
  ScopedTimer progress_timer;
  TimePoint progress_due{};  ///< Time at which `progress_timer` is due.

  // State of the current try.
  int try_number = 0;  ///< Value of `tries` when the try was sent.
  std::shared_ptr<UpstreamCall> call;
  ServerPtr server;
  std::optional<Chain> chain;
  std::unique_ptr<ChainLoad> load;  ///< Null without a chain.
  TimePoint try_started_at{};
  std::optional<ResponseHead> head;
  std::string body;                   ///< Buffered body of a plain response.
  BufferedResponses::Part body_part;  ///< Memory of `body`.

  std::unique_ptr<Hedge> hedge;  ///< Null if the request can have none.
  std::unique_ptr<SilentTry> silent_try;  ///< Null if there is none.

  // State over all tries.
  int tries = 0;      ///< Requests sent to servers, refused ones included.
  PossibleRuns runs;  ///< Tries that servers have run or can have run.
  std::vector<std::string> excluded;  ///< Ids of servers to avoid.
  std::string last_failure;
  /// Since when the request waits for trials of its prompt parts.
  std::optional<TimePoint> waiting_since;
  /// Waits for the result of a crash probe.
  bool waits_for_probe = false;
  bool is_trial = false;  ///< Of one of its prompt parts.
  /// The caller was refused before, see ModelAdmission::IsRetry.
  bool is_caller_retry = false;
  /// Zones that the first try may use; empty for all zones.
  std::vector<std::string> open_zones;
  /// Memory of the request, for its workspace.
  WorkspaceMemory::Share memory_share;
  /// Counts the tokens of the request for its workspace, once it is admitted.
  std::unique_ptr<admission::WorkspaceShares::Hold> admission_hold;
  /// Set while a server has the request and its response has not begun.
  std::unique_ptr<PromptQuarantine::PendingRequest> pending_prompt;
  bool prompt_started = false;  ///< A server has begun to respond.

  // The response to the caller.
  EventSplitter splitter;
  bool response_begun = false;  ///< The head has been written.
  /// Reading from the server is paused because the caller reads too slowly.
  bool reading_paused = false;
  std::optional<std::uint64_t> last_event_id;
  int data_events = 0;  ///< Events with data since the last try was sent.
  /// Time of the latest of: start of the try, event with new data, end of a
  /// pause in reading.
  TimePoint last_progress_at{};
  bool try_has_events = false;
  Duration time_to_first_event{};  ///< From the arrival of the request.
  /// Longest time between two events, also across a change of the server.
  Duration max_event_gap{};
  /// Time of the last event that was forwarded, in the current or an earlier
  /// try.
  std::optional<TimePoint> last_forwarded_event_at;
  /// When the last move of the current try was started or last ordered; empty
  /// if the try has not been moved.
  std::optional<TimePoint> moved_at;
  /// Engines found to be lost during the current move.
  std::vector<ServerPtr> lost_engines;
  int move_order_count = 0;  ///< Orders sent for the current move.
  /// Ids of engines that the current move must not use.
  std::vector<std::string> move_avoided;
  /// Pending orders and inquiries hold a weak pointer to this object, to detect
  /// that the exchange has been destroyed.
  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}  // namespace qp::relay
