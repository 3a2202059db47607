#pragma once

#include <optional>
#include <string_view>

#include "foundation/event.h"
#include "relay/server_directory.h"

namespace qp::relay {

/// Keeps the request limits that servers name in their answers.
class LimitTracker {
 public:
  LimitTracker(ServerDirectory& directory, EventSink& sink)
      : servers(directory), events(sink) {}

  /// An answer of `server` named `rate` requests a second.
  void RecordLimit(Server& server, double rate, TimePoint now);
  /// A complete answer of `server` named no limit.
  void RecordNoLimit(Server& server, TimePoint now);

 private:
  void Record(Server& server, std::optional<double> rate, TimePoint stated_at,
              std::string_view source);

  ServerDirectory& servers;
  EventSink& events;
};

}  // namespace qp::relay
