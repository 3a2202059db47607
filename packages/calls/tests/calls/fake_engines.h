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

/// Violation of the engine protocol that a test injects to show that the check
/// detects it.
enum class InjectedProtocolViolation {
  kNone,
  kLateAsCurrent,     ///< Puts the current attempt's number on late records.
  kCrossedAsOwn,      ///< Puts this request's id on another's records.
  kSkipsPosition,     ///< Omits a token without a gap in positions.
  kPartialAsFull,     ///< Reports all layers for a token of some layers.
  kFinishesTooEarly,  ///< Reports the regular end of an incomplete response.
};

/// Steps of a stream. Choices select them by number; kNext is the step without
/// a fault.
enum class StreamStep {
  kNext,
  kDuplicate,
  kLate,
  kCrossed,
  kGap,
  kPartial,
  kSilent,
  kConnectionLost,
  kStageFails,
  kStageRefuses,
  kLateFailure,
  kLateFinish,
};
inline constexpr std::uint32_t kStreamStepCount = 12;

/// Keeps the tokens that it receives; simulates a caller that can disconnect.
class CollectingSink : public TokenSink {
 public:
  Task<Result<void>> Write(std::string_view token) override {
    this->tokens.emplace_back(token);
    co_return Ok();
  }
  bool disconnected() const override { return this->caller_gone; }

  std::vector<std::string> tokens;
  bool caller_gone = false;
};

/// In-memory engines that follow a script of stream steps. Records the requests
/// that they receive and whether these are valid.
class FakeEngines : public EngineClient {
 public:
  struct Transfer {
    RouteStage from;
    RouteStage to;
  };

  FakeEngines(Clock& time_source, asio::io_context& io_context,
              CollectingSink& token_sink, ChoiceReader& choice_reader,
              InjectedProtocolViolation injected_violation)
      : clock(time_source),
        io(io_context),
        sink(token_sink),
        reader(choice_reader),
        injected(injected_violation) {}

  Task<Result<std::unique_ptr<TokenStream>>> Open(StreamRequest request,
                                                  Duration timeout) override;

  Task<Result<void>> TransferKv(std::string, RouteStage from, RouteStage to,
                                Duration) override {
    this->transfers.push_back({std::move(from), std::move(to)});
    co_return Ok();
  }

  Violation violation;
  std::vector<StreamRequest> opened;
  std::vector<Transfer> transfers;
  std::size_t response_length = 6;  ///< Number of tokens; engines then finish.
  std::size_t live_streams = 0;
  std::set<std::string> failed;  ///< Engines named by a failure.
  /// Engines of chains that timed out. The cause can be one engine of the
  /// chain, or a connection between two of its engines that is open but no
  /// longer carries data. Since an engine in this set can be sound, it can be
  /// used again if no other is left.
  std::set<std::string> silent;
  std::vector<StreamStep> scripted;  ///< Steps before those of the choices.
  bool started = false;              ///< An engine may have run the request.

 private:
  friend class FakeStream;

  StreamStep NextStep() {
    if (!this->scripted.empty()) {
      const auto step = this->scripted.front();
      this->scripted.erase(this->scripted.begin());
      return step;
    }
    // At least half of the choices are the next token, so that responses make
    // progress.
    const auto choice = this->reader.Next(2 * kStreamStepCount);
    return choice < kStreamStepCount ? static_cast<StreamStep>(choice)
                                     : StreamStep::kNext;
  }

  /// Whether both stages have an engine that neither failed nor was silent.
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
      this->violation = "an attempt did not start from the accepted tokens";
    }
    if (this->live_streams > 0) {
      this->violation = "an attempt was opened before the previous one ended";
    }
    for (const auto& stage : request.route) {
      if (this->failed.count(stage.engine) > 0) {
        this->violation = "a failed engine was used again";
      }
      if (this->silent.count(stage.engine) > 0 && this->HasUntriedChain()) {
        this->violation =
            "an engine of a silent chain was used before all others";
      }
    }
  }

  Clock& clock;
  asio::io_context& io;
  CollectingSink& sink;
  ChoiceReader& reader;
  InjectedProtocolViolation injected;
};

class FakeStream : public TokenStream {
 public:
  FakeStream(FakeEngines& owner, StreamRequest stream_request)
      : engines(owner),
        request(std::move(stream_request)),
        position(this->request.tokens.size()),
        cancel(owner.io.get_executor()) {
    ++this->engines.live_streams;
  }
  ~FakeStream() override { this->Cancel(); }

  Task<Result<StreamItem>> Next(Duration timeout) override {
    if (this->position >= this->engines.response_length) {
      co_return this->Finish();
    }
    const auto step = this->engines.NextStep();
    if (step == StreamStep::kSilent) {
      const bool cancelled =
          co_await this->cancel.WaitFor(this->engines.clock, timeout);
      co_return this->Fail(
          cancelled ? ErrorCode::kCancelled : ErrorCode::kTimeout, 0);
    }
    co_await SleepFor(this->engines.clock, std::chrono::milliseconds(1));
    if (this->cancelled) {
      co_return this->Fail(ErrorCode::kCancelled, 0);
    }
    if (step == StreamStep::kConnectionLost) {
      if (this->engines.injected ==
          InjectedProtocolViolation::kFinishesTooEarly) {
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
    const bool complete = this->position >= this->request.max_tokens;
    return StreamFinish{this->request.request, this->request.attempt,
                        complete ? "length" : "stop"};
  }

  TokenRecord MakeRecord(std::uint64_t token_position,
                         std::string token) const {
    return {this->request.request,
            this->request.attempt,
            token_position,
            std::move(token),
            0,
            kLayers - 1};
  }

  TokenRecord MakeNext() {
    const auto at = this->position++;
    return this->MakeRecord(at, "t" + std::to_string(at));
  }

  StreamItem MakeItem(StreamStep step) {
    const auto injected_violation = this->engines.injected;
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
        record.attempt -=
            injected_violation == InjectedProtocolViolation::kLateAsCurrent ? 0
                                                                            : 1;
        return record;
      case StreamStep::kCrossed:
        record.token = "crossed";
        if (injected_violation != InjectedProtocolViolation::kCrossedAsOwn) {
          record.request = "another";
        }
        return record;
      case StreamStep::kGap:
        this->engines.failed.insert(this->request.route.front().engine);
        record.token = "t" + std::to_string(this->position + 1);
        if (injected_violation != InjectedProtocolViolation::kSkipsPosition) {
          ++record.position;
        }
        return record;
      case StreamStep::kPartial:
        this->engines.failed.insert(this->request.route.front().engine);
        record.token = "partial";
        if (injected_violation != InjectedProtocolViolation::kPartialAsFull) {
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
    StreamRequest request, Duration timeout) {
  this->CheckOpen(request);
  const std::string first = request.route.front().engine;
  this->opened.push_back(request);
  const auto fault = this->scripted.empty() ? this->reader.Next(12) : 0;
  Error error{ErrorCode::kUnavailable, "engine.open", first, ""};
  if (fault == 1 || fault == 2) {
    error.code = fault == 1 ? ErrorCode::kUnavailable : ErrorCode::kRefused;
    this->failed.insert(first);
    co_return error;
  }
  this->started = true;
  if (fault == 3) {
    co_await SleepFor(this->clock, timeout);
    error.code = ErrorCode::kUnknownEffect;
    this->failed.insert(first);
    co_return error;
  }
  co_return std::make_unique<FakeStream>(*this, std::move(request));
}

}  // namespace qp::testing
