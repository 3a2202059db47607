#include "relay/prompt_quarantine.h"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <random>

namespace qp::relay::testing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Parts = std::vector<std::string>;

const TimePoint kStart{std::chrono::hours(1)};

TimePoint At(int ms) { return kStart + milliseconds(ms); }

/// A crash under one request with `parts`, sent 100 ms before.
void Crash(PromptQuarantine& quarantine, std::uint64_t engine,
           const Parts& parts, int ms) {
  quarantine.RecordCrash(engine, parts, At(ms - 100), At(ms));
  quarantine.CommitCrashes();
}

AdmissionDecision Decide(const PromptQuarantine& quarantine, const Parts& parts,
                         int ms) {
  return quarantine.Admit(parts, At(ms)).decision;
}

/// Counts the calls of a quarantine.
struct CountingListener : QuarantineListener {
  void OnChange() override { ++this->changes; }
  void OnQuarantined(std::string_view part, std::size_t, bool own) override {
    this->quarantined.emplace_back(part);
    this->last_own = own;
  }
  void OnReleased(std::string_view part, bool own) override {
    this->released.emplace_back(part);
    this->last_own = own;
  }
  int changes = 0;
  Parts quarantined;
  Parts released;
  bool last_own = false;
};

}  // namespace

TEST_CASE("A part is quarantined when its trial crashes a second engine",
          "[relay][quarantine]") {
  PromptQuarantine quarantine;
  CHECK(Decide(quarantine, {"bad"}, 0) == AdmissionDecision::kSend);
  Crash(quarantine, 1, {"bad"}, 100);
  CHECK(Decide(quarantine, {"bad"}, 100) == AdmissionDecision::kTrial);
  CHECK(Decide(quarantine, {"other"}, 100) == AdmissionDecision::kSend);
  {
    const auto trial = quarantine.AddPending(Parts{"bad"}, At(110), nullptr);
    CHECK(Decide(quarantine, {"bad"}, 120) == AdmissionDecision::kWait);
  }
  quarantine.RecordCrash(2, Parts{"bad"}, At(110), At(200));
  quarantine.CommitCrashes();
  const auto admission = quarantine.Admit(Parts{"bad", "other"}, At(200));
  CHECK(admission.decision == AdmissionDecision::kReject);
  CHECK(admission.part == "bad");
  CHECK(admission.retry_at > At(200));
  CHECK(Decide(quarantine, {"other"}, 200) == AdmissionDecision::kSend);
}

TEST_CASE("A part whose trial begins to respond is sound",
          "[relay][quarantine]") {
  PromptQuarantine quarantine;
  Crash(quarantine, 1, {"rare"}, 100);
  quarantine.RecordStart(Parts{"rare"}, At(300));
  CHECK(Decide(quarantine, {"rare"}, 300) == AdmissionDecision::kSend);
  Crash(quarantine, 2, {"rare"}, 900);
  CHECK_FALSE(quarantine.IsQuarantined("rare"));
}

TEST_CASE("Engines that crash at the same time quarantine no part",
          "[relay][quarantine]") {
  PromptQuarantine quarantine;
  for (std::uint64_t engine = 1; engine <= 8; ++engine) {
    Crash(quarantine, engine, {"popular"}, 100 + static_cast<int>(engine));
  }
  CHECK_FALSE(quarantine.IsQuarantined("popular"));
}

TEST_CASE("A part that began to respond shortly before a crash needs no trial",
          "[relay][quarantine]") {
  PromptQuarantine quarantine;
  quarantine.RecordStart(Parts{"popular"}, At(0));
  Crash(quarantine, 1, {"popular"}, 200);
  const auto pending =
      quarantine.AddPending(Parts{"popular"}, At(210), nullptr);
  CHECK(Decide(quarantine, {"popular"}, 220) == AdmissionDecision::kSend);
  SECTION("unless a second engine crashes before another response begins") {
    quarantine.RecordCrash(2, Parts{"popular"}, At(210), At(300));
    quarantine.CommitCrashes();
    CHECK(Decide(quarantine, {"popular"}, 310) == AdmissionDecision::kWait);
  }
}

