#include "calls/token_sequence.h"

#include <catch2/catch.hpp>

#include "calls/choices.h"

using qp::RecordVerdict;
using qp::TokenRecord;
using qp::TokenSequence;

namespace {

constexpr std::uint32_t kLayers = 8;

TokenRecord MakeRecord(std::uint32_t attempt, std::uint64_t position) {
  return {"r1", attempt,    position, "t" + std::to_string(position),
          0,    kLayers - 1};
}

/// Field of a record that a MutantSequence does not check.
enum class OmittedCheck { kNone, kRequest, kAttempt, kPosition, kLayers };

/// Sequence without one of its checks: the checked fields of each record are
/// replaced by the expected ones.
class MutantSequence {
 public:
  explicit MutantSequence(OmittedCheck omitted) : omitted_check(omitted) {}

  void StartAttempt() { this->sequence.StartAttempt(); }

  void Accept(TokenRecord record) {
    const auto next_position = this->sequence.tokens().size();
    if (this->omitted_check == OmittedCheck::kRequest) {
      record.request = "r1";
    }
    if (this->omitted_check == OmittedCheck::kAttempt) {
      record.attempt = this->sequence.current_attempt();
    }
    if (this->omitted_check == OmittedCheck::kPosition) {
      record.position = next_position;
    }
    if (this->omitted_check == OmittedCheck::kLayers) {
      record.first_layer = 0;
      record.last_layer = kLayers - 1;
    }
    this->sequence.Accept(record);
  }

  const std::vector<std::string>& tokens() const {
    return this->sequence.tokens();
  }

 private:
  OmittedCheck omitted_check;
  TokenSequence sequence{"r1", kLayers};
};

/// Returns the next record or one that belongs to another request or an earlier
/// attempt, is duplicated, skips a position or is partial. Only records of this
/// attempt with all layers carry the token "t<position>".
TokenRecord NextRecord(qp::testing::ChoiceReader& reader, std::uint32_t attempt,
                       std::uint64_t next_position) {
  TokenRecord record = MakeRecord(attempt, next_position);
  switch (reader.Next(6)) {
    case 1:
      record.request = "r2";
      record.token = "crossed";
      break;
    case 2:
      record.attempt = attempt - 1;
      record.token = "late";
      break;
    case 3:
      record.position = next_position == 0 ? 0 : next_position - 1;
      record.token = "t" + std::to_string(record.position);
      break;
    case 4:
      record.position = next_position + 1;
      record.token = "t" + std::to_string(record.position);
      break;
    case 5:
      record.last_layer = kLayers / 2;
      record.token = "partial";
      break;
    default:
      break;
  }
  return record;
}

qp::testing::Violation CheckResponse(OmittedCheck omitted_check,
                                     const qp::testing::Choices& choices) {
  qp::testing::ChoiceReader reader(choices);
  MutantSequence sequence(omitted_check);
  std::uint32_t attempt = 0;
  for (std::size_t step = 0; step < choices.size(); ++step) {
    if (step == 0 || reader.Next(8) == 1) {
      sequence.StartAttempt();
      ++attempt;
    }
    sequence.Accept(NextRecord(reader, attempt, sequence.tokens().size()));
  }
  for (std::size_t i = 0; i < sequence.tokens().size(); ++i) {
    if (sequence.tokens()[i] != "t" + std::to_string(i)) {
      return "position " + std::to_string(i) + " has token " +
             sequence.tokens()[i];
    }
  }
  return std::nullopt;
}

}  // namespace

TEST_CASE("A sequence reports why it does not accept a record", "[tokens]") {
  TokenSequence sequence("r1", kLayers);
  sequence.StartAttempt();
  REQUIRE(sequence.Accept(MakeRecord(1, 0)) == RecordVerdict::kNext);

  SECTION("the next position is accepted") {
    CHECK(sequence.Accept(MakeRecord(1, 1)) == RecordVerdict::kNext);
    CHECK(sequence.tokens() == std::vector<std::string>{"t0", "t1"});
    CHECK(sequence.dropped() == 0);
  }
  SECTION("a duplicate is dropped") {
    CHECK(sequence.Accept(MakeRecord(1, 0)) == RecordVerdict::kUsedPosition);
    CHECK(sequence.dropped() == 1);
  }
  SECTION("a skipped position is a gap") {
    CHECK(sequence.Accept(MakeRecord(1, 2)) == RecordVerdict::kGap);
  }
  SECTION("a record of the previous attempt is dropped") {
    sequence.StartAttempt();
    CHECK(sequence.Accept(MakeRecord(1, 1)) == RecordVerdict::kOtherAttempt);
    CHECK(sequence.Accept(MakeRecord(2, 1)) == RecordVerdict::kNext);
  }
  SECTION("a record of another request is dropped") {
    auto record = MakeRecord(1, 1);
    record.request = "r2";
    CHECK(sequence.Accept(record) == RecordVerdict::kOtherRequest);
  }
  SECTION("a token that skipped a layer is not accepted") {
    auto record = MakeRecord(1, 1);
    record.first_layer = 1;
    CHECK(sequence.Accept(record) == RecordVerdict::kWrongLayers);
    record.first_layer = 0;
    record.last_layer = kLayers - 2;
    CHECK(sequence.Accept(record) == RecordVerdict::kWrongLayers);
  }
}

TEST_CASE("A response has each token once and in order for any records",
          "[tokens][property]") {
  CHECK(qp::testing::HoldsForAll(
      "each token once and in order", [](const auto& choices) {
        return CheckResponse(OmittedCheck::kNone, choices);
      }));
}

TEST_CASE("The check on responses detects each omitted comparison",
          "[tokens][counter-proof]") {
  const auto omitted_check =
      GENERATE(OmittedCheck::kRequest, OmittedCheck::kAttempt,
               OmittedCheck::kPosition, OmittedCheck::kLayers);
  const auto violation = qp::testing::FindViolation([&](const auto& choices) {
    return CheckResponse(omitted_check, choices);
  });
  CAPTURE(static_cast<int>(omitted_check), violation.value_or("none"));
  CHECK(violation.has_value());
  // The same search must find no violation with all checks.
  CHECK_FALSE(qp::testing::FindViolation([](const auto& choices) {
    return CheckResponse(OmittedCheck::kNone, choices);
  }));
}
