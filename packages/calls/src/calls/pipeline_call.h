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

  /// A stream counts as failed after this multiple of the predicted time
  /// without an item, or after the minimum timeout below if that is longer.
  static constexpr int kTimeoutFactor = 4;
  /// Minimum timeout for the first token of an attempt. Includes the time of a
  /// full batch that the engine runs before the prompt.
  static constexpr Duration kMinFirstTokenTimeout =
      std::chrono::milliseconds(600);
  /// Minimum timeout for each later token. Leaves the next attempt 600 ms of
  /// the 1 s within which a response is to resume.
  static constexpr Duration kMinNextTokenTimeout =
      std::chrono::milliseconds(400);
  /// Total time for the KV cache transfers of one resumption. Engines rebuild
  /// the caches that were not transferred within this time.
  static constexpr Duration kTransferTimeout = std::chrono::milliseconds(250);
  /// The router identifies the prefix of a prompt by the hash of at most this
  /// many bytes at its start.
  static constexpr std::size_t kMaxPrefixLength = 256;
  /// Rough estimate of the bytes of a prompt per token, for predictions before
  /// an engine has counted the tokens.
  static constexpr double kCharactersPerToken = 4;
  /// A write to the caller that takes longer than this delays the stream. The
  /// interval to the next token is then not observed, since it does not measure
  /// the engines.
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
  /// Returns kComplete if the stream continues.
  Task<AttemptEnd> HandleTokenRecord(TokenRecord record);
  /// Empty if the item belongs to another request or attempt.
  std::optional<AttemptEnd> HandleStreamEnd(const StreamItem& item);
  /// Chain of the next attempt, which is charged to the retry budget. Empty if
  /// no chain exists, the time left is too short or the budget is used up.
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
  /// All engines of the chains that timed out, since the engine that caused a
  /// timeout is not known.
  std::vector<std::string> suspects;
  Error failure;
  /// Number of tokens accepted before the current attempt.
  std::size_t token_count_at_start = 0;
  bool may_have_run = false;
  /// Arrival of the previous token; unset after a slow write.
  std::optional<TimePoint> last_token_at;
  /// Sum and number of the intervals between tokens of the current attempt.
  Duration observed_interval_sum{};
  std::uint32_t observed_interval_count = 0;
};

}  // namespace qp
