#include "relay/server_directory.h"

#include <algorithm>
#include <utility>

namespace qp::relay {

namespace {

bool IsSameServer(const ServerRecord& known, const ServerRecord& record) {
  return known.incarnation == record.incarnation &&
         known.service == record.service && known.address == record.address;
}

}  // namespace

void ServerDirectory::Put(ServerRecord record, TimePoint now) {
  this->kept_until.erase(record.id);
  const auto found = this->by_id.find(record.id);
  if (found != this->by_id.end()) {
    ServerRecord& known = found->second->record;
    if (IsSameServer(known, record)) {
      known = std::move(record);
      return;
    }
    this->RemoveFromIndexes(found->second);
  }
  const auto server = this->RestoreOrCreate(record);
  server->record = std::move(record);
  server->removed_at.reset();
  server->last_progress = now;
  this->by_service[server->record.service].push_back(server);
  this->by_id.insert_or_assign(server->record.id, server);
}

void ServerDirectory::Remove(std::string_view id, TimePoint now,
                             TimePoint keep_until) {
  const auto found = this->by_id.find(id);
  if (found == this->by_id.end()) {
    return;
  }
  if (keep_until > now) {
    this->kept_until.emplace(std::string(id), keep_until);
    return;
  }
  found->second->removed_at = now;
  this->removed.insert_or_assign(found->first, found->second);
  this->RemoveFromIndexes(found->second);
  this->kept_until.erase(std::string(id));
}

ServerPtr ServerDirectory::RestoreOrCreate(const ServerRecord& record) {
  const auto found = this->removed.find(record.id);
  if (found == this->removed.end()) {
    return std::make_shared<Server>();
  }
  const ServerPtr known = found->second;
  this->removed.erase(found);
  return IsSameServer(known->record, record) ? known
                                             : std::make_shared<Server>();
}

void ServerDirectory::Expire(TimePoint now) {
  std::erase_if(this->removed, [now](const auto& entry) {
    return now - *entry.second->removed_at > kRetention;
  });
  for (auto entry = this->kept_until.begin();
       entry != this->kept_until.end();) {
    if (entry->second > now) {
      ++entry;
      continue;
    }
    const std::string id = entry->first;
    entry = this->kept_until.erase(entry);
    this->Remove(id, now, now);
  }
}

std::span<const ServerPtr> ServerDirectory::FindByService(
    std::string_view service) const {
  const auto found = this->by_service.find(service);
  return found == this->by_service.end() ? std::span<const ServerPtr>{}
                                         : std::span(found->second);
}

ServerPtr ServerDirectory::Find(std::string_view id) const {
  const auto found = this->by_id.find(id);
  return found == this->by_id.end() ? nullptr : found->second;
}

ServerPtr ServerDirectory::FindByAddress(std::string_view address) const {
  for (const auto& [id, server] : this->by_id) {
    if (server->record.address == address) {
      return server;
    }
  }
  return nullptr;
}

void ServerDirectory::ForEach(
    const std::function<void(const Server&)>& visit) const {
  for (const auto& [id, server] : this->by_id) {
    visit(*server);
  }
}

void ServerDirectory::ForEachRemoved(
    const std::function<void(const Server&)>& visit) const {
  for (const auto& [id, server] : this->removed) {
    visit(*server);
  }
}

void ServerDirectory::ClearPeerLoads() {
  for (const auto& [id, server] : this->by_id) {
    server->peer_streams = 0;
    server->peer_kv_token_layers = 0;
  }
}

void ServerDirectory::ClearUnreportedLoads() {
  for (const auto& [id, server] : this->by_id) {
    server->unreported_streams = 0;
    server->unreported_kv_token_layers = 0;
  }
}

std::vector<std::string> ServerDirectory::Ids() const {
  std::vector<std::string> ids;
  for (const auto& [id, server] : this->by_id) {
    ids.push_back(id);
  }
  return ids;
}

void ServerDirectory::RemoveFromIndexes(const ServerPtr& server) {
  const ServerPtr kept = server;
  auto& listed = this->by_service[kept->record.service];
  std::erase(listed, kept);
  this->by_id.erase(kept->record.id);
}

}  // namespace qp::relay
