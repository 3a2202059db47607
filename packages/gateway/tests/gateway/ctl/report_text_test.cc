#include "gateway/ctl/report_text.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

// Guards against columns that slip when a row lacks a member.
TEST_CASE("Rows with different members share one table", "[report_text]") {
  const nlohmann::json report = {
      {"month", "2026-12"},
      {"lines",
       {{{"class", "questions"}, {"cost", {{"bound", 1708224.5}}}},
        {{"class", "look-ups"}, {"hours", 0.5}}}}};
  CHECK(qp::ctl::ReportText(report) ==
        "month  2026-12\n"
        "\n"
        "lines:\n"
        "class      cost.bound  hours\n"
        "questions  1708224     -\n"
        "look-ups   -           0.5\n");
}

// Guards against a report that ends the program instead of being shown.
TEST_CASE("Reports of any shape have a text", "[report_text]") {
  const auto* text = GENERATE("null", "7", "[]", "{}", "[1,2]", "[{}]",
                              "[{},{\"a\":[]}]", "{\"a\":{\"b\":{}}}");
  CHECK_NOTHROW(qp::ctl::ReportText(nlohmann::json::parse(text)));
}
