#pragma once

#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "calls/chat_service.h"
#include "calls/choices.h"
#include "calls/deployment.h"
#include "calls/engine_client.h"
#include "foundation/wait.h"

namespace qp::testing {

/// How an engine breaks its protocol in the counter-proofs.
enum class EngineMutation {
  kNone,
  kLateAsCurrent,     ///< Stamps late records with the current attempt.
  kCrossedAsOwn,      ///< Stamps another request's records with this one.
  kSkipsPosition,     ///< Leaves a token out without leaving a gap.
  kPartialAsFull,     ///< Reports all layers for a token of only some.
  kFinishesTooEarly,  ///< Ends a cut answer with a regular finish.
};

/// Events of a stream, in the order of the fault numbers of a script.
enum class StreamStep {
  kNext,
  kDuplicate,
  kLate,
  kCrossed,
  kGap,
  kPartial,
  kSilent,
  kCut,
  kStageFails,
  kStageRefuses,
  kLateFailure,
  kLateFinish,
};
inline constexpr std::uint32_t kStreamSteps = 12;

/// Caller that keeps the tokens and may disconnect.
class CollectingSink : public TokenSink {
 public:
  Task<Result<void>> Write(std::string_view token) override {
    this->tokens.emplace_back(token);
    co_return Ok();
  }
  bool disconnected() const override { return this->gone; }

  std::vector<std::string> tokens;
  bool gone = false;
};

/// Engines in memory that follow a script of stream steps. Records what was
/// asked of them and whether the requests themselves were right.
class FakeEngines : public EngineClient {
 public:
  struct Transfer {
    RouteStage from;
    RouteStage to;
  };

  FakeEngines(Clock& time, asio::io_context& context, CollectingSink& answer,
              ChoiceReader& choices, EngineMutation broken)
      : clock(time),
        io(context),
        sink(answer),
        reader(choices),
        mutation(broken) {}

  Task<Result<std::unique_ptr<TokenStream>>> Open(StreamRequest request,
                                                  Duration bound) override;

  Task<Result<void>> TransferKv(std::string, RouteStage from, RouteStage to,
                                Duration) override {
    this->transfers.push_back({std::move(from), std::move(to)});
    co_return Ok();
  }

  Violation violation;
  std::vector<StreamRequest> opened;
  std::vector<Transfer> transfers;
  std::size_t answer_length = 6;  ///< Tokens after which engines finish.
  std::size_t live_streams = 0;
  std::set<std::string> failed;  ///< Engines that a failure named.
  /// Engines of chains that fell silent. Any may be the cause, or only an open
  /// connection between two of them, so that one may be asked again if no
  /// other is left.
  std::set<std::string> silent;
  std::vector<StreamStep> scripted;  ///< Used before the choices.
  bool started = false;              ///< An engine may have run the request.

 private:
  friend class FakeStream;

  StreamStep DrawStep() {
    if (!this->scripted.empty()) {
      const auto step = this->scripted.front();
      this->scripted.erase(this->scripted.begin());
      return step;
    }
    // Half of the draws are the next token, so that answers make progress.
    const auto draw = this->reader.Next(2 * kStreamSteps);
    return draw < kStreamSteps ? static_cast<StreamStep>(draw)
                               : StreamStep::kNext;
  }

  /// Whether both stages have a replica that neither failed nor was silent.
  bool HasUntriedChain() const {
    for (const std::uint32_t first : {0U, kLayers / 2}) {
      bool any = false;
      for (const std::string replica : {"a", "b", "c"}) {
        const std::string engine = replica + std::to_string(first);
        any = any ||
              (this->failed.count(engine) + this->silent.count(engine) == 0);
      }
      if (!any) {
        return false;
      }
    }
    return true;
  }

  void CheckOpen(const StreamRequest& request) {
    if (request.attempt != this->opened.size() + 1) {
      this->violation = "an attempt number was skipped or used twice";
    }
    if (request.tokens != this->sink.tokens) {
      this->violation = "an attempt did not start from the tokens used";
    }
    if (this->live_streams > 0) {
      this->violation = "an attempt was opened before the former was ended";
    }
    for (const auto& stage : request.route) {
      if (this->failed.count(stage.engine) > 0) {
        this->violation = "a failed engine was used again";
      }
      if (this->silent.count(stage.engine) > 0 && this->HasUntriedChain()) {
        this->violation = "a silent chain's engine was used before all others";
      }
    }
  }

  Clock& clock;
  asio::io_context& io;
  CollectingSink& sink;
  ChoiceReader& reader;
  EngineMutation mutation;
};

class FakeStream : public TokenStream {
 public:
  FakeStream(FakeEngines& owner, StreamRequest opened)
      : engines(owner),
        request(std::move(opened)),
        position(this->request.tokens.size()),
        cancel(owner.io.get_executor()) {
    ++this->engines.live_streams;
  }
  ~FakeStream() override { this->Cancel(); }

