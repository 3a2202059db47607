#include "relay/responses.h"

#include <boost/beast/http/status.hpp>
#include <chrono>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "relay/protocol.h"

namespace qp::relay {

namespace {

namespace beast_http = boost::beast::http;

std::string StatusLine(unsigned status) {
  const auto reason =
      beast_http::obsolete_reason(beast_http::int_to_status(status));
  return "HTTP/1.1 " + std::to_string(status) + " " +
         std::string(reason.data(), reason.size()) + "\r\n";
}

std::string Lower(std::string_view text) {
  std::string lower(text);
  for (char& letter : lower) {
    letter =
        static_cast<char>(std::tolower(static_cast<unsigned char>(letter)));
  }
  return lower;
}

void AppendHeaders(const beast_http::fields& headers, std::string& text) {
  for (const auto& header : headers) {
    const std::string name(header.name_string());
    const std::string lower = Lower(name);
    if (lower == "content-length" || IsConnectionHeader(lower)) {
      continue;
    }
    text += name;
    text += ": ";
    text.append(header.value().data(), header.value().size());
    text += "\r\n";
  }
}

std::string_view ConnectionHeader(bool keep_open) {
  return keep_open ? "" : "Connection: close\r\n";
}

}  // namespace

std::string SerializeResponse(unsigned status,
                              const beast_http::fields& headers,
                              std::string_view body, bool keep_open) {
  std::string text = StatusLine(status);
  AppendHeaders(headers, text);
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  text += ConnectionHeader(keep_open);
  text += "\r\n";
  text += body;
  return text;
}

std::string SerializeChunkedHead(unsigned status,
                                 const beast_http::fields& headers,
                                 bool keep_open) {
  std::string text = StatusLine(status);
  AppendHeaders(headers, text);
  text += "Transfer-Encoding: chunked\r\n";
  text += ConnectionHeader(keep_open);
  text += "\r\n";
  return text;
}

std::string SerializeChunk(std::string_view bytes) {
  char size[20];
  const int length = std::snprintf(size, sizeof(size), "%zx\r\n", bytes.size());
  std::string text;
  text.reserve(bytes.size() + 24);
  text.append(size, static_cast<std::size_t>(length));
  text += bytes;
  text += "\r\n";
  return text;
}

std::string SerializeLocalReply(const LocalReply& reply, bool keep_open) {
  const std::string body =
      nlohmann::json{{"error", std::string(reply.reason)}}.dump();
  beast_http::fields headers;
  headers.set(beast_http::field::content_type, "application/json");
  if (reply.retry_after) {
    char seconds[20];
    std::snprintf(seconds, sizeof(seconds), "%.2f",
                  std::chrono::duration<double>(*reply.retry_after).count());
    headers.set(beast_http::field::retry_after, seconds);
  }
  return SerializeResponse(reply.status, headers, body, keep_open);
}

}  // namespace qp::relay
