#pragma once

#include <memory>
#include <optional>

#include "relay/protocol.h"
#include "relay/responses.h"
#include "relay/route_table.h"

namespace qp::relay {

/// What the head of a request gives access to. Either `refusal` or `route` is
/// set.
struct RequestAccess {
  std::shared_ptr<const Route> route;
  /// Workspace of the key, owned by the configuration; null for a request
  /// without a known key on an anonymous route, or without workspaces.
  const Workspace* workspace = nullptr;
  /// Without a Retry-After, it is final under this configuration.
  std::optional<LocalReply> refusal;
};

/// Finds the route of a request and checks its key. Refuses with 404 without a
/// route and with 401 without a known key, but with 503 if the key can belong
/// to a workspace that could not be read.
RequestAccess CheckAccess(const RequestMetadata& metadata,
                          const ActiveConfiguration& active);

}  // namespace qp::relay
