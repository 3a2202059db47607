#pragma once

#include <boost/beast/http/parser.hpp>
#include <memory>
#include <optional>
#include <string>

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
                      public AnswerSink,
                      public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(Relay& relay, Channel::Socket socket, SessionOwner& owner);

  void Start();
  bool is_idle() const {
    return this->exchange == nullptr && this->input.empty() &&
           !this->request_begun;
  }
  /// Ends the session at once; a request under way is cancelled.
  void Close();

  void OnBytes(std::string_view bytes) override;
  void OnEnd(const boost::system::error_code& failure) override;

  void Write(std::string_view bytes) override;
  void Finish() override;
  void Abort() override;
  bool keeps_open() const override;

 private:
  using Parser =
      boost::beast::http::request_parser<boost::beast::http::string_body>;

  /// Input kept while a request is under way; a caller who sends more is
  /// slowed down.
  static constexpr std::size_t kMaxPipelined = 64 * 1024;

  const CallerLimits& Limits() const;
  void NewRequest();
  void Parse();
  void Dispatch();
  void ContinueIfExpected();
  void Reject(unsigned status, std::string_view why);
  void WaitForRequest();

  Relay& relay;
  SessionOwner& owner;
  std::shared_ptr<Channel> channel;
  std::string input;
  std::optional<Parser> parser;
  bool request_begun = false;
  bool continue_sent = false;
  bool keep_alive = true;
  bool parsing = false;
  bool answer_begun = false;
  bool closed = false;
  TimePoint begun_at{};
  ScopedTimer read_timer;
  std::unique_ptr<Exchange> exchange;
};

}  // namespace qp::relay
