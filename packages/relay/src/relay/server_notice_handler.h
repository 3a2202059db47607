#pragma once

#include <string_view>

#include "relay/deployment_store.h"
#include "relay/relay.h"

namespace qp::relay {

/// Excludes a server that has announced its stop from all further requests.
/// `request` is the id of the request whose response contained the
/// announcement; empty if the response to an order did.
void MarkLeaving(RelayContext& relay, Server& server, std::string_view request);

/// Records what servers announce in responses to orders and queries.
class ServerNoticeHandler : public ServerNoticeListener {
 public:
  explicit ServerNoticeHandler(RelayContext& context) : relay(context) {}

  void OnLeaving(const ServerRecord& server) override;
  void OnRequestLimit(const ServerRecord& server, double rate) override;

 private:
  /// The server in use; null if it is gone or has started again since.
  ServerPtr Find(const ServerRecord& server) const;

  RelayContext& relay;
};

}  // namespace qp::relay
