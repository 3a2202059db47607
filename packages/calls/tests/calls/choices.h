#pragma once

#include <rapidcheck.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace qp::testing {

/// Choices that drive one random run. 0 and the end of the list select the case
/// without a fault, so that a failing run that RapidCheck has shrunk has few
/// faults.
using Choices = std::vector<std::uint16_t>;

/// Returns the choices of one run in order.
class ChoiceReader {
 public:
  explicit ChoiceReader(Choices list) : choices(std::move(list)) {}

  /// A number below `bound`; 0 once all choices are used.
  std::uint32_t Next(std::uint32_t bound) {
    if (this->next >= this->choices.size()) {
      return 0;
    }
    return this->choices[this->next++] % bound;
  }

 private:
  Choices choices;
  std::size_t next = 0;
};

/// Description of what a run violated; empty if nothing.
using Violation = std::optional<std::string>;
using Check = std::function<Violation(const Choices&)>;

/// Runs `check` with RapidCheck; false if a run reports a violation.
inline bool HoldsForAll(const std::string& property, const Check& check) {
  return rc::check(property, [&check] {
    const auto length = *rc::gen::inRange<std::size_t>(0, 60);
    const auto choices = *rc::gen::container<Choices>(
        length, rc::gen::inRange<std::uint16_t>(0, 5040));
    const auto violation = check(choices);
    if (violation) {
      RC_FAIL(*violation);
    }
  });
}

/// Runs `check` on up to `max_runs` random lists from a fixed seed. Returns the
/// first violation, or empty if there is none.
inline Violation FindViolation(const Check& check, int max_runs = 400) {
  std::mt19937_64 random(20261204);
  std::uniform_int_distribution<std::size_t> length(0, 60);
  std::uniform_int_distribution<std::uint16_t> choice(0, 5039);
  for (int run = 0; run < max_runs; ++run) {
    Choices choices(length(random));
    for (auto& value : choices) {
      value = choice(random);
    }
    if (auto violation = check(choices)) {
      return violation;
    }
  }
  return std::nullopt;
}

}  // namespace qp::testing
