#include <rapidcheck.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <random>

#include "relay/prompt_quarantine.h"

namespace qp::relay::testing {

namespace {

using std::chrono::milliseconds;
using Parts = std::vector<std::string>;

const TimePoint kStart{std::chrono::hours(1)};

TimePoint At(int ms) { return kStart + milliseconds(ms); }

std::string Fingerprint(int number) {
  char id[32];
  std::snprintf(id, sizeof(id), "request-%016x", number);
  return id;
}

const std::string kDeadly = Fingerprint(0xdead);

/// A crash under one request with `parts`, sent 100 ms before.
void Crash(PromptQuarantine& quarantine, std::uint64_t engine,
           const Parts& parts, int ms) {
  quarantine.RecordCrash(engine, parts, At(ms - 100), At(ms));
  quarantine.CommitCrashes();
}

/// A crash under `count` requests, each with a fingerprint and one part.
void CrashUnderMany(PromptQuarantine& quarantine, std::uint64_t engine,
                    int count, int ms) {
  for (int number = 0; number < count; ++number) {
    quarantine.RecordCrash(engine, Parts{Fingerprint(number), "popular"},
                           At(ms - 100), At(ms));
  }
  quarantine.CommitCrashes();
}

AdmissionDecision Decide(const PromptQuarantine& quarantine, const Parts& parts,
                         int ms) {
  return quarantine.Admit(parts, At(ms)).decision;
}

}  // namespace

TEST_CASE("Sound requests that share all parts do not clear a deadly request",
          "[relay][quarantine]") {
  PromptQuarantine quarantine;
  quarantine.RecordStart(Parts{Fingerprint(1), "popular"}, At(0));
  Crash(quarantine, 1, {kDeadly, "popular"}, 200);
  quarantine.RecordStart(Parts{Fingerprint(2), "popular"}, At(210));
  CHECK(Decide(quarantine, {kDeadly, "popular"}, 220) ==
        AdmissionDecision::kTrial);
  Crash(quarantine, 2, {kDeadly, "popular"}, 400);
  const auto admission = quarantine.Admit(Parts{kDeadly, "popular"}, At(410));
  CHECK(admission.decision == AdmissionDecision::kReject);
  CHECK(admission.part == kDeadly);
  CHECK(Decide(quarantine, {Fingerprint(3), "popular"}, 410) ==
        AdmissionDecision::kSend);
}

TEST_CASE("Peers and the store learn which request crashes servers",
          "[relay][quarantine]") {
  PromptQuarantine one;
  PromptQuarantine other;
  Crash(one, 1, {kDeadly}, 100);
  other.Merge("one", one.MakeReports(At(110)), At(120));
  CHECK(Decide(other, {kDeadly}, 130) == AdmissionDecision::kTrial);
  Crash(other, 2, {kDeadly}, 300);
  one.Merge("other", other.MakeReports(At(310)), At(320));
  CHECK(Decide(one, {kDeadly}, 330) == AdmissionDecision::kReject);
  PromptQuarantine later;
  later.Restore(one.MakeReport(kDeadly, At(330)), At(340));
  CHECK(Decide(later, {kDeadly}, 350) == AdmissionDecision::kReject);
}

TEST_CASE("Requests that waited on two crashed servers in a row stay admitted",
          "[relay][quarantine]") {
  PromptQuarantine quarantine;
  PromptQuarantine peer;
  CrashUnderMany(quarantine, 1, 190, 200);
  CrashUnderMany(quarantine, 2, 190, 400);
  quarantine.RecordStart(Parts{Fingerprint(500), "popular"}, At(405));
  for (int ms = 410; ms < 500; ++ms) {
    peer.Merge("one", quarantine.MakeReports(At(ms)), At(ms));
  }
  int taken_back = 0;
  std::vector<std::unique_ptr<PromptQuarantine::PendingRequest>> pending;
  for (int number = 0; number < 190; ++number) {
    const Parts parts = {Fingerprint(number), "popular"};
    CHECK(Decide(quarantine, parts, 500) == AdmissionDecision::kTrial);
    CHECK(Decide(peer, parts, 500) != AdmissionDecision::kReject);
    pending.push_back(
        quarantine.AddPending(parts, At(500), [&taken_back] { ++taken_back; }));
  }
  for (int number = 0; number < 190; ++number) {
    const Parts parts = {Fingerprint(number), "popular"};
    quarantine.RecordStart(parts, At(600));
    CHECK(Decide(quarantine, parts, 601) == AdmissionDecision::kSend);
  }
  CHECK(taken_back == 0);
}

TEST_CASE("A deadly request is taken back from the servers that still have it",
          "[relay][quarantine]") {
  PromptQuarantine quarantine;
  int taken_back = 0;
  Crash(quarantine, 1, {kDeadly}, 200);
  const auto pending = quarantine.AddPending(Parts{kDeadly}, At(390),
                                             [&taken_back] { ++taken_back; });
  Crash(quarantine, 2, {kDeadly}, 400);
  CHECK(taken_back == 1);
}

TEST_CASE("A further crash tells requests apart that crashed the same servers",
          "[relay][quarantine]") {
  PromptQuarantine quarantine;
  const std::string sound = Fingerprint(1);
  for (const int engine : {1, 2}) {
    const int ms = 200 * engine;
    quarantine.RecordCrash(static_cast<std::uint64_t>(engine), Parts{kDeadly},
                           At(ms - 100), At(ms));
    quarantine.RecordCrash(static_cast<std::uint64_t>(engine), Parts{sound},
                           At(ms - 100), At(ms));
    quarantine.CommitCrashes();
  }
  CHECK(Decide(quarantine, {kDeadly}, 410) == AdmissionDecision::kTrial);
  CHECK(Decide(quarantine, {sound}, 410) == AdmissionDecision::kTrial);
  SECTION("of one of them") {
    Crash(quarantine, 3, {kDeadly}, 600);
    CHECK(Decide(quarantine, {sound}, 610) == AdmissionDecision::kTrial);
  }
  SECTION("or a response to the other") {
    quarantine.RecordStart(Parts{sound}, At(600));
    CHECK(Decide(quarantine, {sound}, 610) == AdmissionDecision::kSend);
  }
  CHECK(Decide(quarantine, {kDeadly}, 610) == AdmissionDecision::kReject);
}

TEST_CASE("Crashes of a quarantined part do not count against requests",
          "[relay][quarantine]") {
  PromptQuarantine quarantine;
  Crash(quarantine, 1, {kDeadly, "bad"}, 200);
  Crash(quarantine, 2, {kDeadly, "bad"}, 400);
  CHECK_FALSE(quarantine.IsQuarantined("bad"));
  CHECK(quarantine.IsQuarantined(kDeadly));
  Crash(quarantine, 3, {Fingerprint(2), "bad"}, 450);
  CHECK(quarantine.IsQuarantined("bad"));
  CHECK_FALSE(quarantine.IsQuarantined(kDeadly));
  quarantine.RecordStart(Parts{Fingerprint(1), "bad"}, At(500));
  CHECK_FALSE(quarantine.IsQuarantined("bad"));
  CHECK(quarantine.IsQuarantined(kDeadly));
}

// Guards against sound requests that are rejected for long after they waited on
// two servers which crashed for another reason.
TEST_CASE("A request is tried again soon after its second crash",
          "[relay][quarantine]") {
  PromptQuarantine quarantine;
  Crash(quarantine, 1, {kDeadly}, 200);
  Crash(quarantine, 2, {kDeadly}, 400);
  CHECK(Decide(quarantine, {kDeadly}, 2300) == AdmissionDecision::kReject);
  CHECK(Decide(quarantine, {kDeadly}, 2500) == AdmissionDecision::kTrial);
  SECTION("and is sound if it begins") {
    quarantine.RecordStart(Parts{kDeadly}, At(2600));
    CHECK(Decide(quarantine, {kDeadly}, 2600) == AdmissionDecision::kSend);
  }
  SECTION("and rejected for long if it crashes a third server") {
    Crash(quarantine, 3, {kDeadly}, 2600);
    CHECK(Decide(quarantine, {kDeadly}, 100000) == AdmissionDecision::kReject);
  }
}

TEST_CASE("A common part that turns deadly is found despite fingerprints",
          "[relay][quarantine]") {
  PromptQuarantine quarantine;
  quarantine.RecordStart(Parts{Fingerprint(1), "popular"}, At(0));
  for (int crash = 1; crash <= 4; ++crash) {
    // Each request crashes two servers.
    const int request = 10 + crash / 2;
    Crash(quarantine, static_cast<std::uint64_t>(crash),
          {Fingerprint(request), "popular"}, 200 * crash);
  }
  CHECK(quarantine.IsQuarantined("popular"));
  CHECK(Decide(quarantine, {Fingerprint(50), "popular"}, 900) ==
        AdmissionDecision::kReject);
}

TEST_CASE("Reports carry the deadly request and in time all suspect ones",
          "[relay][quarantine]") {
  PromptQuarantine quarantine;
  Crash(quarantine, 1, {kDeadly}, 100);
  Crash(quarantine, 2, {kDeadly}, 300);
  CrashUnderMany(quarantine, 3, 190, 500);
  PromptQuarantine peer;
  peer.Merge("one", quarantine.MakeReports(At(510)), At(510));
  CHECK(Decide(peer, {kDeadly}, 511) == AdmissionDecision::kReject);
  for (int ms = 650; ms < 9650; ms += 150) {
    peer.Merge("one", quarantine.MakeReports(At(ms)), At(ms));
  }
  for (int number = 0; number < 190; ++number) {
    CHECK(peer.MakeReport(Fingerprint(number), At(9650)).crashes.size() == 1);
  }
}

TEST_CASE("Fingerprints and parts do not displace each other",
          "[relay][quarantine]") {
  PromptQuarantine quarantine;
  quarantine.RecordStart(Parts{"popular"}, At(0));
  for (int number = 0; number < 20000; ++number) {
    quarantine.RecordStart(Parts{Fingerprint(number)}, At(number / 4));
  }
  CHECK(quarantine.FindUntrusted(Parts{"popular", "rare"}, At(5001)) ==
        Parts{"rare"});
  CHECK(quarantine.recent_starts_size() <=
        2 * PromptQuarantine::kMaxRecentStarts);

  Crash(quarantine, 1, {kDeadly, "rare"}, 6000);
  SECTION("with many parts") {
    for (int number = 0; number < 10000; ++number) {
      Crash(quarantine, 2, {"p" + std::to_string(number)}, 6100);
    }
    CHECK(quarantine.MakeReport(kDeadly, At(6200)).crashes.size() == 1);
  }
  SECTION("with many requests") {
    for (int number = 0; number < 10000; ++number) {
      Crash(quarantine, 2, {Fingerprint(100000 + number)}, 6100);
    }
    CHECK(quarantine.MakeReport("rare", At(6200)).crashes.size() == 1);
  }
  CHECK(quarantine.records_size() <=
        PromptQuarantine::kMaxRecords + PromptQuarantine::kMaxRequestRecords);
  CHECK(quarantine.MakeReports(At(6300)).size() <=
        PromptQuarantine::kMaxReportedParts);
}

namespace {

/// Several processes with lossy reports before the same servers, which crash at
/// random and under each deadly request.
class CrashingRequests {
 public:
  static constexpr int kNodes = 4;
  static constexpr int kServers = 16;
  static constexpr int kDeadlyRequests = 3;
  static constexpr int kTickMs = 10;

