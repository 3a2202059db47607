#include "relay/protocol.h"

#include <algorithm>
#include <array>

namespace qp::relay {

bool IsConnectionHeader(std::string_view lower_case_name) {
  static constexpr std::array<std::string_view, 9> kNames = {
      "connection",
      "keep-alive",
      "proxy-authenticate",
      "proxy-authorization",
      "proxy-connection",
      "te",
      "trailer",
      "transfer-encoding",
      "upgrade"};
  return std::find(kNames.begin(), kNames.end(), lower_case_name) !=
         kNames.end();
}

}  // namespace qp::relay
