#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "relay/exchange.h"

namespace qp::relay {

/// Keeps the state of a silent try, or of a first try that was hedged, and
/// watches whether its server makes progress after all. The try is cancelled
/// when this object is destroyed.
class Exchange::SilentTry : public CallListener {
 public:
  /// Takes over the current try of `owner`.
  SilentTry(Exchange& owner, bool is_hedged);
  ~SilentTry() override;
  SilentTry(const SilentTry&) = delete;
  SilentTry& operator=(const SilentTry&) = delete;

  /// Makes the try the current one of its owner. The current one must have
  /// ended.
  void Restore();
  /// Whether the try has this number and its response has not begun.
  bool IsPending(int try_number) const {
    return this->number == try_number && this->pending_prompt != nullptr;
  }
  /// Time since the last progress.
  Duration silence() const {
    return this->exchange.relay.Now() - this->last_progress_at;
  }
  const std::string& server_id() const { return this->server->record.id; }
  /// Whether the try was only slow when another one was sent beside it.
  bool is_hedged() const { return this->hedged; }

  void OnServerMetadata(unsigned status,
                        const ResponseMetadata& metadata) override;
  void OnResponse(ResponseHead received) override;
  void OnBody(std::string_view bytes) override;
  void OnComplete() override;
  void OnFailure(CallFailure failure) override;

 private:
  /// Whether a plain response can be the answer to the caller.
  static bool IsAnswer(const ResponseHead& received);
  /// Makes the try the current one and hands it the plain response, of which
  /// the body may be `whole`. Destroys this object.
  void TakeOver(bool whole);
  /// Ends the try. Destroys this object.
  void Fail(const Error& error);
  /// Ends the try because of its response. Destroys this object.
  void FailResponse(ErrorCode code, std::string detail);

  Exchange& exchange;
  bool hedged;
  int number;
  std::shared_ptr<UpstreamCall> call;  ///< Null after Restore.
  ServerPtr server;
  std::optional<Chain> chain;
  std::unique_ptr<ChainLoad> load;
  TimePoint started_at;
  TimePoint last_progress_at;
  bool has_events;
  std::optional<ResponseHead> head;
  EventSplitter splitter;
  std::string body;     ///< Buffered body of a plain response.
  bool failed = false;  ///< The try has run and failed.
  std::unique_ptr<PromptQuarantine::PendingRequest> pending_prompt;
};

}  // namespace qp::relay
