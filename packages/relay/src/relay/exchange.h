#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "relay/event_splitter.h"
#include "relay/relay.h"
#include "relay/responses.h"
#include "relay/server_choice.h"
#include "relay/upstream_call.h"

namespace qp::relay {

/// Where an exchange writes its answer.
class AnswerSink {
 public:
  virtual ~AnswerSink() = default;
  /// Bytes of the answer.
  virtual void Write(std::string_view bytes) = 0;
  /// The answer is whole; the exchange is destroyed by this call.
  virtual void Finish() = 0;
  /// Closes the connection, so that a begun answer is visibly cut short; the
  /// exchange is destroyed by this call.
  virtual void Abort() = 0;
  /// Whether the connection stays open after this answer.
  virtual bool keeps_open() const = 0;
};

/// One request of a caller, from its arrival to its final answer: finds its
/// route, chooses servers, and repeats or resumes it as far as its route
/// allows.
class Exchange : public CallListener {
 public:
  Exchange(Relay& relay, http::Request request, TimePoint arrived,
           AnswerSink& sink);
  ~Exchange() override;

  void Start();
  /// The caller has left: ends the work at the server.
  void Cancel();

  void OnResponse(ResponseHead head) override;
  void OnBody(std::string_view bytes) override;
  void OnComplete() override;
  void OnFailure(CallFailure failure) override;

 private:
  /// Checks what can be answered without a server; false if it was answered.
  bool Admit();
  bool CheckKey(const DeploymentConfiguration& configuration);
  void PickService();
  void TryServers();
  ChoiceQuery MakeQuery() const;
  bool ChooseTarget();
  void SendTo(const ServerPtr& server);
  /// Whether the answer under way is a stream of events to be passed on.
  bool IsStream() const;
  void HandleEvents();
  void BeginStream();
  void CompleteStream();
  void CompletePlain();
  void NoteRefusal(Server& refuser, unsigned status);
  void ForwardAnswer();
  /// Ends the try under way and accounts for its outcome.
  void EndTry(bool good);
  /// The same where nobody waits for the answer any more. That says nothing
  /// about the server unless its answer was overdue.
  void AbandonTry();
  /// Takes the load of the try off its servers.
  void ReleaseTry();
  void AddLoad();
  void RemoveLoad();
  /// Lets a silent stream go on over other engines behind its first one. That
  /// is no further arrival, so it needs no retry budget. False if there is no
  /// such chain or the stream was moved in this silence already.
  bool TryMove();
  /// `moved_try` tells whether the try that was moved is still under way.
  Task<void> OrderMove(Chain chain, std::weak_ptr<int> owner, int moved_try);
  /// Cancels the silent try and goes on with another, as far as allowed.
  void ResumeSilentStream();
  void FailTry(bool may_have_run, std::string_view why);
  std::vector<ServerPtr> SuspectChain(TimePoint since);
  void WatchStream();
  void CheckStream();
  void TimeOut();
  void GiveUp(std::string_view why);
  void Refuse(const OwnAnswer& answer);
  void NoteFinished(std::string_view outcome, std::string_view why);
  bool MayRepeat() const { return this->route->repeat != Repeat::kNever; }
  Duration Remaining() const { return this->deadline - this->relay.Now(); }

  Relay& relay;
  http::Request request;
  AnswerSink& sink;
  TimePoint arrived;
  RequestFacts facts;
  std::shared_ptr<const ConfigurationInForce> in_force;
  std::shared_ptr<const Route> route;
  const Service* service = nullptr;
  std::string workspace;
  int priority = 0;
  TimePoint deadline{};
  ScopedTimer deadline_timer;
  ScopedTimer stream_timer;

  // The try under way.
  std::shared_ptr<UpstreamCall> call;
  ServerPtr server;
  std::optional<Chain> chain;
  TimePoint try_began{};
  std::optional<ResponseHead> head;
  std::string body;

  // Over all tries.
  int tries = 0;      ///< Requests sent to servers.
  int tries_run = 0;  ///< Those that a server may have run.
  bool may_have_run = false;
  std::vector<std::string> excluded;
  std::string last_failure;

  // The stream to the caller.
  EventSplitter splitter;
  bool stream_begun = false;
  std::optional<std::uint64_t> last_event_id;
  TimePoint last_event_at{};  ///< Or the beginning of the try.
  bool try_has_events = false;
  /// When the stream was last moved to other engines; empty: not in this try.
  std::optional<TimePoint> moved_at;
  /// Lets an order that is under way see that the exchange is gone.
  std::shared_ptr<int> alive = std::make_shared<int>(0);
};

}  // namespace qp::relay
