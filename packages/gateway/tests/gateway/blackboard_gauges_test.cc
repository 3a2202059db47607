#include "gateway/blackboard_gauges.h"

#include <catch2/catch.hpp>

#include "blackboard/blackboard.h"
#include "gateway/metrics.h"

namespace {

std::string TextOf(const qp::Blackboard& blackboard, qp::Metrics& metrics) {
  qp::UpdateGauges(blackboard, metrics);
  return "\n" + metrics.Text();
}

bool Has(const std::string& text, const std::string& line) {
  return text.find("\n" + line + "\n") != std::string::npos;
}

}  // namespace

// Guards against alarms that read a state which no longer exists.
TEST_CASE("Gauges follow the blackboard and drop what is gone",
          "[blackboard_gauges]") {
  qp::Blackboard blackboard;
  qp::Metrics metrics;
  auto members = blackboard.members.Claim();
  auto backends = blackboard.backends.Claim();
  auto budgets = blackboard.budgets.Claim();

  qp::Member gone;
  gone.state = qp::MemberState::kGone;
  members->Publish({{qp::Member{}, gone}});
  qp::Backend leaving;
  leaving.leaving = true;
  qp::Backend unreachable = leaving;
  unreachable.reachable = false;
  backends->Publish({{qp::Backend{}, leaving, unreachable}});
  budgets->Publish({3, {{"questions", {2.5, 100}}}});
  const std::string before = TextOf(blackboard, metrics);
  CHECK(Has(before, R"(quetzalpost_members{state="alive"} 1)"));
  CHECK(Has(before, R"(quetzalpost_members{state="gone"} 1)"));
  CHECK(Has(before,
            R"(quetzalpost_backend_servers{role="engine",state="leaving"} 1)"));
  CHECK(Has(
      before,
      R"(quetzalpost_backend_servers{role="engine",state="unreachable"} 1)"));
  CHECK(
      Has(before,
          R"(quetzalpost_budget_requests_per_second{class="questions"} 2.5)"));
  CHECK(Has(before, "quetzalpost_ready 0"));

  members->Publish({});
  budgets->Publish({4, {}});
  const std::string after = TextOf(blackboard, metrics);
  CHECK(Has(after, R"(quetzalpost_members{state="gone"} 0)"));
  CHECK(Has(after, "quetzalpost_budget_generation 4"));
  CHECK(after.find("questions") == std::string::npos);
}
