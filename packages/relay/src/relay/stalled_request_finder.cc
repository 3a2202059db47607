#include "relay/stalled_request_finder.h"

#include <utility>

namespace qp::relay {

void StalledRequestFinder::Find(EngineControl& engines,
                                const ServerRecord& first, Callback callback) {
  auto& receivers = this->waiting[first.id];
  receivers.push_back(std::move(callback));
  if (receivers.size() == 1) {
    asio::co_spawn(this->io, this->Run(engines, first), asio::detached);
  }
}

Task<void> StalledRequestFinder::Run(EngineControl& engines,
                                     ServerRecord first) {
  const auto stalled = co_await engines.FindStalled(first);
  // A receiver may ask again.
  const auto receivers =
      std::exchange(this->waiting[first.id], std::vector<Callback>());
  for (const auto& callback : receivers) {
    callback(stalled);
  }
}

}  // namespace qp::relay
