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
class StalledRequestFinder {
 public:
  using Callback = std::function<void(const Result<StalledRequests>&)>;

  explicit StalledRequestFinder(asio::io_context& context) : io(context) {}

  /// Calls `receiver` once, later, with what the engine says.
  void Find(EngineControl& engines, const ServerRecord& first,
            Callback callback);

 private:
  Task<void> Run(EngineControl& engines, ServerRecord first);

  asio::io_context& io;
  std::map<std::string, std::vector<Callback>, std::less<>> waiting;
};

}  // namespace qp::relay
