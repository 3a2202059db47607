#include "cluster/messages.h"

#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <string>

namespace qp {
namespace {

Digest SampleDigest() {
  Digest digest;
  digest.node = HashName("vm-1");
  digest.sequence = 77;
  digest.echo = 12;
  digest.wants_reply = true;
  digest.heartbeat = 900;
  digest.configuration_version = 1ULL << 40U;
  digest.generation = 3;
  MemberEntry member;
  member.node = HashName("vm-2");
  member.heartbeat = 70'000;
  member.flag = MemberEntry::Flag::kSuspect;
  member.incarnation = 200;
  member.configuration_lag = 31;
  member.generation_lag = 2;
  member.heard_age = 11;
  member.exchange_age = 126;
  digest.members.push_back(member);
  digest.member_details.push_back({"vm-2", "10.0.0.2:7000", "r", "z", 200});
  ObservationEntry observation;
  observation.backend = HashName("worker-1");
  observation.counter = 5;
  observation.running = EncodeLoad(20);
  observation.leaving = true;
  observation.reachable = false;
  observation.detail_tag = 63;
  observation.age = 100;
  digest.observations.push_back(observation);
  digest.backend_details.push_back({"worker-1", 9, "k", "m", "", 0, 7, 32});
  digest.shortages.push_back({1, 2, 1'000'000, 5});
  digest.missing_details = {3, 4};
  return digest;
}

// Guards against fields that are omitted or swapped when a digest is encoded.
TEST_CASE("encoding and decoding a digest preserves all fields",
          "[cluster][messages]") {
  const MessageHeader header{"10.0.0.1:7000", 4, {1234567890123, 6}};
  const std::string bytes = EncodeMessage(header, SampleDigest());
  const auto received = DecodeMessage(bytes);
  REQUIRE(received.has_value());
  CHECK(received.value().header.address == header.address);
  CHECK(received.value().header.time == header.time);
  // Encoding is deterministic, so equal bytes imply equal fields.
  CHECK(EncodeMessage(received.value().header, received.value().message) ==
        bytes);
  const auto& digest = std::get<Digest>(received.value().message);
  CHECK(digest.members.at(0).exchange_age == 126);
  CHECK(digest.members.at(0).flag == MemberEntry::Flag::kSuspect);
  CHECK(digest.observations.at(0).leaving);
  CHECK_FALSE(digest.observations.at(0).reachable);
  CHECK(digest.shortages.at(0).units == 1'000'000);
  CHECK(digest.backend_details.at(0).slots == 32);
}

// Guards against exceptions and crashes while decoding corrupted messages.
TEST_CASE("decoding a corrupted message returns a message or an error",
          "[cluster][messages][property]") {
  rc::prop("with random bytes replaced", [] {
    std::string bytes = EncodeMessage({"10.0.0.1:7000", 4, {}}, SampleDigest());
    const auto changes = *rc::gen::inRange(1, 6);
    for (int change = 0; change < changes; ++change) {
      const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
      bytes[at] = *rc::gen::arbitrary<char>();
    }
    bytes.resize(*rc::gen::inRange<std::size_t>(0, bytes.size() + 1));
    const auto received = DecodeMessage(bytes);
    RC_ASSERT(received.has_value() ||
              received.error().step == "cluster.decode");
  });
}

// Guards against encoded loads that are much lower than the actual loads.
TEST_CASE("an encoded load is rounded down by at most 1/16",
          "[cluster][messages][property]") {
  rc::prop("for loads up to 2^16", [] {
    const auto load = *rc::gen::inRange<std::uint32_t>(0, 1U << 16U);
    const std::uint32_t decoded = DecodeLoad(EncodeLoad(load));
    RC_ASSERT(decoded <= load);
    RC_ASSERT(load - decoded <= load / 16);
  });
}

}  // namespace
}  // namespace qp
