#include "relay/log_text.h"

#include <chrono>

namespace qp::relay {

std::string FormatChain(const std::optional<Chain>& chain) {
  std::string text;
  if (chain) {
    for (const auto& stage : chain->stages) {
      text += (text.empty() ? "" : " ") + stage.server->record.id + "=" +
              std::to_string(stage.layers.first) + "-" +
              std::to_string(stage.layers.end);
    }
  }
  return text;
}

std::string FormatMillis(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace qp::relay
