#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <memory>
#include <set>

#include "storage/lease.h"
#include "testing/restorable_table.h"
#include "testing/test_runtime.h"

namespace qp::testing {

namespace {

constexpr LeaseTerms kTerms{std::chrono::milliseconds(3500),
                            std::chrono::milliseconds(700)};
constexpr Duration kTick = std::chrono::milliseconds(1200);

/// One process that competes for the lease.
struct Contender {
  Contender(RestorableTable& shared, TestRuntime& runtime, EventSink& events,
            const std::string& name, bool first_start)
      : client(shared, era),
        lease(client, runtime.clock(), events, "lease/layers", name, kTerms,
              &era) {
    this->lease.SetFirstStart(first_start);
  }

  StoreEra era;
  RestorableTableClient client;
  Lease lease;
};

/// Three processes on a table that can be restored.
class Deployment {
 public:
  Deployment() {
    for (int i = 0; i < 3; ++i) {
      this->Start(i, true);
    }
  }
  ~Deployment() { this->runtime.io().stop(); }

  /// Starts a process anew; its former one is gone at once.
  void Start(int i, bool first_start) {
    const std::string name =
        "node" + std::to_string(i) + "/" + std::to_string(++this->starts);
    auto next = std::make_unique<Contender>(this->table, this->runtime,
                                            this->events, name, first_start);
    auto& slot = this->contenders[static_cast<std::size_t>(i)];
    if (slot != nullptr) {
      this->former.push_back(std::move(slot));
    }
    slot = std::move(next);
  }
  void Tick(int i) { this->Run(this->at(i).lease.Tick()); }
  void Resign(int i) { this->Run(this->at(i).lease.Resign()); }
  /// Applies the delayed writes of all processes, also of those that are gone.
  void ApplyDelayed() {
    for (const auto& contender : this->former) {
      contender->client.ApplyDelayed();
    }
    for (const auto& contender : this->contenders) {
      contender->client.ApplyDelayed();
    }
  }
  void Advance(Duration time) { this->runtime.Advance(time, time); }
  Contender& at(int i) {
    return *this->contenders[static_cast<std::size_t>(i)];
  }
  int Holders() {
    int count = 0;
    for (const auto& contender : this->contenders) {
      count += contender->lease.FencingNumber() ? 1 : 0;
    }
    return count;
  }

  TestRuntime runtime;
  NullEventSink events;
  RestorableTable table;

 private:
  void Run(Task<void> task) {
    asio::co_spawn(this->runtime.io(), std::move(task), asio::detached);
    this->runtime.Settle();
  }

