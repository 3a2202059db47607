#include "daemon/generation_json.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

TEST_CASE("A budget generation survives the table", "[generation]") {
  const qp::policy::BudgetGeneration generation{
      3, {{"entry-1", 17}, {"entry-2", 18}}, {{"entry-1", 16}}};
  CHECK(qp::GenerationOf(qp::ToJson(generation)) == generation);
}

// A generation that is read in part would divide a rate among too few daemons.
TEST_CASE("A malformed generation is not used", "[generation]") {
  auto item = qp::ToJson(qp::policy::BudgetGeneration{3, {{"a", 1}}, {}});

  SECTION("without its members") { item.erase("members"); }
  SECTION("without the former members") { item.erase("previous_members"); }
  SECTION("with a member without incarnation") {
    item["members"][0].erase("incarnation");
  }
  SECTION("with a number that is none") { item["number"] = "3"; }
  CHECK_FALSE(qp::GenerationOf(item));
}
