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

/// One chat request from admission to its outcome. When attempt n fails,
/// attempt n+1 continues after the tokens accepted so far.
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

  /// A stream without progress for this multiple of the predicted time counts
  /// as failed, but not before the minimum timeouts below.
  static constexpr int kTimeoutFactor = 4;
  /// Allows for a full batch that the engine runs before the prompt.
  static constexpr Duration kMinFirstTokenTimeout =
      std::chrono::milliseconds(600);
  /// Leaves the next attempt 600 ms of the 1 s target for resumption.
  static constexpr Duration kMinNextTokenTimeout =
      std::chrono::milliseconds(400);
  /// For all KV cache transfers of one resumption together. After it, engines
  /// rebuild the caches that were not transferred.
  static constexpr Duration kTransferTimeout = std::chrono::milliseconds(250);
  /// Bytes of the prompt whose hash identifies its prefix for the router.
  static constexpr std::size_t kMaxPrefixLength = 256;
  /// Rough size of a token, for predictions before an engine has counted the
  /// tokens of the prompt.
  static constexpr double kCharactersPerToken = 4;
  /// Writing a token to the caller for longer than this delays the stream, so
  /// that the interval to the next token does not measure the engines.
  static constexpr Duration kSlowWriteThreshold = std::chrono::milliseconds(1);

  PipelineCall(const Context& context, ChatRequest request, TokenSink& sink);

  Task<CallResult> Run();

  std::uint64_t dropped_records() const { return this->sequence.dropped(); }

 private:
  enum class AttemptEnd { kComplete, kFailed, kCallerGone };

  /// Empty if admitted, otherwise the refusal.
  std::optional<CallResult> Admit();
  Task<CallResult> RunAttempts();
  Task<AttemptEnd> RunAttempt();
  Task<AttemptEnd> ReadStream();
  /// kComplete means that the stream continues.
  Task<AttemptEnd> HandleTokenRecord(TokenRecord record);
  /// Empty if the item belongs to another request or attempt.
  std::optional<AttemptEnd> HandleStreamEnd(const StreamItem& item);
  /// Chain of the next attempt, charged to the retry budget. Empty if there is
  /// no chain, not enough time or no budget left.
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
  std::vector<std::string> excluded;  ///< Engines that failed this request.
  /// Engines of chains that timed out: any engine of a chain may be the cause.
  std::vector<std::string> suspects;
  Error failure;
  std::size_t token_count_at_start =
      0;  ///< Accepted before the current attempt.
  bool may_have_run = false;
  std::optional<TimePoint> last_token_at;  ///< Unset after a slow write.
  Duration observed_interval_sum{};  ///< Sum over `observed_interval_count`.
  std::uint32_t observed_interval_count = 0;
};

}  // namespace qp
