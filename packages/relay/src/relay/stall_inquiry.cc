#include "relay/stall_inquiry.h"

#include <utility>

namespace qp::relay {

void StallInquiry::Ask(EngineControl& engines, const ServerRecord& first,
                       Receiver receiver) {
  auto& receivers = this->waiting[first.id];
  receivers.push_back(std::move(receiver));
  if (receivers.size() == 1) {
    asio::co_spawn(this->io, this->Run(engines, first), asio::detached);
  }
}

Task<void> StallInquiry::Run(EngineControl& engines, ServerRecord first) {
  const auto stalled = co_await engines.FindStalled(first);
  // A receiver may ask again.
  const auto receivers =
      std::exchange(this->waiting[first.id], std::vector<Receiver>());
  for (const auto& receiver : receivers) {
    receiver(stalled);
  }
}

}  // namespace qp::relay