TEST_CASE("A request sent before a response with its part began is no evidence",
          "[relay][quarantine]") {
  PromptQuarantine quarantine;
  quarantine.RecordStart(Parts{"popular"}, At(50));
  quarantine.RecordCrash(1, Parts{"popular", "bad"}, At(0), At(100));
  quarantine.CommitCrashes();
  CHECK(quarantine.MakeReport("popular", At(100)).crashes.empty());
  CHECK(quarantine.MakeReport("bad", At(100)).crashes.size() == 1);
}

TEST_CASE("Parts that crashed the same engines are told apart by a trial",
          "[relay][quarantine]") {
  PromptQuarantine quarantine;
  const Parts both = {"bad", "shared"};
  Crash(quarantine, 1, both, 200);
  Crash(quarantine, 2, both, 400);
  CHECK(Decide(quarantine, both, 500) == AdmissionDecision::kReject);
  CHECK(Decide(quarantine, {"shared"}, 500) == AdmissionDecision::kTrial);
  CHECK(Decide(quarantine, {"bad", "x"}, 500) == AdmissionDecision::kTrial);
  SECTION("of the sound one") {
    quarantine.RecordStart(Parts{"shared"}, At(600));
    CHECK(Decide(quarantine, {"shared"}, 600) == AdmissionDecision::kSend);
    CHECK(Decide(quarantine, {"bad", "x"}, 600) == AdmissionDecision::kReject);
  }
  SECTION("of the other one") {
    Crash(quarantine, 3, {"bad", "x"}, 700);
    CHECK(Decide(quarantine, {"shared"}, 700) == AdmissionDecision::kTrial);
    CHECK(Decide(quarantine, {"x"}, 700) == AdmissionDecision::kTrial);
    CHECK(Decide(quarantine, {"bad", "y"}, 700) == AdmissionDecision::kReject);
    CHECK_FALSE(quarantine.IsQuarantined("shared"));
  }
}

TEST_CASE("Several parts that crash engines are quarantined",
          "[relay][quarantine]") {
  PromptQuarantine quarantine;
  // Both wait on the first engine, so each is a candidate for its crash.
  quarantine.RecordCrash(1, Parts{"bad1"}, At(0), At(100));
  quarantine.RecordCrash(1, Parts{"bad2"}, At(0), At(100));
  quarantine.RecordCrash(1, Parts{"sound"}, At(0), At(100));
  quarantine.CommitCrashes();
  Crash(quarantine, 2, {"bad1"}, 300);
  Crash(quarantine, 3, {"bad2"}, 300);
  CHECK(Decide(quarantine, {"bad1"}, 400) == AdmissionDecision::kReject);
  CHECK(Decide(quarantine, {"bad2"}, 400) == AdmissionDecision::kTrial);
  CHECK(Decide(quarantine, {"sound"}, 400) == AdmissionDecision::kTrial);
  // The first part explains the crash of the first engine.
  Crash(quarantine, 4, {"bad2"}, 600);
  CHECK(Decide(quarantine, {"bad1"}, 600) == AdmissionDecision::kReject);
  CHECK(Decide(quarantine, {"bad2"}, 600) == AdmissionDecision::kReject);
  CHECK(Decide(quarantine, {"sound"}, 600) == AdmissionDecision::kTrial);
}

TEST_CASE("A quarantined part is tried again after growing times",
          "[relay][quarantine]") {
  PromptQuarantine quarantine;
  Crash(quarantine, 1, {"bad"}, 200);
  Crash(quarantine, 2, {"bad"}, 400);
  int now = 400;
  Duration last{};
  for (std::uint64_t engine = 3; engine <= 12; ++engine) {
    const auto admission = quarantine.Admit(Parts{"bad"}, At(now));
    REQUIRE(admission.decision == AdmissionDecision::kReject);
    const Duration delay = admission.retry_at - At(now);
    CHECK(delay >= last);
    last = delay;
    now += static_cast<int>(
        std::chrono::duration_cast<milliseconds>(delay).count());
    CHECK(Decide(quarantine, {"bad"}, now) == AdmissionDecision::kTrial);
    const auto trial = quarantine.AddPending(Parts{"bad"}, At(now), nullptr);
    CHECK(Decide(quarantine, {"bad"}, now + 1) == AdmissionDecision::kReject);
    now += 200;
    Crash(quarantine, engine, {"bad"}, now);
  }
  CHECK(last >= std::chrono::hours(1));
}

