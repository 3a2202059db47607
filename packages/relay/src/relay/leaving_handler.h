#pragma once

#include <string_view>

#include "relay/deployment_store.h"
#include "relay/relay.h"

namespace qp::relay {

/// Excludes a server that has announced its stop from all further requests.
/// `request` is the id of the request whose response contained the
/// announcement; empty if the response to an order did.
void MarkLeaving(RelayContext& relay, Server& server, std::string_view request);

/// Marks servers that announce their stop in a response to an order.
class LeavingHandler : public LeavingListener {
 public:
  explicit LeavingHandler(RelayContext& context) : relay(context) {}

  void OnLeaving(const ServerRecord& server) override;

 private:
  RelayContext& relay;
};

}  // namespace qp::relay