  Task<Result<StreamItem>> Next(Duration bound) override {
    if (this->position >= this->engines.answer_length) {
      co_return this->Finish();
    }
    const auto step = this->engines.DrawStep();
    if (step == StreamStep::kSilent) {
      const bool cancelled =
          co_await this->cancel.WaitFor(this->engines.clock, bound);
      co_return this->Fail(
          cancelled ? ErrorCode::kCancelled : ErrorCode::kTimeout, 0);
    }
    co_await SleepFor(this->engines.clock, std::chrono::milliseconds(1));
    if (this->cancelled) {
      co_return this->Fail(ErrorCode::kCancelled, 0);
    }
    if (step == StreamStep::kCut) {
      if (this->engines.mutation == EngineMutation::kFinishesTooEarly) {
        co_return this->Finish();
      }
      co_return this->Fail(ErrorCode::kUnavailable, 0);
    }
    co_return this->MakeItem(step);
  }

  void Cancel() override {
    if (!std::exchange(this->cancelled, true)) {
      --this->engines.live_streams;
      this->cancel.NotifyAll();
    }
  }

 private:
  Error Fail(ErrorCode code, std::size_t stage) {
    const auto& engine = this->request.route[stage].engine;
    if (code == ErrorCode::kTimeout) {
      for (const auto& silent : this->request.route) {
        this->engines.silent.insert(silent.engine);
      }
    } else {
      this->engines.failed.insert(engine);
    }
    return {code, "engine.stream", engine, ""};
  }

  StreamItem Finish() const {
    const bool whole = this->position >= this->request.max_tokens;
    return StreamFinish{this->request.request, this->request.attempt,
                        whole ? "length" : "stop"};
  }

  TokenRecord MakeRecord(std::uint64_t at, std::string token) const {
    return {this->request.request,
            this->request.attempt,
            at,
            std::move(token),
            0,
            kLayers - 1};
  }

  TokenRecord MakeNext() {
    const auto at = this->position++;
    return this->MakeRecord(at, "t" + std::to_string(at));
  }

  StreamItem MakeItem(StreamStep step) {
    const auto broken = this->engines.mutation;
    TokenRecord record = this->MakeRecord(this->position, "");
    const std::size_t last = this->request.route.size() - 1;
    switch (step) {
      case StreamStep::kDuplicate:
        if (this->position == 0) {
          return this->MakeNext();
        }
        return this->MakeRecord(this->position - 1,
                                "t" + std::to_string(this->position - 1));
      case StreamStep::kLate:
        record.token = "late";
        record.attempt -= broken == EngineMutation::kLateAsCurrent ? 0 : 1;
        return record;
      case StreamStep::kCrossed:
        record.token = "crossed";
        if (broken != EngineMutation::kCrossedAsOwn) {
          record.request = "another";
        }
        return record;
      case StreamStep::kGap:
        this->engines.failed.insert(this->request.route.front().engine);
        record.token = "t" + std::to_string(this->position + 1);
        if (broken != EngineMutation::kSkipsPosition) {
          ++record.position;
        }
        return record;
      case StreamStep::kPartial:
        this->engines.failed.insert(this->request.route.front().engine);
        record.token = "partial";
        if (broken != EngineMutation::kPartialAsFull) {
          record.first_layer = kLayers / 2;
        }
        return record;
      case StreamStep::kStageFails:
        return StreamFailure{this->request.request, this->request.attempt,
                             this->Fail(ErrorCode::kUnavailable, last)};
      case StreamStep::kStageRefuses:
        return StreamFailure{this->request.request, this->request.attempt,
                             this->Fail(ErrorCode::kRefused, last)};
      case StreamStep::kLateFailure:
        return StreamFailure{this->request.request,
                             this->request.attempt - 1,
                             {ErrorCode::kUnavailable, "stage", "", ""}};
      case StreamStep::kLateFinish:
        return StreamFinish{this->request.request, this->request.attempt - 1,
                            "stop"};
      default:
        return this->MakeNext();
    }
  }

  FakeEngines& engines;
  StreamRequest request;
  std::size_t position;
  Signal cancel;
  bool cancelled = false;
};

inline Task<Result<std::unique_ptr<TokenStream>>> FakeEngines::Open(
    StreamRequest request, Duration bound) {
  this->CheckOpen(request);
  const std::string first = request.route.front().engine;
  this->opened.push_back(request);
  const auto fate = this->scripted.empty() ? this->reader.Next(12) : 0;
  Error error{ErrorCode::kUnavailable, "engine.open", first, ""};
  if (fate == 1 || fate == 2) {
    error.code = fate == 1 ? ErrorCode::kUnavailable : ErrorCode::kRefused;
    this->failed.insert(first);
    co_return error;
  }
  this->started = true;
  if (fate == 3) {
    co_await SleepFor(this->clock, bound);
    error.code = ErrorCode::kUnknownEffect;
    this->failed.insert(first);
    co_return error;
  }
  co_return std::make_unique<FakeStream>(*this, std::move(request));
}

}  // namespace qp::testing
