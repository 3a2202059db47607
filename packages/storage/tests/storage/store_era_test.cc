#include "storage/store_era.h"

#include <catch2/catch.hpp>

namespace qp {

namespace {

struct Restores : RestoreListener {
  void OnStoreRestored(std::uint64_t era) override {
    this->eras.push_back(era);
  }
  std::vector<std::uint64_t> eras;
};

}  // namespace

TEST_CASE("An answer of an earlier era is rejected after one of a later era",
          "[era]") {
  StoreEra era;
  CHECK(era.OnAnswer(4));
  CHECK(era.OnAnswer(5));
  CHECK_FALSE(era.OnAnswer(4));
  CHECK(era.OnAnswer(5));
  CHECK(era.current() == 5);
}

TEST_CASE("Only a later era than a known one counts as a restore", "[era]") {
  StoreEra era;
  Restores restores;
  era.AddListener(restores);
  CHECK(era.OnAnswer(std::nullopt));
  CHECK(era.OnAnswer(0));
  CHECK(restores.eras.empty());
  CHECK(era.OnAnswer(2));
  CHECK(era.OnAnswer(std::nullopt));
  CHECK_FALSE(era.OnAnswer(1));
  CHECK(restores.eras == std::vector<std::uint64_t>{2});
}

}  // namespace qp
