#include "relay/leaving_handler.h"

#include <utility>

namespace qp::relay {

void MarkLeaving(RelayContext& relay, Server& server,
                 std::string_view request) {
  if (!std::exchange(server.leaving, true)) {
    relay.events.Record(
        EventId::kServerLeaving,
        {{"server", server.record.id}, {"request", std::string(request)}});
  }
}

void LeavingHandler::OnLeaving(const ServerRecord& server) {
  const ServerPtr known = this->relay.servers.Find(server.id);
  if (known != nullptr && known->record.incarnation == server.incarnation) {
    MarkLeaving(this->relay, *known, "");
  }
}

}  // namespace qp::relay
