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

/// How often prefixes are asked for, as parts of all requests of the last
/// seconds.
class PrefixFrequencies {
 public:
  /// Counts a request; returns the part of requests that had its prefix.
  double Record(std::uint64_t prefix, TimePoint now);

 private:
  struct DecayingCount {
    double count = 0;
    TimePoint at{};

    double Increment(TimePoint now);
  };

  DecayingCount total;
  std::unordered_map<std::uint64_t, DecayingCount> prefixes;
};

/// What this daemon believes about the prompt prefixes that engines cache.
/// Cache events come late and with gaps, so a belief is a probability: it
/// decays with age and with evidence against the engine's other cached.
class PrefixIndex {
 public:
  /// Beliefs kept for one engine; the oldest is dropped first.
  static constexpr std::size_t kMaxPrefixesPerEngine = 4096;
  /// Age at which a belief has halved.
  static constexpr Duration kHalfLife = std::chrono::minutes(2);

  /// The engine reported the prefix, or a prompt with it was sent there.
  void OnStored(std::string_view engine, std::uint64_t prefix, TimePoint now);
  void OnEvicted(std::string_view engine, std::uint64_t prefix);
  /// Some events of the engine were lost, evictions perhaps among them.
  void OnEventGap(std::string_view engine);
  /// Whether a prompt sent for its cached prefix found it there.
  void OnOutcome(std::string_view engine, std::uint64_t prefix, bool hit);
  /// The engine restarted or is gone.
  void RemoveEngine(std::string_view engine);

  /// Probability, 0 to 1, that the engine holds the prefix.
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
    double accuracy = 1;  ///< How often beliefs of this engine prove right.
  };

  std::map<std::string, EnginePrefixes, std::less<>> engines;
};

}  // namespace qp::policy
