#include "foundation/timeline.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <set>
#include <sstream>

#include "testing/test_runtime.h"

TEST_CASE("A merged time line never puts an effect before its cause",
          "[timeline]") {
  qp::testing::TestRuntime runtime;
  qp::Timeline sender(runtime.clock(), "z-sender", qp::LogFormat::kHuman);
  qp::Timeline receiver(runtime.clock(), "a-receiver", qp::LogFormat::kHuman);

  sender.Record(qp::EventId::kBudgetGranted, {});
  receiver.Observe(sender.Stamp());
  receiver.Record(qp::EventId::kBudgetReceived, {});

  const auto merged =
      qp::MergeTimelines({receiver.Snapshot(), sender.Snapshot()});
  REQUIRE(merged.size() == 2);
  CHECK(merged[0].id == qp::EventId::kBudgetGranted);
  CHECK(merged[1].id == qp::EventId::kBudgetReceived);
}

TEST_CASE("The ring keeps the latest events within its capacity",
          "[timeline]") {
  qp::testing::TestRuntime runtime;
  qp::Timeline timeline(runtime.clock(), "node", qp::LogFormat::kJson, 2);
  timeline.Record(qp::EventId::kMemberJoined, {});
  timeline.Record(qp::EventId::kMemberSuspected, {});
  timeline.Record(qp::EventId::kMemberLost, {});

  const auto events = timeline.Snapshot();
  REQUIRE(events.size() == 2);
  CHECK(events.back().id == qp::EventId::kMemberLost);
}

TEST_CASE("Event numbers and names are unique and ordered", "[event]") {
  std::set<std::string_view> names;
  int previous = 0;
  for (const auto& info : qp::EventCatalogue()) {
    CHECK(static_cast<int>(info.id) > previous);
    previous = static_cast<int>(info.id);
    CHECK(names.insert(info.name).second);
    CHECK(&qp::InfoOf(info.id) == &info);
  }
}

TEST_CASE("docs/events.md matches the catalogue of events", "[event]") {
  std::ifstream file(std::string(QP_SOURCE_DIR) + "/docs/events.md");
  std::ostringstream page;
  page << file.rdbuf();
  CHECK(page.str() == qp::EventCatalogueMarkdown());
}
