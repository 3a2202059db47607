#include "policy/prefix_index.h"

#include <algorithm>
#include <cmath>

namespace qp::policy {

namespace {

/// Weight of the latest outcome in an engine's trust.
constexpr double kOutcomeWeight = 0.1;
/// Trust kept after lost events.
constexpr double kGapFactor = 0.5;
/// Keeps an engine testable after a run of misses.
constexpr double kLeastTrust = 0.05;
/// Time constant of the counts of requests.
constexpr std::chrono::duration<double> kShareMemory{30.0};
/// Prefixes counted; beyond it counting starts anew, and a prefix is taken for
/// a rare one until it has come again.
constexpr std::size_t kMostShares = 16384;

}  // namespace

double PrefixFrequencies::Decaying::Add(TimePoint now) {
  const std::chrono::duration<double> age = now - this->at;
  this->count = this->count * std::exp(-age / kShareMemory) + 1;
  this->at = now;
  return this->count;
}

double PrefixFrequencies::Record(std::uint64_t prefix, TimePoint now) {
  if (this->prefixes.size() >= kMostShares) {
    this->prefixes.clear();
  }
  return this->prefixes[prefix].Add(now) / this->all.Add(now);
}

void PrefixIndex::OnStored(std::string_view engine, std::uint64_t prefix,
                           TimePoint now) {
  auto found = this->engines.find(engine);
  if (found == this->engines.end()) {
    found = this->engines.emplace(engine, EngineBeliefs{}).first;
  }
  EngineBeliefs& beliefs = found->second;
  const auto known = beliefs.prefixes.find(prefix);
  if (known != beliefs.prefixes.end()) {
    beliefs.by_age.erase(known->second.position);
    beliefs.prefixes.erase(known);
  }
  if (beliefs.prefixes.size() >= kMaxPrefixesPerEngine) {
    beliefs.prefixes.erase(beliefs.by_age.front());
    beliefs.by_age.pop_front();
  }
  const auto position = beliefs.by_age.insert(beliefs.by_age.end(), prefix);
  beliefs.prefixes.emplace(prefix, Entry{now, position});
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
    found->second.trust =
        std::max(found->second.trust * kGapFactor, kLeastTrust);
  }
}

void PrefixIndex::OnOutcome(std::string_view engine, std::uint64_t prefix,
                            bool found_there) {
  const auto found = this->engines.find(engine);
  if (found == this->engines.end()) {
    return;
  }
  double& trust = found->second.trust;
  trust += kOutcomeWeight * ((found_there ? 1.0 : 0.0) - trust);
  trust = std::max(trust, kLeastTrust);
  if (!found_there) {
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
  return found->second.trust * std::exp2(-std::max(age / half_life, 0.0));
}

std::size_t PrefixIndex::PrefixCount(std::string_view engine) const {
  const auto found = this->engines.find(engine);
  return found == this->engines.end() ? 0 : found->second.prefixes.size();
}

}  // namespace qp::policy