  int starts = 0;
  std::array<std::unique_ptr<Contender>, 3> contenders;
  std::vector<std::unique_ptr<Contender>> former;
};

/// Kinds of steps of the property below.
enum Step {
  kCopy,
  kRestore,
  kCut,
  kDelay,
  kApplyDelayed,
  kStop,
  kKill,
  kTickAll,
  kTickOne,
  kPause,
};

}  // namespace

TEST_CASE("The holder keeps the lease over a restore, and no other acquires it",
          "[lease][restored]") {
  Deployment deployment;
  deployment.Tick(0);  // Held by 0 in the copy.
  deployment.table.Copy();
  deployment.Resign(0);
  deployment.Tick(1);
  REQUIRE(deployment.at(1).lease.FencingNumber());
  const auto fence = *deployment.at(1).lease.FencingNumber();
  deployment.table.Restore();

  deployment.Tick(0);  // Finds its own name in the restored item.
  CHECK_FALSE(deployment.at(0).lease.FencingNumber());
  deployment.Tick(2);
  CHECK_FALSE(deployment.at(2).lease.FencingNumber());
  deployment.Tick(1);
  CHECK(deployment.at(1).lease.FencingNumber() == fence);
  for (int i = 0; i < 10; ++i) {
    deployment.Advance(kTick);
    deployment.Tick(0);
    deployment.Tick(1);
    deployment.Tick(2);
    CHECK(deployment.Holders() == 1);
  }
  CHECK(deployment.at(1).lease.FencingNumber() == fence);
}

TEST_CASE("A released or missing item of a restored table is not trusted",
          "[lease][restored]") {
  Deployment deployment;
  deployment.Advance(Lease::kFirstStartTime + kTick);
  deployment.Start(1, true);
  SECTION("the copy lacks the item") { deployment.table.Copy(); }
  SECTION("the copy shows a released item") {
    deployment.Tick(0);
    deployment.Resign(0);
    deployment.table.Copy();
  }
  deployment.Tick(1);
  REQUIRE(deployment.at(1).lease.FencingNumber());
  deployment.table.Restore();
  deployment.Tick(0);  // Its first answer of the table.
  CHECK_FALSE(deployment.at(0).lease.FencingNumber());
  deployment.Start(2, false);
  deployment.Tick(2);
  CHECK_FALSE(deployment.at(2).lease.FencingNumber());
}

TEST_CASE("Fencing numbers are not given out again after a restore",
          "[lease][restored]") {
  Deployment deployment;
  deployment.table.Copy();
  std::set<std::uint64_t> given;
  for (int era = 0; era < 2; ++era) {
    for (int i = 0; i < 3; ++i) {
      for (int round = 0; round < 5; ++round) {
        deployment.Tick(i);
        deployment.Advance(kTick);
      }
      REQUIRE(deployment.at(i).lease.FencingNumber());
      CHECK(given.insert(*deployment.at(i).lease.FencingNumber()).second);
      deployment.Resign(i);
    }
    deployment.table.Restore();
  }
}

TEST_CASE("A write of an earlier era that is applied late gives no lease",
          "[lease][restored]") {
  Deployment deployment;
  deployment.Tick(0);
  deployment.table.Copy();
  deployment.at(0).client.delay_writes = true;
  deployment.Tick(0);  // A renewal without an answer.
  deployment.Advance(kTerms.term);
  deployment.table.Restore();
  deployment.at(0).client.ApplyDelayed();
  deployment.at(0).client.delay_writes = false;
  deployment.Tick(0);
  CHECK_FALSE(deployment.at(0).lease.FencingNumber());
}

TEST_CASE(
    "A write whose condition holds by chance in a later era gives no lease",
    "[lease][restored]") {
  Deployment deployment;
  deployment.table.Copy();
  deployment.Tick(0);
  deployment.Resign(0);
  Contender& contender = deployment.at(1);
  contender.client.before_write = [&deployment, &contender] {
    contender.client.before_write = nullptr;
    const std::uint64_t revision = deployment.table.revision;
    deployment.table.Restore();
    deployment.table.revision = revision;
    deployment.table.items["lease/layers"] = {
        "lease/layers",
        {{"holder", "node2/9"}, {"fence", 9}, {"era", 2}},
        revision};
  };
  deployment.Tick(1);
  CHECK_FALSE(contender.lease.FencingNumber());
}

TEST_CASE("A free lease is held again within its term and three ticks",
          "[lease][restored]") {
  Deployment deployment;
  deployment.Tick(0);
  deployment.table.Copy();
  deployment.Advance(std::chrono::seconds(1));
  deployment.table.Restore();
  deployment.Start(0, false);  // The holder is killed.
  for (Duration passed{0}; passed <= kTerms.term + kTerms.margin + 3 * kTick;
       passed += kTick) {
    deployment.Tick(1);
    deployment.Tick(2);
    deployment.Advance(kTick);
  }
  deployment.Tick(1);
  deployment.Tick(2);
  CHECK(deployment.Holders() == 1);
}

TEST_CASE("No two processes hold the lease over restores",
          "[lease][restored]") {
  rc::prop("with stops, kills, cuts, delayed writes and pauses between", [] {
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        80, rc::gen::pair(rc::gen::weightedElement<int>({{3, kCopy},
                                                         {2, kRestore},
                                                         {2, kCut},
                                                         {3, kDelay},
                                                         {3, kApplyDelayed},
                                                         {3, kStop},
                                                         {2, kKill},
                                                         {8, kTickAll},
                                                         {10, kTickOne},
                                                         {12, kPause}}),
                          rc::gen::inRange(0, 3)));
    Deployment deployment;
    deployment.table.Copy();
    for (int all = 0; all < 3; ++all) {
      deployment.Tick(all);
    }
    for (const auto& [step, i] : steps) {
      switch (step) {
        case kCopy:
          deployment.table.Copy();
          break;
        case kRestore:
          deployment.table.Restore();
          break;
        case kCut:
          deployment.at(i).client.cut_off = !deployment.at(i).client.cut_off;
          break;
        case kDelay:
          deployment.at(i).client.delay_writes =
              !deployment.at(i).client.delay_writes;
          break;
        case kApplyDelayed:
          deployment.ApplyDelayed();
          break;
        case kStop:  // A planned stop; the process never ticks again.
          deployment.Resign(i);
          deployment.Start(i, false);
          break;
        case kKill:
          deployment.Start(i, false);
          break;
        case kTickAll:
          for (int all = 0; all < 3; ++all) {
            deployment.Tick(all);
          }
          break;
        case kTickOne:
          deployment.Tick(i);
          break;
        default:
          deployment.Advance(std::chrono::milliseconds(600) * (i + 1));
          break;
      }
      RC_ASSERT(deployment.Holders() <= 1);
    }
  });
}

}  // namespace qp::testing
