#include "policy/prefix_index.h"

#include <algorithm>
#include <cmath>

namespace qp::policy {

namespace {

/// Weight of the latest outcome in the accuracy of an engine.
constexpr double kOutcomeWeight = 0.1;
/// The accuracy of an engine is multiplied by this factor when events were
/// lost.
constexpr double kEventGapFactor = 0.5;
/// Lower bound of the accuracy of an engine, so that its cache is still tried
/// after a series of misses.
constexpr double kMinAccuracy = 0.05;
/// Time constant of the exponential decay of request counts, in seconds.
constexpr std::chrono::duration<double> kFrequencyTimeConstant{30.0};
/// Maximum number of prefixes with a count. When it is reached, all counts of
/// prefixes are dropped, and a prefix seems rare until it is requested again.
constexpr std::size_t kMaxCountedPrefixes = 16384;

}  // namespace

double PrefixFrequencies::DecayingCount::Increment(TimePoint now) {
  const std::chrono::duration<double> age = now - this->at;
  this->count = this->count * std::exp(-age / kFrequencyTimeConstant) + 1;
  this->at = now;
  return this->count;
}

double PrefixFrequencies::Record(std::uint64_t prefix, TimePoint now) {
  if (this->prefixes.size() >= kMaxCountedPrefixes) {
    this->prefixes.clear();
  }
  return this->prefixes[prefix].Increment(now) / this->total.Increment(now);
}

void PrefixIndex::OnStored(std::string_view engine, std::uint64_t prefix,
                           TimePoint now) {
  auto found = this->engines.find(engine);
  if (found == this->engines.end()) {
    found = this->engines.emplace(engine, EnginePrefixes{}).first;
  }
  EnginePrefixes& cached = found->second;
  const auto known = cached.prefixes.find(prefix);
  if (known != cached.prefixes.end()) {
    cached.by_age.erase(known->second.position);
    cached.prefixes.erase(known);
  }
  if (cached.prefixes.size() >= kMaxPrefixesPerEngine) {
    cached.prefixes.erase(cached.by_age.front());
    cached.by_age.pop_front();
  }
  const auto position = cached.by_age.insert(cached.by_age.end(), prefix);
  cached.prefixes.emplace(prefix, Entry{now, position});
}

void PrefixIndex::OnEvicted(std::string_view engine, std::uint64_t prefix) {
  const auto found = this->engines.find(engine);
  if (found == this->engines.end()) {
    return;
  }
  const auto known = found->second.prefixes.find(prefix);
  if (known != found->second.prefixes.end()) {
    found->second.by_age.erase(known->second.position);
    found->second.prefixes.erase(known);
  }
}

void PrefixIndex::OnEventGap(std::string_view engine) {
  const auto found = this->engines.find(engine);
  if (found != this->engines.end()) {
    found->second.accuracy =
        std::max(found->second.accuracy * kEventGapFactor, kMinAccuracy);
  }
}

void PrefixIndex::OnOutcome(std::string_view engine, std::uint64_t prefix,
                            bool hit) {
  const auto found = this->engines.find(engine);
  if (found == this->engines.end()) {
    return;
  }
  double& accuracy = found->second.accuracy;
  accuracy += kOutcomeWeight * ((hit ? 1.0 : 0.0) - accuracy);
  accuracy = std::max(accuracy, kMinAccuracy);
  if (!hit) {
    this->OnEvicted(engine, prefix);
  }
}

void PrefixIndex::RemoveEngine(std::string_view engine) {
  const auto found = this->engines.find(engine);
  if (found != this->engines.end()) {
    this->engines.erase(found);
  }
}

double PrefixIndex::HitProbability(std::string_view engine,
                                   std::uint64_t prefix, TimePoint now) const {
  const auto found = this->engines.find(engine);
  if (found == this->engines.end()) {
    return 0;
  }
  const auto known = found->second.prefixes.find(prefix);
  if (known == found->second.prefixes.end()) {
    return 0;
  }
  const std::chrono::duration<double> age = now - known->second.stored_at;
  const std::chrono::duration<double> half_life = kHalfLife;
  return found->second.accuracy * std::exp2(-std::max(age / half_life, 0.0));
}

std::size_t PrefixIndex::PrefixCount(std::string_view engine) const {
  const auto found = this->engines.find(engine);
  return found == this->engines.end() ? 0 : found->second.prefixes.size();
}

}  // namespace qp::policy
