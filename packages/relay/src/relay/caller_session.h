#pragma once

#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>

#include "http/append_body.h"
#include "relay/callers/client_limits.h"
#include "relay/callers/input_budget.h"
#include "relay/channel.h"
#include "relay/exchange.h"
#include "relay/relay.h"

namespace qp::relay {

class CallerSession;

/// Owns sessions and releases each one when it closes.
class SessionOwner {
 public:
  virtual ~SessionOwner() = default;
  /// Called once per session. The session keeps itself alive during the call.
  virtual void OnSessionClosed(CallerSession* session) = 0;
};

/// One connection of a caller. Parses its requests one after the other and
/// writes their responses.
class CallerSession : public ChannelReader,
                      public ResponseSink,
                      public InputHolder,
                      public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(RelayContext& relay, Channel::Socket socket,
                SessionOwner& owner);

  void Start();
  /// Whether a planned stop can close the connection without losing a request:
  /// no request is running, all responses are written, no input has arrived,
  /// and kFirstRequestTimeout has passed if the caller has not sent its first
  /// request yet.
  bool IsIdle() const;
  /// Closes the connection at once and cancels a running request. `why` is
  /// recorded if a part of the last response has not been sent.
  void Close(std::string_view why);
  /// Closes the connection at the end of a planned stop and records the request
  /// that this cuts off, if any.
  void CloseForStop();
  /// Applies the timeouts of a new configuration to the current wait for the
  /// caller. A shorter one counts from now on, because the caller could rely on
  /// the longer one until now.
  void ApplyTimeouts();

  /// What the connection does, for the choice of one that makes room.
  ConnectionState State() const;
  /// Closes the connection to make room for another one. Must not be called
  /// while a request is running.
  void CloseForOthers();

  void GiveWay(InputHolding& holding) override;

  void OnBytes(std::string_view bytes) override;
  void OnClose(const boost::system::error_code& failure) override;
  void OnWritten() override;

  void Write(std::string_view bytes) override;
  void Finish() override;
  void Abort() override;
  std::size_t unsent() const override { return this->channel->unsent(); }
  bool keeps_open() const override;

 private:
  using Parser = boost::beast::http::request_parser<http::AppendBody>;

  /// Maximum input that is buffered while a request is running. With more, the
  /// session stops reading until the request is finished.
  static constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;
  /// Time after a connection was accepted during which a planned stop keeps it
  /// open for its first request, because the caller of a new connection is
  /// about to send a request.
  static constexpr Duration kFirstRequestTimeout =
      std::chrono::milliseconds(1000);
  /// Time for which input is discarded before the connection closes, if the
  /// caller can still be sending. Closing a connection with unread input resets
  /// it, and the reset can reach the caller before it has read the response.
  static constexpr Duration kLingerTimeout = std::chrono::milliseconds(1000);
  /// Maximum time for the caller to receive the last response.
  static constexpr Duration kLastWriteTimeout = std::chrono::seconds(10);

  /// Limits of the configuration in use. They must be read anew for each
  /// request and each timeout, because connections outlive configurations.
  const CallerLimits& Limits() const;
  /// Resets the parser for the next request and waits for it.
  void PrepareForRequest();
  /// Sets the parser's limits and the timeout of a request whose first bytes
  /// have arrived.
  void BeginRequest();
  void ParseInput();
  /// Starts the exchange of a request that has arrived whole.
  void Dispatch();
  /// Refuses a request that has not arrived whole if its head alone excludes it
  /// under the current configuration, so that its body is not kept. The rest of
  /// it is read and discarded, so that requests behind it can be served. False
  /// if it can be served.
  bool RefuseByHead();
  /// Frees what has arrived of the body of a refused request.
  void DiscardBody();
  bool ExpectsContinue() const;
  void SendContinueIfExpected();
  /// Sends an error response to input that has not become an exchange, then
  /// closes the connection.
  void Reject(unsigned status, std::string_view why,
              std::optional<Duration> retry_after = std::nullopt);
  /// Counts and logs a request that is answered without an exchange.
  void RecordRejection(unsigned status, std::string_view why);
  /// Refuses the arriving request, which has not run, for lack of memory.
  void RefuseForMemory();
  /// Counts a refused client.
  void CountRefusal(std::string_view reason);
  /// Moves the head of the arriving request out of the parser as soon as it is
  /// complete. Until then the parser is not eager and reads nothing behind the
  /// head: it would add trailers that arrive in the same read to the head. True
  /// if this call took the head.
  bool TakeHead();
  /// Accounts for what the connection holds of the arriving or the running
  /// request, and makes way if that is too much.
  void UpdateRequestHolding();
  void UpdateAnswerHolding();
  /// Closes the connection in the next turn of the event loop, because the
  /// running request can be on the call stack.
  void CloseLater(std::string_view reason);
  void HandleBytes(std::string_view bytes);
  /// Records a request that the end of a planned stop cuts off before it has
  /// become an exchange.
  void RecordCutRequest(std::string_view why);
  /// Id of the request that is arriving; empty if its head is incomplete.
  std::string ArrivingRequestId() const;
  /// Reads no further request. Calls CloseOrLinger when all bytes have been
  /// written, but closes the connection after kLastWriteTimeout at the latest.
  /// `linger`: the caller can still be sending.
  void CloseAfterWrites(bool linger);
  /// Closes the connection at once. If the caller can still be sending, first
  /// closes its sending side and discards input for kLingerTimeout.
  void CloseOrLinger();
  /// Closes the connection at `due` if no request has begun, or rejects the
  /// request that has begun and not arrived whole.
  void WaitForCaller(TimePoint due);

  RelayContext& relay;
  SessionOwner& owner;
  std::shared_ptr<Channel> channel;
  std::string input;  ///< Bytes that the parser has not consumed.
  /// Empty after a request was rejected.
  std::optional<Parser> parser;
  /// Head of the arriving request; empty until it is complete.
  std::optional<boost::beast::http::request_header<>> head;
  std::size_t head_bytes = 0;  ///< Memory of `head`.
  bool head_checked = false;   ///< RefuseByHead has checked the request.
  bool refused = false;        ///< RefuseByHead has refused the request.
  /// Memory of the running request.
  std::size_t running_bytes = 0;
  /// Part of it that is left once the server has read the request.
  std::size_t kept_bytes = 0;
  InputHolding request_holding;
  InputHolding pipelined_holding;  ///< Of `input` behind a running request.
  InputHolding answer_holding;     ///< Of the channel's write buffer.
  bool request_begun = false;
  bool continue_sent = false;
  bool keep_alive = true;
  bool parsing = false;  ///< ParseInput is running.
  bool response_begun = false;
  /// The response says that the connection closes after it.
  bool close_announced = false;
  bool closed = false;
  bool finishing = false;            ///< Only pending writes are left.
  bool linger_after_writes = false;  ///< The caller can still be sending.
  bool has_served = false;           ///< At least one response was finished.
  TimePoint opened_at{};
  TimePoint idle_since{};
  TimePoint request_begun_at{};
  ScopedTimer read_timer;       ///< Timeout of the current wait for the caller.
  TimePoint read_due{};         ///< End of that timeout.
  std::string last_request_id;  ///< Of the last finished exchange.
  /// The running request; null if there is none.
  std::unique_ptr<Exchange> exchange;
};

}  // namespace qp::relay
