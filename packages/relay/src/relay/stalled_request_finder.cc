#include "relay/stalled_request_finder.h"

#include <utility>

namespace qp::relay {

bool StalledRequestFinder::IsPending(std::string_view first) const {
  const auto found = this->pending_callbacks.find(first);
  return found != this->pending_callbacks.end() && !found->second.empty();
}

void StalledRequestFinder::Find(EngineControl& engines,
                                const ServerRecord& first, Callback callback) {
  auto& callbacks = this->pending_callbacks[first.id];
  callbacks.push_back(std::move(callback));
  if (callbacks.size() == 1) {
    asio::co_spawn(this->io, this->Run(engines, first), asio::detached);
  }
}

Task<void> StalledRequestFinder::Run(EngineControl& engines,
                                     ServerRecord first) {
  const auto stalled = co_await engines.FindStalled(first);
  // A callback can call Find again, which adds to `pending_callbacks`.
  const auto callbacks =
      std::exchange(this->pending_callbacks[first.id], std::vector<Callback>());
  for (const auto& callback : callbacks) {
    callback(stalled);
  }
}

}  // namespace qp::relay
