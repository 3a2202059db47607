#include "blackboard/entry.h"

#include <catch2/catch.hpp>

TEST_CASE("An entry has one owner and immutable snapshots", "[entry]") {
  qp::Entry<int> entry;
  auto writer = entry.Claim();
  REQUIRE(writer != nullptr);

  SECTION("a second owner is refused") { CHECK(entry.Claim() == nullptr); }
  SECTION("a snapshot taken before a write keeps its value") {
    const auto before = entry.Read();
    writer->Publish(7);
    CHECK(before->value == 0);
    CHECK(entry.Read()->value == 7);
    CHECK(entry.Read()->version == before->version + 1);
  }
  SECTION("subscribers see each write") {
    int seen = 0;
    entry.Subscribe([&seen](const auto& snapshot) { seen += snapshot->value; });
    writer->Publish(2);
    writer->Publish(3);
    CHECK(seen == 5);
  }
}
