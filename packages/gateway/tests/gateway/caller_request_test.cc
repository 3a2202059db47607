#include "gateway/caller_request.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

// Guards against a message that is dropped or reordered in the prompt, which
// also would break the prefix that engines cache.
TEST_CASE("A prompt holds all messages in order and grows at its end",
          "[caller_request]") {
  CHECK(rc::check([] {
    const auto lengths =
        *rc::gen::nonEmpty(rc::gen::container<std::vector<std::uint16_t>>(
            rc::gen::arbitrary<std::uint16_t>()));
    nlohmann::json messages = nlohmann::json::array();
    std::string previous;
    for (const std::uint16_t length : lengths) {
      const std::string text = std::to_string(length);
      messages.push_back({{"role", "user"},
                          {"content", {{{"type", "text"}, {"text", text}}}}});
      const nlohmann::json body = {{"model", "m"}, {"messages", messages}};
      const auto chat = qp::ReadChatBody(body.dump());
      RC_ASSERT(chat.has_value());
      RC_ASSERT(chat.value().prompt == previous + "user: " + text + "\n");
      previous = chat.value().prompt;
    }
  }));
}

// Guards against a body that ends the process instead of the request.
TEST_CASE("Any body is read or refused", "[caller_request]") {
  const auto* type =
      GENERATE("null", "7", "\"a\"", "[]", "{}", "[{}]", "true", "-1", "1e99",
               "[{\"role\":1}]", "[{\"role\":\"u\",\"content\":[7]}]");
  for (const char* member : {"model", "messages", "max_tokens", "stream"}) {
    nlohmann::json body = {{"model", "m"},
                           {"messages", {{{"role", "u"}, {"content", "c"}}}}};
    body[member] = nlohmann::json::parse(type);
    const auto chat = qp::ReadChatBody(body.dump());
    if (!chat) {
      CHECK(chat.error().status == qp::http::Status::bad_request);
      CHECK(chat.error().outcome == qp::Outcome::kNotRun);
    }
  }
  CHECK(rc::check([](const std::string& bytes) {
    const auto chat = qp::ReadChatBody(bytes);
    RC_ASSERT(chat || chat.error().outcome == qp::Outcome::kNotRun);
  }));
}

// Guards against a path that reaches another service or operation.
TEST_CASE("A service path has exactly two segments", "[caller_request]") {
  const auto path = qp::ReadServicePath("/v1/services/stock-book/hold");
  REQUIRE(path);
  CHECK(path->service == "stock-book");
  CHECK(path->operation == "hold");
  const auto* other =
      GENERATE("/v1/services/", "/v1/services/a", "/v1/services/a/",
               "/v1/services//b", "/v1/services/a/b/c", "/v1/service/a/b");
  CHECK_FALSE(qp::ReadServicePath(other));
}
