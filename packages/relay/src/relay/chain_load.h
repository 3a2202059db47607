#pragma once

#include "relay/server_choice.h"

namespace qp::relay {

/// Load of one request on the engines of a chain, counted as long as this
/// object lives.
class ChainLoad {
 public:
  /// `tokens`: see MemoryTokens.
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
