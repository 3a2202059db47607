#include "relay/server_notice_handler.h"

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

void ServerNoticeHandler::OnLeaving(const ServerRecord& server) {
  if (const ServerPtr known = this->Find(server)) {
    MarkLeaving(this->relay, *known, "");
  }
}

void ServerNoticeHandler::OnRequestLimit(const ServerRecord& server,
                                         double rate) {
  if (const ServerPtr known = this->Find(server)) {
    this->relay.limits.RecordLimit(*known, rate, this->relay.Now());
  }
}

ServerPtr ServerNoticeHandler::Find(const ServerRecord& server) const {
  const ServerPtr known = this->relay.servers.Find(server.id);
  return known != nullptr && known->record.incarnation == server.incarnation
             ? known
             : nullptr;
}

}  // namespace qp::relay
