#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>

#include "foundation/clock.h"

namespace qp::policy {

/// Frequencies of prompt prefixes among recent requests. Counts decay
/// exponentially with the time since a request.
class PrefixFrequencies {
 public:
  /// Counts a request and returns the fraction of recent requests that had its
  /// prefix, this one included.
  double Record(std::uint64_t prefix, TimePoint now);

 private:
  struct DecayingCount {
    double count = 0;
    TimePoint at{};  ///< Time of the last increment.

    double Increment(TimePoint now);
  };

  DecayingCount total;
  std::unordered_map<std::uint64_t, DecayingCount> prefixes;
};

/// Predicts which prompt prefixes the engines cache. Cache events arrive late
/// and can be lost, so the prediction is a probability. It decays with age and
/// falls when other predictions for the same engine prove wrong.
class PrefixIndex {
 public:
  /// Prefixes kept for one engine; the oldest one is dropped first.
  static constexpr std::size_t kMaxPrefixesPerEngine = 4096;
  /// Time in which the hit probability of a prefix halves.
  static constexpr Duration kHalfLife = std::chrono::minutes(2);

  /// The engine reported the prefix as cached, or a prompt with the prefix was
  /// sent to it.
  void OnStored(std::string_view engine, std::uint64_t prefix, TimePoint now);
  void OnEvicted(std::string_view engine, std::uint64_t prefix);
  /// Some events of the engine were lost, which can include evictions.
  void OnEventGap(std::string_view engine);
  /// A prompt was sent to the engine for its cached prefix; `hit` is whether
  /// the prefix was still cached.
  void OnOutcome(std::string_view engine, std::uint64_t prefix, bool hit);
  /// Drops all prefixes of an engine that restarted or is gone.
  void RemoveEngine(std::string_view engine);

  /// Probability, 0 to 1, that the engine caches the prefix.
  double HitProbability(std::string_view engine, std::uint64_t prefix,
                        TimePoint now) const;

  std::size_t PrefixCount(std::string_view engine) const;

 private:
  struct Entry {
    TimePoint stored_at{};
    std::list<std::uint64_t>::iterator position;
  };
  struct EnginePrefixes {
    std::unordered_map<std::uint64_t, Entry> prefixes;
    std::list<std::uint64_t> by_age;  ///< Oldest first.
    /// Moving average of the fraction of correct predictions, 0 to 1.
    double accuracy = 1;
  };

  std::map<std::string, EnginePrefixes, std::less<>> engines;
};

}  // namespace qp::policy
