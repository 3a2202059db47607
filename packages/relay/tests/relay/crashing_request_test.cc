#include <catch2/catch.hpp>

#include "relay/relay_harness.h"

namespace qp::relay::testing {

namespace {

/// Keeps the fields of the last event.
class LastEvent : public EventSink {
 public:
  void Record(EventId id, std::vector<EventField> fields) override {
    this->last_id = id;
    this->last_fields = std::move(fields);
  }
  std::string Field(std::string_view name) const {
    for (const auto& field : this->last_fields) {
      if (field.name == name) {
        return field.value;
      }
    }
    return {};
  }

  std::optional<EventId> last_id;
  std::vector<EventField> last_fields;
};

}  // namespace

TEST_CASE("The line of a crash lists the requests that waited on the server",
          "[relay][quarantine]") {
  RelayHarness harness;
  LastEvent events;
  CrashProbe probe(harness.runtime.io(), harness.relay.timers, events,
                   harness.relay.quarantine);
  harness.AddServer("s1").Crash();
  const auto server = harness.relay.servers.Find("s1");
  for (int number = 0; number < 40; ++number) {
    probe.ReportBroken(server, {"part"},
                       "request-" + std::to_string(1000 + number),
                       harness.relay.Now());
  }
  REQUIRE(harness.Until([&] { return events.last_id.has_value(); }));
  CHECK(events.last_id == EventId::kCrashProbed);
  CHECK(events.Field("crashed") == "true");
  const std::string listed = events.Field("fingerprints");
  CHECK(listed.find("request-1000 request-1001 ") == 0);
  CHECK(listed.find("request-1031 +8") != std::string::npos);
}

}  // namespace qp::relay::testing
