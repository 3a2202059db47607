#include "relay/stalled_request_finder.h"

#include <utility>

#include "foundation/spawn.h"

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
    Spawn(this->io, "engine.find_stalled", this->Run(engines, first));
  }
}

Task<void> StalledRequestFinder::Run(EngineControl& engines,
                                     ServerRecord first) {
  Result<StalledRequests> stalled = Error{};
  try {
    stalled = co_await engines.FindStalled(first);
  } catch (const std::exception& failure) {
    // The callbacks must be called in any case.
    stalled = Error{ErrorCode::kProtocol, "engine.ask", first.address,
                    failure.what()};
  }
  // A callback can call Find again, which adds to `pending_callbacks`.
  const auto callbacks =
      std::exchange(this->pending_callbacks[first.id], std::vector<Callback>());
  for (const auto& callback : callbacks) {
    callback(stalled);
  }
}

}  // namespace qp::relay
