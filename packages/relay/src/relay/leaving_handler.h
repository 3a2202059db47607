#pragma once

#include <string_view>

#include "relay/deployment_store.h"
#include "relay/relay.h"

namespace qp::relay {

/// Keeps requests away from a server that has said that it leaves. `request` is
/// the one whose answer said so; empty for an order.
void MarkLeaving(RelayContext& relay, Server& server, std::string_view request);

/// Takes over what answers to orders say.
class LeavingHandler : public LeavingListener {
 public:
  explicit LeavingHandler(RelayContext& shared) : relay(shared) {}

  void OnLeaving(const ServerRecord& server) override;

 private:
  RelayContext& relay;
};

}  // namespace qp::relay
