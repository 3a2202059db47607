#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "blackboard/blackboard.h"
#include "calls/chat_service.h"
#include "calls/engine_client.h"
#include "calls/token_sequence.h"
#include "foundation/event.h"
#include "policy/admission.h"
#include "policy/chain_router.h"
#include "policy/retry_budget.h"

namespace qp {

/// One question from admission to its outcome. Opens attempt n+1 after the
/// failure of attempt n, with the tokens that were already used.
class PipelineCall {
 public:
  struct Context {
    Clock& clock;
    const Blackboard& blackboard;
    EngineClient& engines;
    policy::Admission& admission;
    policy::ChainRouter& router;
    policy::RetryBudget& retries;
    EventSink& events;
    std::mt19937_64& random;
  };

  /// Silence on a stream counts as failure after this multiple of the
  /// predicted time, and not before the floors below.
  static constexpr int kTimeoutFactor = 4;
  /// Covers a full batch ahead of the prompt.
  static constexpr Duration kMinFirstTokenTimeout =
      std::chrono::milliseconds(600);
  /// Leaves 600 ms of the 1 s target for resumption to the next attempt.
  static constexpr Duration kMinNextTokenTimeout =
      std::chrono::milliseconds(400);
  /// Over all stages of one resumption; beyond it, engines rebuild the cache.
  static constexpr Duration kTransferTimeout = std::chrono::milliseconds(250);
  /// Characters of the prompt that identify its prefix for the router.
  static constexpr std::size_t kMaxPrefixLength = 256;
  /// Rough size of a token, for predictions before the engine has counted.
  static constexpr double kCharactersPerToken = 4;
  /// A caller that takes longer than this for a token holds up the stream, so
  /// that the time to the next token says nothing of the engines.
  static constexpr Duration kSlowWriteThreshold = std::chrono::milliseconds(1);

  PipelineCall(const Context& context, ChatRequest request, TokenSink& sink);

  Task<CallResult> Run();

  std::uint64_t dropped_records() const { return this->sequence.dropped(); }

 private:
  enum class AttemptEnd { kComplete, kFailed, kCallerGone };

  std::optional<CallResult> Admit();
  Task<CallResult> RunAttempts();
  Task<AttemptEnd> RunAttempt();
  Task<AttemptEnd> ReadStream();
  Task<AttemptEnd> HandleTokenRecord(TokenRecord record);
  std::optional<AttemptEnd> HandleStreamEnd(const StreamItem& item);
  std::optional<policy::Chain> ChooseNext();
  std::optional<policy::Chain> ChooseAvoidingFailures(
      const Configuration& configuration);
  void RecordEngineFailure(const Error& error);
  Task<void> ImportCache(const policy::Chain& next);

  std::optional<policy::Chain> Choose(const Configuration& configuration);
  StreamRequest MakeStreamRequest() const;
  Duration ProgressTimeout() const;
  Duration Remaining() const;
  bool ResponseIsComplete() const;
  AttemptEnd Fail(Error error);
  std::string FailedEngine(const Error& error) const;
  CallResult Refuse(Error error, std::optional<Duration> retry_after);
  CallResult GiveUp();
  CallResult MakeCallerGoneResult();
  void LogDroppedRecord(RecordVerdict verdict);
  void RecordTokenArrival(TimePoint arrived_at);
  void ReportObservations();
  void CloseStream();

  Context context;
  ChatRequest request;
  TokenSink& sink;
  TimePoint deadline;
  TokenSequence sequence;
  ModelSpec model;
  policy::Chain chain;
  std::unique_ptr<TokenStream> stream;
  std::vector<std::string> excluded;  ///< Engines that failed the request.
  /// Engines of a chain that fell silent: any of them may be the cause.
  std::vector<std::string> suspects;
  Error failure;
  std::size_t tokens_at_start = 0;  ///< Of the current attempt.
  bool may_have_run = false;
  std::optional<TimePoint> last_token_at;  ///< Of the current attempt.
  Duration observed_time{};                ///< Sum over `observed_intervals`.
  std::uint32_t observed_intervals = 0;
};

}  // namespace qp
