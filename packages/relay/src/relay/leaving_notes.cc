#include "relay/leaving_notes.h"

#include <utility>

namespace qp::relay {

void NoteLeaving(Relay& relay, Server& server, std::string_view request) {
  if (!std::exchange(server.leaving, true)) {
    relay.events.Record(
        EventId::kServerLeaving,
        {{"server", server.record.id}, {"request", std::string(request)}});
  }
}

void LeavingNotes::OnLeaving(const ServerRecord& server) {
  const ServerPtr known = this->relay.servers.Find(server.id);
  if (known != nullptr && known->record.incarnation == server.incarnation) {
    NoteLeaving(this->relay, *known, "");
  }
}

}  // namespace qp::relay
