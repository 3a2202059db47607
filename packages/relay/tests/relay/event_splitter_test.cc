#include "relay/event_splitter.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace qp::relay::testing {

TEST_CASE("Complete events are returned with their ids", "[relay][events]") {
  EventSplitter splitter;
  splitter.Append(
      "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\ndata: c\n\nid: 4\n");
  auto event = splitter.Next();
  REQUIRE(event);
  CHECK(event->bytes == "id: 1\ndata: a\n\n");
  CHECK(event->id == 1);
  event = splitter.Next();
  REQUIRE(event);
  CHECK(event->id == 2);
  event = splitter.Next();
  REQUIRE(event);
  CHECK(event->bytes == "data: c\n\n");
  CHECK_FALSE(event->id);
  CHECK_FALSE(splitter.Next());
  CHECK(splitter.partial_bytes() > 0);
}

TEST_CASE("An incomplete event is discarded on reset", "[relay][events]") {
  EventSplitter splitter;
  splitter.Append("id: 3\ndata: hal");
  CHECK_FALSE(splitter.Next());
  splitter.Reset();
  splitter.Append("id: 3\ndata: half\n\n");
  const auto event = splitter.Next();
  REQUIRE(event);
  CHECK(event->bytes == "id: 3\ndata: half\n\n");
  CHECK_FALSE(splitter.partial_bytes() > 0);
}

TEST_CASE("A comment is distinguished from an event with data",
          "[relay][events]") {
  EventSplitter splitter;
  splitter.Append(": still here\n\nid: 1\ndata: a\n\n");
  CHECK_FALSE(splitter.Next()->has_data);
  CHECK(splitter.Next()->has_data);
}

TEST_CASE("Events do not depend on how the bytes are split",
          "[relay][events]") {
  CHECK(rc::check("for any cuts", [] {
    std::string stream;
    const int count = *rc::gen::inRange(1, 20);
    for (int id = 0; id < count; ++id) {
      stream += "id: " + std::to_string(id) + "\ndata: x" +
                std::string(id % 7, 'y') + "\n\n";
    }
    EventSplitter splitter;
    std::string joined;
    std::uint64_t expected = 0;
    for (std::size_t at = 0; at < stream.size();) {
      const auto size = *rc::gen::inRange<std::size_t>(1, 12);
      splitter.Append(stream.substr(at, size));
      at += size;
      while (const auto event = splitter.Next()) {
        RC_ASSERT(event->id == expected++);
        joined += event->bytes;
      }
    }
    RC_ASSERT(joined == stream);
  }));
}

}  // namespace qp::relay::testing
