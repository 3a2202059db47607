#pragma once

#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>

#include "http/append_body.h"
#include "relay/channel.h"
#include "relay/exchange.h"
#include "relay/relay.h"

namespace qp::relay {

class CallerSession;

/// Keeps the sessions of a listener.
class SessionOwner {
 public:
  virtual ~SessionOwner() = default;
  virtual void OnSessionClosed(CallerSession* session) = 0;
};

/// A caller's connection: reads its requests one after the other and writes
/// their answers.
class CallerSession : public ChannelReader,
                      public ResponseSink,
                      public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(RelayContext& relay, Channel::Socket socket,
                SessionOwner& owner);

  void Start();
  /// Whether a planned stop may close the connection: no request is under way
  /// or on its way. A caller who has just connected is about to send one.
  bool IsIdle() const;
  /// Ends the session at once; a request under way is cancelled.
  void Close();

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

  /// Input kept while a request is under way; a caller who sends more is
  /// slowed down.
  static constexpr std::size_t kMaxPipelined = 64 * 1024;
  /// Time after its connection within which a caller's first request is
  /// awaited, also during a planned stop.
  static constexpr Duration kFirstRequestWait = std::chrono::milliseconds(1000);
  /// Time for which input is thrown away after a refusal in the middle of a
  /// request. A connection that is closed with unread bytes is reset, and the
  /// reset can overtake the refusal.
  static constexpr Duration kLinger = std::chrono::milliseconds(1000);
  /// Longest wait for a caller to take its last answer.
  static constexpr Duration kLastWriteTimeout = std::chrono::seconds(10);

  const CallerLimits& Limits() const;
  void NewRequest();
  void Parse();
  void Dispatch();
  void ContinueIfExpected();
  void Reject(unsigned status, std::string_view why);
  void Read(std::string_view bytes);
  /// Ends the session once the caller has taken its last answer.
  void CloseAfterWrites(bool linger);
  void EndWrites();
  void WaitForRequest();

  RelayContext& relay;
  SessionOwner& owner;
  std::shared_ptr<Channel> channel;
  std::string input;
  std::optional<Parser> parser;
  bool request_begun = false;
  bool continue_sent = false;
  bool keep_alive = true;
  bool parsing = false;
  bool response_begun = false;
  bool closed = false;
  bool finishing = false;  ///< Only writes are left to be done.
  bool lingers = false;    ///< The caller may still be sending then.
  bool has_served = false;
  TimePoint opened_at{};
  TimePoint begun_at{};
  ScopedTimer read_timer;
  std::unique_ptr<Exchange> exchange;
};

}  // namespace qp::relay
