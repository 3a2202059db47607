#include "config/daemon_settings.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <nlohmann/json.hpp>

namespace {

nlohmann::json ExampleSettings(const std::string& deployment) {
  std::ifstream file(std::string(QP_SOURCE_DIR) + "/examples/" + deployment +
                     "/entry-1.json");
  return nlohmann::json::parse(file);
}

}  // namespace

TEST_CASE("The example settings are valid", "[settings]") {
  for (const char* deployment : {"member-desk", "ladle-rota"}) {
    const auto settings =
        qp::ParseDaemonSettings(ExampleSettings(deployment).dump());
    REQUIRE(settings);
    CHECK(settings.value().node == "entry-1");
    CHECK(settings.value().drain_grace == std::chrono::seconds(5));
  }
}

TEST_CASE("All mistakes in the settings are reported together", "[settings]") {
  auto document = ExampleSettings("member-desk");

  SECTION("a host name is not an address") {
    document["caller_address"] = "localhost:80";
    document["peer_address"] = "127.0.0.1:99999";
    document["log_level"] = "loud";
    std::vector<qp::Mistake> mistakes;
    qp::ParseDaemonSettings(document, mistakes);
    REQUIRE(mistakes.size() == 3);
    CHECK(mistakes[0].pointer == "/caller_address");
    CHECK(mistakes[1].pointer == "/peer_address");
    CHECK(mistakes[2].pointer == "/log_level");
  }
  SECTION("a missing and an unknown member are both reported") {
    document.erase("node");
    document["nodes"] = "entry-1";
    const auto settings = qp::ParseDaemonSettings(document.dump());
    REQUIRE_FALSE(settings);
    CHECK(settings.error().code == qp::ErrorCode::kInvalidArgument);
    CHECK(settings.error().detail.find("/node: expected") != std::string::npos);
    CHECK(settings.error().detail.find("/nodes: expected") !=
          std::string::npos);
  }
  SECTION("text that is not JSON is refused") {
    CHECK_FALSE(qp::ParseDaemonSettings("{"));
  }
}
