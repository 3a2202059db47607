#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "relay/chain_load.h"
#include "relay/event_splitter.h"
#include "relay/relay.h"
#include "relay/responses.h"
#include "relay/server_choice.h"
#include "relay/upstream_call.h"

namespace qp::relay {

/// Where an exchange writes its answer.
class ResponseSink {
 public:
  virtual ~ResponseSink() = default;
  /// Bytes of the answer.
  virtual void Write(std::string_view bytes) = 0;
  /// The answer is whole; the exchange is destroyed by this call.
  virtual void Finish() = 0;
  /// Closes the connection, so that a begun answer is visibly cut short; the
  /// exchange is destroyed by this call.
  virtual void Abort() = 0;
  /// Bytes that the caller has not taken yet.
  virtual std::size_t unsent() const = 0;
  /// Whether the connection stays open after this answer.
  virtual bool keeps_open() const = 0;
};

/// A server to send a request to, first of its chain where there is one.
struct Target {
  ServerPtr server;
  std::optional<Chain> chain;
};

/// One request of a caller, from its arrival to its final answer: finds its
/// route, chooses servers, and repeats or resumes it as far as its route
/// allows.
class Exchange : public CallListener {
 public:
  /// Requests sent for one request of a caller, refused ones included. Bounds
  /// the time that a request spends on servers that turn it away.
  static constexpr int kMaxTries = 5;

  Exchange(RelayContext& relay, http::Request request, TimePoint arrived,
           ResponseSink& sink);
  ~Exchange() override;

  void Start();
  /// The caller has left: ends the work at the server.
  void Cancel();
  /// The caller has taken all that was written.
  void OnSinkWritten();

  void OnServerMetadata(unsigned status,
                        const ResponseMetadata& metadata) override;
  void OnResponse(ResponseHead head) override;
  void OnBody(std::string_view bytes) override;
  void OnComplete() override;
  void OnFailure(CallFailure failure) override;

 private:
  /// What the head of an answer other than a stream leads to.
  enum class Verdict {
    kForward,
    kNotExecuted,  ///< The request has not run; another server may take it.
    kUnsigned,     ///< Not the server's word, and must not look like it.
    kRetry,
    kConceal,  ///< The caller gets a failure of the relay's own.
  };

  /// Checks what can be answered without a server; false if it was answered.
  bool Admit();
  bool CheckKey(const DeploymentConfiguration& configuration);
  void ChooseService();
  void TryServers();
  ChoiceQuery MakeQuery() const;
  /// Where the request would go now; its server is null if there is none.
  Target ChooseTarget(std::span<const std::string> avoided);
  void SendTo(Target target);
  Verdict ReadVerdict() const;
  void HandleNotExecuted();
  /// Ends the try at the head of an answer whose body nobody needs.
  void DropResponse(bool good);
  /// Ends the try because of what its server has sent.
  void FailResponse(std::string detail);
  /// Whether the answer under way is a stream of events to be passed on.
  bool IsStream() const;
  void HandleEvents();
  void RecordEvents();
  void BeginResponse();
  void CompleteStream();
  /// Stops reading while the caller does not take what there is.
  void SlowDownServer();
  void RecordRefusal(Server& refuser, unsigned status);
  /// Ends the try under way and accounts for its outcome.
  void EndTry(bool good);
  /// The same where nobody waits for the answer any more. That says nothing
  /// about the server unless its answer was overdue.
  void AbandonTry();
  /// Takes the load of the try off its servers.
  void ReleaseTry();
  double Tokens() const;  ///< For which the request takes memory.
  void AddLoad();
  void RemoveLoad();
  /// Lets a silent stream go on over other engines behind its first one. That
  /// is no further arrival, so it needs no retry budget. False if there is no
  /// such chain or the stream was moved in this silence already.
  bool TryMove();
  /// Goes on once the first engine has said what it waits for.
  void BeginMove(const Result<StalledRequests>& stalled);
  /// The engine that the first one waits for; null if that is not known.
  ServerPtr FindLost(const StalledRequests& stalled) const;
  void MarkLost(const ServerPtr& lost);
  /// The chain with other engines in place of all that are known to be lost.
  std::optional<Chain> RepairLost(const ChoiceQuery& query);
  /// The chain to move to, by what is known of the silence.
  std::optional<Chain> ChooseMove();
  /// Orders a move to a chain without `move_avoided`; false if there is none.
  bool RequestNextMove();
  /// Outlives the exchange, which it touches only while `owner` lives. The load
  /// is counted on the new chain from the order on, so that streams that fall
  /// silent together don't all choose the same engines.
  static Task<void> RequestMove(RelayContext& relay, Exchange* exchange,
                                std::unique_ptr<ChainLoad> next,
                                std::weak_ptr<int> owner);
  void ApplyMove(std::unique_ptr<ChainLoad> next);
  /// The order was refused or not answered. An engine of `next` that is new to
  /// the chain may be gone or have no room.
  void FailMove(const Chain& next, const Result<MoveResult>& result);
  /// Cancels the silent try and goes on with another. Without another server
  /// or the budget to ask it the try goes on: its server may only be slow.
  void ReplaceSilentTry();
  void FailTry(bool may_have_run, std::string_view why);
  std::vector<ServerPtr> SuspectChain(TimePoint since);
  /// Starts the time within which the try has to make progress.
  void WatchProgress();
  void CheckProgress();
  /// Engines through which nothing has come since then are in doubt.
  TimePoint QuietSince() const;
  void StartProgressTimer(TimePoint due);
  void TimeOut();
  void GiveUp(std::string_view why);
  /// Breaking a stream off costs its caller all of it, so one that has begun
  /// waits for a server; anything else is given up at once.
  void WaitOrGiveUp(std::string_view why);
  /// Time after which a caller whose request has not run should come back.
  Duration ReturnTime();
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
  int priority = 0;
  TimePoint deadline{};
  ScopedTimer deadline_timer;
  ScopedTimer progress_timer;
  TimePoint progress_due{};

  // The try under way.
  std::shared_ptr<UpstreamCall> call;
  ServerPtr server;
  std::optional<Chain> chain;
  std::unique_ptr<ChainLoad> load;  ///< Null without a chain.
  TimePoint try_began{};
  std::optional<ResponseHead> head;
  std::string body;

  // Over all tries.
  int tries = 0;      ///< Requests sent to servers.
  int tries_run = 0;  ///< Those that a server may have run.
  bool may_have_run = false;
  std::vector<std::string> excluded;
  std::string last_failure;

  // The answer to the caller.
  EventSplitter splitter;
  bool response_begun = false;  ///< Its head has been written.
  bool slowed_down = false;     ///< The server waits for the caller.
  std::optional<std::uint64_t> last_event_id;
  TimePoint last_event_at{};  ///< Or the beginning of the try.
  bool try_has_events = false;
  Duration first_event_after{};  ///< From the arrival of the request.
  Duration max_gap{};            ///< Between events, over all tries.
  std::optional<TimePoint> passed_event_at;  ///< Last one, of any try.
  /// When the stream was last moved to other engines; empty: not in this try.
  std::optional<TimePoint> moved_at;
  std::vector<ServerPtr> move_lost;       ///< Engines known to be lost.
  int move_orders = 0;                    ///< Of the move under way.
  std::vector<std::string> move_avoided;  ///< Engines that it must not use.
  /// Lets an order that is under way see that the exchange is gone.
  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}  // namespace qp::relay
