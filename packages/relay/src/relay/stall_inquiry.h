#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "foundation/asio.h"
#include "foundation/error.h"
#include "relay/deployment_store.h"

namespace qp::relay {

/// Asks first engines which engine their silent requests wait for. One question
/// serves all that ask about an engine before it is answered: its streams fall
/// silent together.
class StallInquiry {
 public:
  using Receiver = std::function<void(const Result<StalledRequests>&)>;

  explicit StallInquiry(asio::io_context& context) : io(context) {}

  /// Calls `receiver` once, later, with what the engine says.
  void Ask(EngineControl& engines, const ServerRecord& first,
           Receiver receiver);

 private:
  Task<void> Run(EngineControl& engines, ServerRecord first);

  asio::io_context& io;
  std::map<std::string, std::vector<Receiver>, std::less<>> waiting;
};

}  // namespace qp::relay