TEST_CASE("A trial without an outcome does not block the next one",
          "[relay][quarantine]") {
  PromptQuarantine quarantine;
  Crash(quarantine, 1, {"rare"}, 100);
  auto trial = quarantine.AddPending(Parts{"rare"}, At(100), nullptr);
  CHECK(Decide(quarantine, {"rare"}, 200) == AdmissionDecision::kWait);
  SECTION("after its timeout") {
    CHECK(Decide(quarantine, {"rare"}, 1101) == AdmissionDecision::kTrial);
  }
  SECTION("after its end") {
    trial.reset();
    CHECK(Decide(quarantine, {"rare"}, 201) == AdmissionDecision::kTrial);
  }
}

TEST_CASE("Requests that wait on engines are rejected with the quarantine",
          "[relay][quarantine]") {
  PromptQuarantine quarantine;
  Crash(quarantine, 1, {"bad"}, 100);
  int rejected = 0;
  const auto count = [&rejected] { ++rejected; };
  const auto bad = quarantine.AddPending(Parts{"bad"}, At(110), count);
  const auto sound = quarantine.AddPending(Parts{"sound"}, At(110), count);
  Crash(quarantine, 2, {"bad"}, 250);
  CHECK(rejected == 1);
  const auto retrial = quarantine.AddPending(Parts{"bad"}, At(40000), count);
  rejected = 0;
  Crash(quarantine, 3, {"bad"}, 40100);
  CHECK(rejected == 1);  // The first one again, which is still pending.
}

TEST_CASE("Processes decide alike from the reports of each other",
          "[relay][quarantine]") {
  PromptQuarantine one;
  PromptQuarantine other;
  Crash(one, 1, {"bad", "rare"}, 100);
  other.Merge("one", one.MakeReports(At(102)), At(105));
  CHECK(Decide(other, {"bad"}, 105) == AdmissionDecision::kTrial);
  SECTION("a trial is announced") {
    const auto trial = one.AddPending(Parts{"bad"}, At(110), nullptr);
    other.Merge("one", one.MakeReports(At(111)), At(112));
    CHECK(Decide(other, {"bad"}, 115) == AdmissionDecision::kWait);
    CHECK(Decide(other, {"rare"}, 115) == AdmissionDecision::kTrial);
    CHECK(Decide(other, {"bad"}, 1200) == AdmissionDecision::kTrial);
  }
  SECTION("a response that begins at one clears the part at the other") {
    other.RecordStart(Parts{"rare"}, At(200));
    one.Merge("other", other.MakeReports(At(201)), At(203));
    CHECK(Decide(one, {"rare"}, 204) == AdmissionDecision::kSend);
    CHECK(Decide(one, {"bad"}, 204) == AdmissionDecision::kTrial);
  }
  SECTION("a second crash at the other quarantines the part at both") {
    CountingListener listener;
    one.SetListener(&listener);
    Crash(other, 2, {"bad"}, 300);
    one.Merge("other", other.MakeReports(At(301)), At(303));
    CHECK(Decide(one, {"bad"}, 304) == AdmissionDecision::kReject);
    CHECK(Decide(other, {"bad"}, 304) == AdmissionDecision::kReject);
    CHECK(listener.quarantined == Parts{"bad"});
    CHECK_FALSE(listener.last_own);
  }
  SECTION("two reports of one crash count once") {
    Crash(other, 1, {"bad"}, 103);
    one.Merge("other", other.MakeReports(At(104)), At(106));
    CHECK(one.MakeReport("bad", At(106)).crashes.size() == 1);
  }
  SECTION("a sound part that the other knows is cleared by its report") {
    PromptQuarantine third;
    third.RecordStart(Parts{"rare"}, At(90));
    third.Merge("one", one.MakeReports(At(101)), At(103));
    one.Merge("third", third.MakeReports(At(104)), At(105));
    CHECK(Decide(one, {"rare"}, 106) == AdmissionDecision::kSend);
  }
}