  CrashingRequests(unsigned seed, int deadly)
      : random(seed), deadly_count(deadly) {}

  void Run(int duration_ms) {
    for (this->now = 0; this->now < duration_ms; this->now += kTickMs) {
      for (int arrivals = this->Draw(3); arrivals > 0; --arrivals) {
        this->Arrive();
      }
      auto waiting = std::exchange(this->waiting, {});
      for (auto& request : waiting) {
        this->Try(std::move(request));
      }
      std::vector<int> crashed = this->Progress();
      if (this->Draw(200) == 0) {
        crashed.push_back(this->Draw(kServers));
      }
      for (const int server : crashed) {
        this->CrashServer(server);
      }
      this->Gossip();
    }
  }

  /// Tries of each deadly request later than 1 s after its third crash.
  std::array<int, kDeadlyRequests> late_tries{};
  int sound_requests = 0;
  int sound_rejected = 0;
  std::array<PromptQuarantine, kNodes> nodes;

 private:
  struct Request {
    Parts parts;
    int deadly = -1;  ///< Index, or -1.
    int node = 0;
    int tries = 0;
    int waits_since = -1;
    int sent = 0;
    int begins = 0;
    int server = 0;
    std::unique_ptr<PromptQuarantine::PendingRequest> pending;
  };

