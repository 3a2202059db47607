#include "http/message.h"

namespace qp::http {

namespace {

constexpr unsigned kHttp11 = 11;

/// Value of a hexadecimal digit, or -1 for any other character.
int HexValue(char digit) {
  if (digit >= '0' && digit <= '9') {
    return digit - '0';
  }
  const char lower = static_cast<char>(digit | 0x20);
  return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

/// Decodes %XX and '+' as in form data; a malformed %XX stays as it is.
std::string DecodePercent(std::string_view text) {
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const bool is_escape = text[i] == '%' && i + 2 < text.size() &&
                           HexValue(text[i + 1]) >= 0 &&
                           HexValue(text[i + 2]) >= 0;
    if (is_escape) {
      decoded +=
          static_cast<char>(HexValue(text[i + 1]) * 16 + HexValue(text[i + 2]));
      i += 2;
    } else {
      decoded += text[i] == '+' ? ' ' : text[i];
    }
  }
  return decoded;
}

std::string_view TargetOf(const Request& request) {
  return {request.target().data(), request.target().size()};
}

}  // namespace

Request MakeRequest(Verb verb, std::string_view target, std::string body) {
  Request request(verb, {target.data(), target.size()}, kHttp11);
  if (!body.empty()) {
    request.set(boost::beast::http::field::content_type, "application/json");
  }
  request.body() = std::move(body);
  request.prepare_payload();
  return request;
}

Response MakeResponse(Status status, std::string body) {
  Response response(status, kHttp11);
  response.set(boost::beast::http::field::content_type, "application/json");
  response.body() = std::move(body);
  response.prepare_payload();
  return response;
}

std::string_view HeaderOr(const Request& request, std::string_view name,
                          std::string_view fallback) {
  const auto found = request.find({name.data(), name.size()});
  if (found == request.end()) {
    return fallback;
  }
  return {found->value().data(), found->value().size()};
}

std::string_view PathOf(const Request& request) {
  const std::string_view target = TargetOf(request);
  return target.substr(0, target.find('?'));
}

std::string QueryParameter(const Request& request, std::string_view name) {
  std::string_view rest = TargetOf(request);
  const auto query_start = rest.find('?');
  if (query_start == std::string_view::npos) {
    return {};
  }
  rest.remove_prefix(query_start + 1);
  while (!rest.empty()) {
    const auto end = rest.find('&');
    const std::string_view parameter = rest.substr(0, end);
    const auto separator = parameter.find('=');
    if (parameter.substr(0, separator) == name &&
        separator != std::string_view::npos) {
      return DecodePercent(parameter.substr(separator + 1));
    }
    rest = end == std::string_view::npos ? "" : rest.substr(end + 1);
  }
  return {};
}

}  // namespace qp::http