TEST_CASE("Times of crashes don't drift as processes repeat reports",
          "[relay][quarantine]") {
  PromptQuarantine one;
  PromptQuarantine other;
  Crash(one, 1, {"rare"}, 100);
  Crash(one, 2, {"rare"}, 110);
  for (int ms = 120; ms < 3000; ms += 20) {
    other.Merge("one", one.MakeReports(At(ms)), At(ms + 9));
    one.Merge("other", other.MakeReports(At(ms + 10)), At(ms + 19));
  }
  CHECK_FALSE(one.IsQuarantined("rare"));
  CHECK_FALSE(other.IsQuarantined("rare"));
}

TEST_CASE("A part that had begun to respond needs a third crash",
          "[relay][quarantine]") {
  PromptQuarantine quarantine;
  quarantine.RecordStart(Parts{"popular"}, At(0));
  SECTION("without a response that begins in between") {
    Crash(quarantine, 1, {"popular"}, 200);
    Crash(quarantine, 2, {"popular"}, 400);
    CHECK(Decide(quarantine, {"popular"}, 400) == AdmissionDecision::kTrial);
    Crash(quarantine, 3, {"popular"}, 600);
    CHECK(Decide(quarantine, {"popular"}, 600) == AdmissionDecision::kReject);
  }
  SECTION("unless a part without responses explains the crashes") {
    for (std::uint64_t engine = 1; engine <= 4; ++engine) {
      Crash(quarantine, engine, {"popular", "bad"},
            200 * static_cast<int>(engine));
    }
    CHECK(Decide(quarantine, {"bad"}, 800) == AdmissionDecision::kReject);
    CHECK(Decide(quarantine, {"popular"}, 800) == AdmissionDecision::kTrial);
  }
}

TEST_CASE("A restored part is quarantined and tried again later",
          "[relay][quarantine]") {
  PromptQuarantine before;
  Crash(before, 1, {"bad"}, 100);
  Crash(before, 2, {"bad"}, 300);
  PromptQuarantine after;
  after.Restore(before.MakeReport("bad", At(310)), At(5000));
  CHECK(Decide(after, {"bad"}, 5000) == AdmissionDecision::kReject);
  // The report of a process that saw the crashes adds none.
  after.Merge("before", before.MakeReports(At(5000)), At(5001));
  CHECK(after.MakeReport("bad", At(5001)).crashes.size() == 2);
  after.RecordStart(Parts{"bad"}, At(6000));
  CHECK(Decide(after, {"bad"}, 6000) == AdmissionDecision::kSend);
}

TEST_CASE("The listener learns what a process itself has found",
          "[relay][quarantine]") {
  PromptQuarantine quarantine;
  CountingListener listener;
  quarantine.SetListener(&listener);
  Crash(quarantine, 1, {"bad"}, 100);
  CHECK(listener.changes == 1);
  Crash(quarantine, 2, {"bad"}, 300);
  CHECK(listener.quarantined == Parts{"bad"});
  CHECK(listener.last_own);
  quarantine.RecordStart(Parts{"bad"}, At(400));
  CHECK(listener.released == Parts{"bad"});
  quarantine.RecordStart(Parts{"bad"}, At(500));
  CHECK(listener.released.size() == 1);
}

TEST_CASE("Ids that callers choose take bounded memory",
          "[relay][quarantine]") {
  PromptQuarantine quarantine;
  for (int number = 0; number < 20000; ++number) {
    quarantine.RecordStart(Parts{"s" + std::to_string(number)}, At(number));
  }
  CHECK(quarantine.recent_starts_size() <= PromptQuarantine::kMaxRecentStarts);
  Crash(quarantine, 1, {"bad"}, 30000);
  Crash(quarantine, 2, {"bad"}, 30200);
  for (int number = 0; number < 1000; ++number) {
    Parts parts;
    for (int index = 0; index < 200; ++index) {
      parts.push_back("p" + std::to_string(number) + "x" +
                      std::to_string(index));
    }
    Crash(quarantine, 3 + static_cast<std::uint64_t>(number), parts,
          31000 + number);
  }
  CHECK(quarantine.records_size() <= PromptQuarantine::kMaxRecords);
  CHECK(quarantine.MakeReports(At(40000)).size() <=
        PromptQuarantine::kMaxReportedParts);
  CHECK(quarantine.IsQuarantined("bad"));

  CHECK(MakePartId("5C1e") == "5c1e");
  CHECK(MakePartId(std::string(10000, 'a')).size() <= 32);
  CHECK(MakePartId("a\xff\"b").find('\xff') == std::string::npos);
  CHECK(MakePartId("a b") != MakePartId("a-b"));
}