  int Draw(int limit) {
    return std::uniform_int_distribution<int>(0, limit - 1)(this->random);
  }
  PromptQuarantine& NodeOf(const Request& request) {
    return this->nodes.at(static_cast<std::size_t>(request.node));
  }
  void Arrive() {
    Request request;
    const bool has_parts = this->Draw(2) == 0;  // Not on plain services.
    request.node = this->Draw(kNodes);
    if (this->deadly_count > 0 && this->Draw(30) == 0) {
      request.deadly = this->Draw(this->deadly_count);
      request.parts = {Fingerprint(0xdead00 + request.deadly)};
      if (request.deadly != 0) {
        request.parts.emplace_back("popular");
      }
    } else {
      ++this->sound_requests;
      request.parts = {Fingerprint(this->sound_requests)};
      if (has_parts) {
        request.parts.push_back(this->Draw(2) == 0
                                    ? "popular"
                                    : "part" + std::to_string(this->Draw(40)));
      }
    }
    this->Try(std::move(request));
  }
  void Try(Request request) {
    auto& node = this->NodeOf(request);
    const auto decision = Decide(node, request.parts, this->now);
    if (decision == AdmissionDecision::kReject) {
      this->sound_rejected += request.deadly < 0 ? 1 : 0;
      return;
    }
    if (request.waits_since < 0) {
      request.waits_since = this->now;
    }
    if (decision == AdmissionDecision::kWait &&
        this->now - request.waits_since < 1500) {
      this->waiting.push_back(std::move(request));
      return;
    }
    ++request.tries;
    request.sent = this->now;
    request.begins = this->now + 50 + this->Draw(200);
    request.server = this->Draw(kServers);
    if (request.deadly >= 0) {
      const auto index = static_cast<std::size_t>(request.deadly);
      if (this->crash_count.at(index) >= 3 &&
          this->now > this->third_crash_at.at(index) + 1000) {
        ++this->late_tries.at(index);
      }
    }
    request.pending = node.AddPending(request.parts, At(this->now), nullptr);
    this->running.push_back(std::move(request));
  }
  /// Ends the requests that are due and returns the servers that crash.
  std::vector<int> Progress() {
    std::vector<int> crashed;
    for (auto item = this->running.begin(); item != this->running.end();) {
      if (item->begins > this->now) {
        ++item;
      } else if (item->deadly >= 0) {
        crashed.push_back(item->server);
        const auto index = static_cast<std::size_t>(item->deadly);
        if (++this->crash_count.at(index) == 3) {
          this->third_crash_at.at(index) = this->now;
        }
        ++item;
      } else {
        this->NodeOf(*item).RecordStart(item->parts, At(this->now));
        item = this->running.erase(item);
      }
    }
    return crashed;
  }
  void CrashServer(int server) {
    const auto key = static_cast<std::uint64_t>(++this->incarnation);
    for (auto item = this->running.begin(); item != this->running.end();) {
      if (item->server != server) {
        ++item;
        continue;
      }
      Request lost = std::move(*item);
      item = this->running.erase(item);
      lost.pending.reset();
      this->NodeOf(lost).RecordCrash(key, lost.parts, At(lost.sent),
                                     At(this->now));
      if (lost.tries < 2) {
        this->waiting.push_back(std::move(lost));
      }
    }
    for (auto& node : this->nodes) {
      node.CommitCrashes();
    }
  }
  /// One in five reports is lost.
  void Gossip() {
    if (this->now % 150 != 0) {
      return;
    }
    for (int from = 0; from < kNodes; ++from) {
      const auto reports = this->nodes.at(static_cast<std::size_t>(from))
                               .MakeReports(At(this->now));
      for (int to = 0; to < kNodes; ++to) {
        if (to != from && this->Draw(5) != 0) {
          this->nodes.at(static_cast<std::size_t>(to))
              .Merge("node" + std::to_string(from), reports, At(this->now));
        }
      }
      this->nodes.at(static_cast<std::size_t>(from)).Expire(At(this->now));
    }
  }

  std::mt19937 random;
  int deadly_count;
  int now = 0;
  int incarnation = 0;
  std::deque<Request> running;
  std::deque<Request> waiting;
  std::array<int, kDeadlyRequests> crash_count{};
  std::array<int, kDeadlyRequests> third_crash_at{};
};

}  // namespace

TEST_CASE("Deadly requests end soon after their third crash at all processes",
          "[relay][quarantine]") {
  CHECK(rc::check("for any order of requests, crashes and lost reports", [] {
    const auto seed = *rc::gen::arbitrary<unsigned>();
    CrashingRequests run(seed, *rc::gen::inRange(0, 4));
    run.Run(20000);
    for (const int tries : run.late_tries) {
      RC_ASSERT(tries <= 3);
    }
    RC_ASSERT(run.sound_rejected * 50 <= run.sound_requests);
    for (const auto& node : run.nodes) {
      RC_ASSERT(!node.IsQuarantined("popular"));
    }
  }));
}

}  // namespace qp::relay::testing
