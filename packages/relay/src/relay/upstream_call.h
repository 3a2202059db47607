#pragma once

#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "foundation/error.h"
#include "http/append_body.h"
#include "relay/channel.h"
#include "relay/protocol.h"
#include "relay/response_limits.h"
#include "relay/server.h"
#include "relay/timer_queue.h"
#include "relay/upstream_pool.h"

namespace qp::relay {

/// Head of a server's answer.
struct ResponseHead {
  unsigned status = 0;
  boost::beast::http::fields headers;
  ResponseMetadata metadata;
};

/// How a call ended without a whole answer.
struct CallFailure {
  /// Bytes of the request may have reached the server.
  bool may_have_run = false;
  /// A kept connection turned out to be closed before any byte of an answer.
  bool was_reused = false;
  Error error;
};

/// Takes the answer of a call. After OnComplete or OnFailure nothing follows.
class CallListener {
 public:
  virtual ~CallListener() = default;
  /// What a head says of the server itself, before OnResponse and also where
  /// the answer belongs to another request.
  virtual void OnServerMetadata(unsigned status,
                                const ResponseMetadata& metadata) = 0;
  virtual void OnResponse(ResponseHead head) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
  virtual void OnComplete() = 0;
  virtual void OnFailure(CallFailure failure) = 0;
};

/// One request to one server over one connection. An answer that belongs to an
/// earlier request of the connection is told apart by its id and skipped, and
/// so are interim answers.
///
/// Whatever a server sends, a call keeps no more than
/// ResponseLimits::head_bytes of it beside what one read brings.
class UpstreamCall : public ChannelReader,
                     public std::enable_shared_from_this<UpstreamCall> {
 public:
  /// Longest wait for a new connection. Zones are a millisecond apart; a SYN
  /// that was lost is sent again after 1 s, when another server is the better
  /// try.
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(350);

  /// Interim answers (1xx) before the final one; servers send one at most.
  static constexpr int kMaxInterimResponses = 8;
  /// Bytes and time for the rest of an answer that nobody needs, so that its
  /// connection can be used again.
  static constexpr std::size_t kMaxDiscardedBytes = 64 * 1024;
  static constexpr Duration kDiscardTimeout = std::chrono::milliseconds(200);

  UpstreamCall(asio::io_context& io, TimerQueue& timers, UpstreamPool& pool,
               const Protocol& protocol, const ResponseLimits& limits,
               ServerPtr server, CallListener& listener);

  /// `bytes` is the whole request. `fresh` asks for a new connection.
  void Start(std::string attempt_id, std::string bytes, bool fresh,
             bool is_head_request);
  /// Ends the call and closes its connection; the listener hears no more.
  void Cancel();
  /// The listener hears no more; what is left of the answer is read and thrown
  /// away, if it is short, to keep the connection.
  void Discard();
  /// Reads nothing more until Resume.
  void Pause();
  void Resume();

  void OnBytes(std::string_view bytes) override;
  void OnClose(const boost::system::error_code& failure) override;

 private:
  using Parser = boost::beast::http::response_parser<http::AppendBody>;

  void Connect();
  void Send();
  void NewParser();
  void ParseAll();
  /// Parses what has arrived; false if the call has ended.
  bool Parse();
  void HandleHead();
  void HandleBody();
  /// Whether too much of an answer that nobody needs has come.
  bool IsSkippedTooLong() const;
  /// The whole answer is there; false if the call has ended.
  bool HandleDone();
  void Complete();
  void Fail(ErrorCode code, std::string detail);

  asio::io_context& io;
  UpstreamPool& pool;
  const Protocol& protocol;
  const ResponseLimits& limits;
  ServerPtr server;
  CallListener* listener;
  ScopedTimer connect_timer;
  ScopedTimer discard_timer;
  TimerQueue& timers;
  std::shared_ptr<Channel> channel;
  std::string attempt_id;
  std::string request;
  bool head_request = false;
  bool reused = false;
  bool sent = false;
  bool response_begun = false;
  std::string input;
  std::optional<Parser> parser;
  bool head_handled = false;
  bool interim = false;  ///< The answer being read is not the final one.
  bool foreign = false;  ///< The answer being read belongs to another request.
  int interim_responses = 0;
  std::size_t foreign_bytes = 0;
  std::size_t discarded_bytes = 0;
  /// Keeps the call alive while it discards; null otherwise.
  std::shared_ptr<UpstreamCall> discarding;
  std::optional<Duration> keep_alive;
};

}  // namespace qp::relay
