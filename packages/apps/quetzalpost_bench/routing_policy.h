#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string_view>
#include <vector>

#include "policy/chain_router.h"

namespace qp::bench {

/// Routing of one daemon, measured under the same load as the others.
class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;
  virtual std::optional<policy::Chain> Choose(const BackendsView& view,
                                              const policy::ChainQuery& query,
                                              TimePoint now) = 0;
  virtual void OnStarted(const policy::Chain&, TimePoint) {}
  virtual void OnFinished(const policy::Chain&, Duration, TimePoint) {}
};

/// Baseline that builds a chain stage by stage; each stage runs from the next
/// layer to the engine's last one. How an engine is picked is left to the
/// derived class.
class StageByStagePolicy : public RoutingPolicy {
 public:
  std::optional<policy::Chain> Choose(const BackendsView& view,
                                      const policy::ChainQuery& query,
                                      TimePoint now) override;

 protected:
  virtual std::size_t Pick(const std::vector<const Backend*>& candidates,
                           std::uint32_t layer) = 0;
};

class RandomPolicy : public StageByStagePolicy {
 public:
  explicit RandomPolicy(std::uint64_t seed) : generator(seed) {}

 protected:
  std::size_t Pick(const std::vector<const Backend*>& candidates,
                   std::uint32_t layer) override;

 private:
  std::mt19937_64 generator;
};

class RoundRobinPolicy : public StageByStagePolicy {
 public:
  explicit RoundRobinPolicy(std::uint64_t seed) : start(seed) {}

 protected:
  std::size_t Pick(const std::vector<const Backend*>& candidates,
                   std::uint32_t layer) override;

 private:
  std::size_t start;  ///< Differs by daemon, so that they are not in step.
  std::map<std::uint32_t, std::size_t> turns;  ///< By next layer.
};

class LeastReportedPolicy : public StageByStagePolicy {
 protected:
  std::size_t Pick(const std::vector<const Backend*>& candidates,
                   std::uint32_t layer) override;
};

/// The router of the daemon.
class ChainRouterPolicy : public RoutingPolicy {
 public:
  explicit ChainRouterPolicy(std::uint64_t seed) : router(seed) {}
  std::optional<policy::Chain> Choose(const BackendsView& view,
                                      const policy::ChainQuery& query,
                                      TimePoint now) override;
  void OnStarted(const policy::Chain& chain, TimePoint now) override;
  void OnFinished(const policy::Chain& chain, Duration between_tokens,
                  TimePoint now) override;

 private:
  policy::ChainRouter router;
};

/// Names of all policies, the daemon's router first.
std::vector<std::string_view> PolicyNames();

/// Null for an unknown name.
std::unique_ptr<RoutingPolicy> MakePolicy(std::string_view name,
                                          std::uint64_t seed);

}  // namespace qp::bench
