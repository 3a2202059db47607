#include "cluster/configuration_gossip.h"

#include <algorithm>

#include "foundation/hash.h"

namespace qp {

ConfigurationGossip::ConfigurationGossip(DocumentKind document)
    : kind(document) {}

bool ConfigurationGossip::Offer(std::uint64_t version, std::string content) {
  if (version <= this->current.version) {
    return false;
  }
  this->current = {version, std::move(content)};
  this->highest_seen_version = std::max(this->highest_seen_version, version);
  if (this->fetch && this->fetch->version <= version) {
    this->fetch.reset();
  }
  return true;
}

void ConfigurationGossip::OnAnnounced(const std::string& address,
                                      std::uint64_t version, TimePoint now,
                                      std::vector<Envelope>& out) {
  this->highest_seen_version = std::max(this->highest_seen_version, version);
  if (version <= this->current.version) {
    return;
  }
  const bool in_progress = this->fetch && this->fetch->version >= version &&
                           now < this->fetch->progress_at + kRequestTimeout;
  if (in_progress) {
    return;
  }
  if (!this->fetch || this->fetch->version != version) {
    this->fetch = Fetch{};
    this->fetch->version = version;
  }
  this->fetch->progress_at = now;
  out.push_back({address, ConfigurationRequest{this->kind, version,
                                               this->MissingParts()}});
}

void ConfigurationGossip::OnRequest(const std::string& address,
                                    const ConfigurationRequest& request,
                                    std::vector<Envelope>& out) const {
  if (this->current.version < request.version || this->current.version == 0) {
    return;
  }
  const std::string_view content = this->current.content;
  ConfigurationPush push;
  push.document = this->kind;
  push.version = this->current.version;
  push.parts = static_cast<std::uint32_t>(
      std::max<std::size_t>(1, (content.size() + kPartBytes - 1) / kPartBytes));
  push.content_hash = Hash64(content);
  // Part numbers in a request refer to the requested version, which can be
  // divided differently than the current version.
  const bool all =
      request.parts.empty() || request.version != this->current.version;
  for (push.part = 0; push.part < push.parts; ++push.part) {
    if (all || std::find(request.parts.begin(), request.parts.end(),
                         push.part) != request.parts.end()) {
      push.content = content.substr(push.part * kPartBytes, kPartBytes);
      out.push_back({address, push});
    }
  }
}

std::optional<Document> ConfigurationGossip::OnPush(
    const ConfigurationPush& push, TimePoint now) {
  const bool malformed = push.parts == 0 || push.parts > kMaxParts ||
                         push.part >= push.parts ||
                         push.content.size() > kPartBytes;
  if (malformed || push.version <= this->current.version) {
    return std::nullopt;
  }
  this->highest_seen_version =
      std::max(this->highest_seen_version, push.version);
  if (this->fetch && push.version < this->fetch->version) {
    return std::nullopt;
  }
  if (!this->fetch || push.version > this->fetch->version) {
    this->fetch = Fetch{};
    this->fetch->version = push.version;
  }
  Fetch& target = *this->fetch;
  if (target.parts == 0) {
    target.parts = push.parts;
    target.content_hash = push.content_hash;
  }
  if (target.parts != push.parts || target.content_hash != push.content_hash) {
    return std::nullopt;
  }
  target.received.emplace(push.part, push.content);
  target.progress_at = now;
  return this->AssembleIfComplete();
}

std::size_t ConfigurationGossip::EstimateStateBytes() const {
  std::size_t bytes = sizeof(*this) + this->current.content.capacity();
  if (this->fetch) {
    for (const auto& [part, content] : this->fetch->received) {
      bytes += sizeof(part) + content.capacity();
    }
  }
  return bytes;
}

std::vector<std::uint32_t> ConfigurationGossip::MissingParts() const {
  std::vector<std::uint32_t> missing;
  for (std::uint32_t part = 0; part < this->fetch->parts; ++part) {
    if (!this->fetch->received.contains(part)) {
      missing.push_back(part);
    }
  }
  return missing;
}

std::optional<Document> ConfigurationGossip::AssembleIfComplete() {
  if (this->fetch->received.size() < this->fetch->parts) {
    return std::nullopt;
  }
  Document document;
  document.version = this->fetch->version;
  for (const auto& [part, content] : this->fetch->received) {
    document.content += content;
  }
  const bool intact = Hash64(document.content) == this->fetch->content_hash;
  this->fetch.reset();
  return intact ? std::optional(std::move(document)) : std::nullopt;
}

}  // namespace qp
