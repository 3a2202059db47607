#include "config/configuration_json.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace {

std::string ReadFile(const std::string& name) {
  std::ifstream file(std::string(QP_SOURCE_DIR) + "/examples/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

TEST_CASE("The example targets are valid and unchanged by a round trip",
          "[configuration]") {
  for (const char* name :
       {"member-desk/targets.json", "ladle-rota/targets.json"}) {
    const auto parsed = qp::ParseConfiguration(ReadFile(name));
    REQUIRE(parsed);
    CHECK(parsed.value().classes.size() == 4);
    CHECK(parsed.value().workspaces.size() == 10);
    std::vector<qp::Mistake> mistakes;
    const auto again =
        qp::ParseConfiguration(qp::ToJson(parsed.value()), mistakes);
    CHECK(mistakes.empty());
    CHECK(again == parsed.value());
  }
}

TEST_CASE("Every mistake in a configuration is reported with its pointer",
          "[configuration]") {
  auto document = nlohmann::json::parse(ReadFile("member-desk/targets.json"));
  document["classes"][0]["target"]["share"] = 1.5;
  document["classes"][1]["model"] = "no-such-model";
  document["classes"][2].erase("target");
  document["classes"][3]["weight"] = 3;
  document["workspaces"][0]["token_sha256"] = "abc";
  document["models"][0]["layers"] = -1;

  std::vector<qp::Mistake> mistakes;
  qp::ParseConfiguration(document, mistakes);

  std::vector<std::string> pointers;
  pointers.reserve(mistakes.size());
  for (const auto& mistake : mistakes) {
    pointers.push_back(mistake.pointer);
  }
  const std::vector<std::string> expected = {
      "/classes/0/target/share",    "/classes/2/target",
      "/classes/3/weight",          "/models/0/layers",
      "/workspaces/0/token_sha256", "/classes/1/model"};
  CHECK(pointers == expected);
}

TEST_CASE("A class names either a model or a service", "[configuration]") {
  auto document = nlohmann::json::parse(ReadFile("member-desk/targets.json"));
  document["classes"][0]["service"] = "stock-book";
  document["classes"][0]["operation"] = "price";
  std::vector<qp::Mistake> mistakes;
  qp::ParseConfiguration(document, mistakes);
  REQUIRE(mistakes.size() == 1);
  CHECK(mistakes[0].pointer == "/classes/0/model");
}
