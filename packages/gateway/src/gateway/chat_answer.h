#pragma once

#include <memory>
#include <optional>
#include <string>

#include "calls/chat_service.h"
#include "foundation/clock.h"
#include "gateway/metrics.h"
#include "http/server.h"

namespace qp {

/// What the chunks of one chat answer have in common.
struct ChatIdentity {
  std::string request_id;  ///< As returned in X-Request-Id.
  std::string call_id;     ///< Names the answer towards engines.
  std::string class_name;
  std::uint32_t max_tokens = 0;
  std::int64_t created = 0;  ///< Seconds since the Unix epoch.
};

/// Observes the time to the first token and between tokens.
class TokenTimes {
 public:
  TokenTimes(const Clock& clock, Metrics& metrics, std::string class_name,
             TimePoint arrived);
  void OnToken();

 private:
  const Clock& clock;
  Metrics& metrics;
  std::string class_name;
  TimePoint previous;
  bool first = true;
};

/// Sends the answer to one chat request.
class ChatAnswer : public TokenSink {
 public:
  /// Ends the response. Returns the outcome that the caller was told, and
  /// kUnknown for a complete answer that could not be delivered.
  virtual Task<Outcome> Finish(CallResult result) = 0;
};

/// Server-sent events, one for each token. The response starts with the first
/// token, so that a request that is refused before gets its own status.
std::unique_ptr<ChatAnswer> MakeStreamedAnswer(http::Responder& responder,
                                               ChatIdentity identity,
                                               TokenTimes times);

/// One JSON document once all tokens are there.
std::unique_ptr<ChatAnswer> MakeWholeAnswer(http::Responder& responder,
                                            ChatIdentity identity,
                                            TokenTimes times);

}  // namespace qp
