#include "relay/restored_servers.h"

namespace qp::relay {

void RestoredServers::Begin(const ServerDirectory& servers, TimePoint now) {
  this->known.clear();
  this->holds = true;
  this->hold_until = now + kHoldTime;
  this->is_first_list = true;
  servers.ForEach([this](const Server& server) { this->Add(server, false); });
  servers.ForEachRemoved(
      [this](const Server& server) { this->Add(server, true); });
}

bool RestoredServers::EndHold(TimePoint now) {
  if (!this->holds || now < this->hold_until) {
    return false;
  }
  this->holds = false;
  return true;
}

void RestoredServers::Add(const Server& server, bool removed) {
  Known& entry = this->known[server.record.id];
  entry.incarnation = server.record.incarnation;
  entry.heartbeats = server.record.heartbeats;
  entry.draining = server.record.draining;
  entry.removed = removed;
}

bool RestoredServers::Admit(ServerRecord& record) {
  const auto found = this->known.find(record.id);
  if (found == this->known.end()) {
    if (this->is_first_list) {
      // Either new, or it left before this process read a list.
      this->known[record.id] = {record.incarnation, record.heartbeats,
                                record.draining, true, record.heartbeats};
    }
    return !this->is_first_list;
  }
  Known& entry = found->second;
  if (record.incarnation > entry.incarnation) {
    this->known.erase(found);
    return true;
  }
  if (record.incarnation < entry.incarnation ||
      record.heartbeats < entry.heartbeats) {
    return false;
  }
  if (entry.removed) {
    // A server that has left no longer sends heartbeats.
    if (!entry.first_seen) {
      entry.first_seen = record.heartbeats;
    }
    if (this->holds && record.heartbeats <= *entry.first_seen) {
      return false;
    }
    entry.removed = false;
  }
  // A server that drains never becomes ready again.
  record.draining |= entry.draining;
  return true;
}

}  // namespace qp::relay
