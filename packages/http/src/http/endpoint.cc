#include "http/endpoint.h"

#include <charconv>
#include <string>

namespace qp::http {

Result<asio::ip::tcp::endpoint> ParseEndpoint(std::string_view address) {
  const Error malformed{ErrorCode::kInvalidArgument, "http.parse_address",
                        std::string(address), "expected IP:port"};
  const auto colon = address.rfind(':');
  if (colon == std::string_view::npos) {
    return malformed;
  }
  std::string_view ip_text = address.substr(0, colon);
  if (ip_text.size() > 2 && ip_text.front() == '[' && ip_text.back() == ']') {
    ip_text = ip_text.substr(1, ip_text.size() - 2);
  }
  std::uint16_t port = 0;
  const char* end = address.data() + address.size();
  const auto parsed = std::from_chars(address.data() + colon + 1, end, port);
  boost::system::error_code failure;
  const auto ip = asio::ip::make_address(std::string(ip_text), failure);
  if (failure || parsed.ec != std::errc() || parsed.ptr != end) {
    return malformed;
  }
  return asio::ip::tcp::endpoint(ip, port);
}

}  // namespace qp::http
