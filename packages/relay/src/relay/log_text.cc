#include "relay/log_text.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdio>

namespace qp::relay {

namespace {

constexpr std::size_t kMaxLoggedPartLength = 32;  ///< Characters.

}  // namespace

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

std::string FormatParts(std::span<const std::string> parts,
                        std::size_t max_parts) {
  std::string text;
  const std::size_t shown = std::min(parts.size(), max_parts);
  for (const auto& part : parts.first(shown)) {
    text += (text.empty() ? "" : " ") + part.substr(0, kMaxLoggedPartLength);
  }
  if (shown < parts.size()) {
    text += " +" + std::to_string(parts.size() - shown);
  }
  return text;
}

std::string FormatShare(double share) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.2f", share);
  return text.data();
}

std::string FormatMillis(Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
}

}  // namespace qp::relay
