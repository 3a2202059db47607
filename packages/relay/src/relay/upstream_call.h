#pragma once

#include <boost/beast/http/parser.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "foundation/error.h"
#include "relay/channel.h"
#include "relay/protocol.h"
#include "relay/server.h"
#include "relay/timer_queue.h"
#include "relay/upstream_pool.h"

namespace qp::relay {

/// Head of a server's answer.
struct ResponseHead {
  unsigned status = 0;
  boost::beast::http::fields headers;
  ResponseFacts facts;
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
  virtual void OnResponse(ResponseHead head) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
  virtual void OnComplete() = 0;
  virtual void OnFailure(CallFailure failure) = 0;
};

/// One request to one server over one connection. An answer that belongs to an
/// earlier request of the connection is told apart by its id and skipped.
class UpstreamCall : public ChannelReader,
                     public std::enable_shared_from_this<UpstreamCall> {
 public:
  /// Longest wait for a new connection. Zones are a millisecond apart; a SYN
  /// that was lost is sent again after 1 s, when another server is the better
  /// try.
  static constexpr Duration kConnectBound = std::chrono::milliseconds(350);

  UpstreamCall(asio::io_context& io, TimerQueue& timers, UpstreamPool& pool,
               const Protocol& protocol, ServerPtr server,
               CallListener& listener);

  /// `bytes` is the whole request. `fresh` asks for a new connection.
  void Start(std::string attempt_id, std::string bytes, bool fresh,
             bool is_head_request);
  /// Ends the call and closes its connection; the listener hears no more.
  void Cancel();

  void OnBytes(std::string_view bytes) override;
  void OnEnd(const boost::system::error_code& failure) override;

 private:
  using Parser =
      boost::beast::http::response_parser<boost::beast::http::string_body>;

  void Connect();
  void Send();
  void NewParser();
  /// Parses what has arrived; false if the call has ended.
  bool Parse();
  void HandleHead();
  void HandleBody();
  /// The whole answer is there; false if the call has ended.
  bool HandleDone();
  void Complete();
  void Fail(ErrorCode code, std::string detail);

  asio::io_context& io;
  UpstreamPool& pool;
  const Protocol& protocol;
  ServerPtr server;
  CallListener* listener;
  ScopedTimer connect_timer;
  TimerQueue& timers;
  std::shared_ptr<Channel> channel;
  std::string attempt_id;
  std::string request;
  bool head_request = false;
  bool reused = false;
  bool sent = false;
  bool answer_begun = false;
  std::string input;
  std::optional<Parser> parser;
  bool head_handled = false;
  bool foreign = false;  ///< The answer being read belongs to another request.
  std::optional<Duration> keep_alive;
};

}  // namespace qp::relay