TEST_CASE("A response clears all parts of a long prompt",
          "[relay][quarantine]") {
  PromptQuarantine quarantine;
  Parts parts;
  for (int index = 0; index < 100; ++index) {
    parts.push_back("p" + std::to_string(index));
  }
  for (int round = 0; round < 4; ++round) {
    const int ms = 1000 * round;
    Crash(quarantine, static_cast<std::uint64_t>(round), parts, ms + 100);
    quarantine.RecordStart(parts, At(ms + 300));
    CHECK(Decide(quarantine, parts, ms + 300) == AdmissionDecision::kSend);
  }
}

TEST_CASE("Old suspicions and quarantines end", "[relay][quarantine]") {
  PromptQuarantine quarantine;
  Crash(quarantine, 1, {"rare"}, 100);
  Crash(quarantine, 2, {"bad"}, 100);
  Crash(quarantine, 3, {"bad"}, 300);
  quarantine.Expire(At(400) + PromptQuarantine::kSuspicionTime);
  CHECK(quarantine.records_size() == 1);
  CHECK(quarantine.IsQuarantined("bad"));
  quarantine.Expire(At(400) + PromptQuarantine::kQuarantineTime);
  CHECK(quarantine.records_size() == 0);
}

TEST_CASE("Parts of sound requests survive ordinary crashes and bad parts",
          "[relay][quarantine]") {
  CHECK(rc::check("for any order of crashes", [] {
    PromptQuarantine quarantine;
    std::mt19937 random(*rc::gen::arbitrary<unsigned>());
    const auto draw = [&random](int limit) {
      return std::uniform_int_distribution<int>(0, limit - 1)(random);
    };
    struct Running {
      Parts parts;
      int sent;
      int begins;
      int engine;
      std::unique_ptr<PromptQuarantine::PendingRequest> pending;
    };
    std::deque<Running> running;
    std::vector<int> incarnation(12, 0);
    int bad_crashes = 0;
    int sound_requests = 0;
    int sound_rejected = 0;
    for (int now = 0; now < 20000; now += 10) {
      // Half of the requests share one part; one in twenty has the bad part.
      Parts parts = {draw(2) == 0 ? "popular"
                                  : "part" + std::to_string(draw(40))};
      const bool bad = draw(20) == 0;
      if (bad) {
        parts.push_back("bad");
      }
      const auto decision = Decide(quarantine, parts, now);
      sound_requests += bad ? 0 : 1;
      if (decision == AdmissionDecision::kReject) {
        sound_rejected += bad ? 0 : 1;
      } else if (decision != AdmissionDecision::kWait) {
        running.push_back({parts, now, now + 50 + draw(150), draw(12),
                           quarantine.AddPending(parts, At(now), nullptr)});
      }
      std::vector<int> crashed;
      if (draw(200) == 0) {
        crashed.push_back(draw(12));  // An ordinary crash.
      }
      for (auto request = running.begin(); request != running.end();) {
        if (request->begins > now) {
          ++request;
          continue;
        }
        const Parts& begun = request->parts;
        if (std::find(begun.begin(), begun.end(), "bad") != begun.end()) {
          crashed.push_back(request->engine);
          ++bad_crashes;
          ++request;
        } else {
          quarantine.RecordStart(begun, At(now));
          request = running.erase(request);
        }
      }
      for (const int engine : crashed) {
        const auto key = static_cast<std::uint64_t>(
            engine * 1000 + incarnation.at(static_cast<std::size_t>(engine))++);
        for (auto request = running.begin(); request != running.end();) {
          if (request->engine != engine) {
            ++request;
            continue;
          }
          const Running lost = std::move(*request);
          request = running.erase(request);
          quarantine.RecordCrash(key, lost.parts, At(lost.sent), At(now));
        }
        quarantine.CommitCrashes();
      }
    }
    // The users' rule allows three requests after the fifth crash.
    RC_ASSERT(bad_crashes <= 8);
    RC_ASSERT(sound_rejected * 50 <= sound_requests);
    RC_ASSERT(!quarantine.IsQuarantined("popular"));
  }));
}

}  // namespace qp::relay::testing
