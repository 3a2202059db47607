#include "gateway/metrics.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;

namespace {

bool HasLine(const std::string& text, const std::string& line) {
  return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

}  // namespace

// Guards against bins reported as they are: Prometheus reads each bucket as
// the count of all observations up to and including its bound.
TEST_CASE("Buckets are cumulative and include their bound", "[metrics]") {
  qp::Metrics metrics;
  metrics.OnFirstToken("questions", 320ms);
  metrics.OnFirstToken("questions", 320ms + 1ns);
  metrics.OnFirstToken("questions", 2min);
  metrics.OnFirstToken("questions", -1ms);
  const std::string text = metrics.Text();
  const std::string name = "quetzalpost_first_token_seconds";
  CHECK(HasLine(text, "# TYPE " + name + " histogram"));
  CHECK(HasLine(text, name + R"(_bucket{class="questions",le="0.0005"} 1)"));
  CHECK(HasLine(text, name + R"(_bucket{class="questions",le="0.25"} 1)"));
  CHECK(HasLine(text, name + R"(_bucket{class="questions",le="0.32"} 2)"));
  CHECK(HasLine(text, name + R"(_bucket{class="questions",le="0.5"} 3)"));
  CHECK(HasLine(text, name + R"(_bucket{class="questions",le="60"} 3)"));
  CHECK(HasLine(text, name + R"(_bucket{class="questions",le="+Inf"} 4)"));
  CHECK(HasLine(text, name + R"(_count{class="questions"} 4)"));
}

// Guards against a scrape that fails as a whole for one odd label.
TEST_CASE("Labels are escaped and each family has one type line", "[metrics]") {
  qp::Metrics metrics;
  metrics.Increment("quetzalpost_refusals_total", {{"reason", "a\"b\\c\nd"}});
  metrics.Increment("quetzalpost_refusals_total", {{"reason", "e"}}, 2);
  metrics.SetGauge("quetzalpost_ready", {}, 1);
  const std::string text = metrics.Text();
  CHECK(HasLine(text, "# TYPE quetzalpost_refusals_total counter"));
  CHECK(HasLine(text, R"(quetzalpost_refusals_total{reason="a\"b\\c\nd"} 1)"));
  CHECK(HasLine(text, R"(quetzalpost_refusals_total{reason="e"} 2)"));
  CHECK(HasLine(text, "quetzalpost_ready 1"));
  CHECK(text.find("# TYPE quetzalpost_refusals_total") ==
        text.rfind("# TYPE quetzalpost_refusals_total"));
}
