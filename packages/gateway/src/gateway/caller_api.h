#pragma once

#include <memory>
#include <string>

#include "blackboard/blackboard.h"
#include "calls/chat_service.h"
#include "calls/plain_service.h"
#include "foundation/clock.h"
#include "foundation/event.h"
#include "gateway/caller_request.h"
#include "gateway/id_generator.h"
#include "gateway/metrics.h"
#include "http/server.h"

namespace qp {

/// What the caller listener works with. All of it outlives the CallerApi.
struct CallerApiParts {
  const Blackboard& blackboard;
  ChatService& chat;
  PlainService& plain;
  Metrics& metrics;
  EventSink& events;
  const Clock& clock;
};

/// Serves callers: chat completions, plain services and /healthz. See
/// "Messages" and "Outcomes" on the design page.
class CallerApi : public http::Handler {
 public:
  /// `seed` must differ between daemons and starts, since request ids are
  /// drawn from it and engines tell streams apart by them.
  CallerApi(CallerApiParts parts, std::uint64_t seed);

  Task<void> Handle(http::Request request, http::Responder& responder) override;

 private:
  /// A request whose caller is known and that the daemon takes.
  struct Context {
    std::string request_id;  ///< Returned to the caller.
    /// Unique among all requests, also where callers choose the same
    /// X-Request-Id; names the request towards backend servers.
    std::string call_id;
    std::string workspace;
    Entry<ConfigurationView>::Snapshot snapshot;
    TimePoint arrived;
    Duration deadline{};

    const Configuration& configuration() const {
      return *this->snapshot->value.configuration;
    }
  };

  /// End of a request, for the log and the metrics.
  struct End {
    std::string request_id;
    std::string workspace;
    std::string class_name = "none";
    Outcome outcome = Outcome::kNotRun;
    TimePoint arrived;
  };

  Checked<Context> Identify(const http::Request& request,
                            const std::string& request_id, TimePoint arrived);
  Task<void> Route(const http::Request& request, Context context,
                   http::Responder& responder);
  Task<void> ServeChat(const http::Request& request, Context context,
                       http::Responder& responder);
  Task<void> ServePlain(const http::Request& request, ServicePath path,
                        Context context, http::Responder& responder);
  Task<void> Refuse(Refusal refusal, End end, http::Responder& responder);
  void OnFinished(const End& end);

  CallerApiParts parts;
  IdGenerator ids;
};

}  // namespace qp
