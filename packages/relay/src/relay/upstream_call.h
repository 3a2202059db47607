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

/// Status and headers of a final response, with the metadata parsed from the
/// headers.
struct ResponseHead {
  unsigned status = 0;
  boost::beast::http::fields headers;
  ResponseMetadata metadata;
};

/// Whether the end of the body is the end of the connection, so that a response
/// that broke off can look complete.
bool IsUnframed(const ResponseHead& head);

/// Whether the response states that the server has not run the request.
bool IsNotExecuted(const ResponseHead& head);

/// Why a call ended without a complete response.
struct CallFailure {
  /// Whether bytes of the request can have reached the server.
  bool may_have_run = false;
  /// Whether the connection came from the pool and failed before any byte of a
  /// response arrived. The server can have run the request nevertheless.
  bool was_reused = false;
  Error error;
};

/// Receives the response of a call. Not called after OnComplete or OnFailure.
class CallListener {
 public:
  virtual ~CallListener() = default;
  /// Called with the metadata of each final response head before OnResponse.
  /// Also called if the response belongs to another request, because the
  /// metadata describes the state of the server too.
  virtual void OnServerMetadata(unsigned status,
                                const ResponseMetadata& metadata) = 0;
  virtual void OnResponse(ResponseHead head) = 0;
  virtual void OnBody(std::string_view bytes) = 0;
  virtual void OnComplete() = 0;
  virtual void OnFailure(CallFailure failure) = 0;
};

/// One request to one server over one connection. Skips interim responses and
/// responses to earlier requests on the connection, which it recognizes by
/// their attempt id.
///
/// A call buffers at most ResponseLimits::head_bytes of what the server sends,
/// besides the bytes of one read.
class UpstreamCall : public ChannelReader,
                     public std::enable_shared_from_this<UpstreamCall> {
 public:
  /// Timeout for a new connection. Far above the network delay between zones of
  /// about 1 ms. Below the 1 s after which TCP sends a lost SYN again, because
  /// trying another server is faster than waiting for that.
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(350);

  /// Maximum number of interim responses (1xx) before the final response.
  /// Servers normally send at most one interim response.
  static constexpr int kMaxInterimResponses = 8;
  /// Limits on reading the rest of a response that is no longer needed. Reading
  /// the response to its end allows the connection to be used again.
  static constexpr std::size_t kMaxDiscardedBytes = 64 * 1024;
  static constexpr Duration kDiscardTimeout = std::chrono::milliseconds(200);

  UpstreamCall(asio::io_context& io, TimerQueue& timers, UpstreamPool& pool,
               const Protocol& protocol, const ResponseLimits& limits,
               ServerPtr server, CallListener& listener);

  /// `bytes` is the whole serialized request. `fresh` forces a new connection.
  void Start(std::string attempt_id, std::string bytes, bool fresh,
             bool is_head_request);
  /// Ends the call and closes its connection. The listener is not called after
  /// that.
  void Cancel();
  /// Detaches the listener, then reads and discards the rest of the response to
  /// keep the connection, within kMaxDiscardedBytes and kDiscardTimeout.
  void Discard();
  /// Stops reading until Resume.
  void Pause();
  void Resume();
  /// Replaces the listener. No effect on a call that has ended.
  void SetListener(CallListener& receiver) {
    if (this->listener != nullptr) {
      this->listener = &receiver;
    }
  }

  void OnBytes(std::string_view bytes) override;
  void OnClose(const boost::system::error_code& failure) override;

 private:
  using Parser = boost::beast::http::response_parser<http::AppendBody>;

  void Connect();
  void Send();
  void NewParser();
  void ParseAll();
  /// Parses buffered bytes. False if the call has ended or needs more bytes.
  bool Parse();
  void HandleHead();
  void HandleBody();
  /// Counts parsed bytes of a response that is not used, heads included: a
  /// server can send short responses to other requests without end.
  void CountSkippedBytes(std::size_t count);
  /// Whether more bytes of discarded responses or of responses to other
  /// requests have arrived than the limits allow.
  bool ExceedsSkipLimits() const;
  /// Handles the end of a response. False if the call has ended.
  bool HandleMessageEnd();
  void Complete();
  void Fail(ErrorCode code, std::string detail);
  /// Whether the operating system has accepted bytes of the request.
  bool HasSentBytes() const;

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
  /// Bytes written to the connection before this request; empty until the
  /// request is written.
  std::optional<std::uint64_t> written_before;
  bool response_begun = false;
  std::string input;
  std::optional<Parser> parser;
  bool head_handled = false;
  bool interim = false;  ///< The current response is an interim one.
  /// The current response belongs to another request.
  bool mismatched = false;
  int interim_responses = 0;
  std::size_t mismatched_bytes = 0;
  std::size_t discarded_bytes = 0;
  /// Keeps the call alive while it discards; null otherwise.
  std::shared_ptr<UpstreamCall> discarding;
  std::optional<Duration> keep_alive;
};

}  // namespace qp::relay
