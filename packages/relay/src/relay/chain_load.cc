#include "relay/chain_load.h"

#include <algorithm>
#include <utility>

namespace qp::relay {

ChainLoad::ChainLoad(Chain loaded, double request_tokens)
    : counted_chain(std::move(loaded)), tokens(request_tokens) {
  for (const auto& stage : this->counted_chain.stages) {
    const double token_layers = this->tokens * stage.layers.size();
    ++stage.server->in_flight;
    stage.server->kv_token_layers += token_layers;
    ++stage.server->unreported_streams;
    stage.server->unreported_kv_token_layers += token_layers;
  }
}

ChainLoad::~ChainLoad() {
  for (const auto& stage : this->counted_chain.stages) {
    stage.server->in_flight -= stage.server->in_flight > 0 ? 1 : 0;
    stage.server->kv_token_layers =
        std::max(0.0, stage.server->kv_token_layers -
                          this->tokens * stage.layers.size());
  }
}

}  // namespace qp::relay
