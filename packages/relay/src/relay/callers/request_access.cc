#include "relay/callers/request_access.h"

#include <chrono>

namespace qp::relay {

namespace {

/// Retry-After of a request whose workspace could not be read.
constexpr Duration kUnreadableRetryAfter = std::chrono::milliseconds(500);

RequestAccess Refuse(LocalReply refusal) {
  RequestAccess access;
  access.refusal = refusal;
  return access;
}

}  // namespace

RequestAccess CheckAccess(const RequestMetadata& metadata,
                          const ActiveConfiguration& active) {
  const DeploymentConfiguration& configuration = active.configuration;
  RequestAccess access;
  access.route = active.routes.Find(metadata.host, metadata.path);
  if (access.route == nullptr) {
    return Refuse({404, "no route matches", std::nullopt});
  }
  if (!configuration.has_workspaces) {
    return access;
  }
  const auto found = configuration.workspaces_by_key.find(metadata.key);
  if (found != configuration.workspaces_by_key.end()) {
    access.workspace = &found->second;
    return access;
  }
  if (access.route->anonymous) {
    return access;
  }
  if (configuration.has_unreadable_workspace) {
    return Refuse(
        {503, "the keys of a workspace are unreadable", kUnreadableRetryAfter});
  }
  return Refuse({401, "the key is not known", std::nullopt});
}

}  // namespace qp::relay
