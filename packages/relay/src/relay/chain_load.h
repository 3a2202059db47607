#pragma once

#include "relay/server_choice.h"

namespace qp::relay {

/// Counts the load of one request on the engines of a chain, for the lifetime
/// of this object.
class ChainLoad {
 public:
  /// `tokens`: tokens for which the request occupies memory, from MemoryTokens.
  ChainLoad(Chain loaded, double tokens);
  ~ChainLoad();
  ChainLoad(const ChainLoad&) = delete;
  ChainLoad& operator=(const ChainLoad&) = delete;

  const Chain& chain() const { return this->counted_chain; }

 private:
  Chain counted_chain;
  double tokens;
};

}  // namespace qp::relay
