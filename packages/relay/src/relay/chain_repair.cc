#include "relay/chain_repair.h"

#include <algorithm>
#include <string>
#include <vector>

namespace qp::relay {

std::optional<Chain> RepairChain(const EngineProfile& profile,
                                 std::span<const ServerPtr> engines,
                                 const ChoiceQuery& query, const Chain& chain,
                                 const Server& lost, TimePoint now,
                                 std::mt19937_64& random) {
  const auto& stages = chain.stages;
  const auto lost_stage = std::find_if(
      stages.begin(), stages.end(),
      [&lost](const ChainStage& stage) { return stage.server.get() == &lost; });
  if (lost_stage == stages.begin() || lost_stage == stages.end()) {
    return std::nullopt;
  }
  // The engine before the lost one stands for all preceding stages, so that
  // engines of its availability zone are preferred.
  const ChainStage predecessor{std::prev(lost_stage)->server,
                               {0, lost_stage->layers.first}};
  std::vector<std::string> excluded(query.excluded.begin(),
                                    query.excluded.end());
  for (const auto& stage : stages) {
    if (stage.server != predecessor.server) {
      excluded.push_back(stage.server->record.id);
    }
  }
  ChoiceQuery repair_query = query;
  repair_query.availability_zone = predecessor.server->record.availability_zone;
  repair_query.excluded = excluded;
  repair_query.first_stage = &predecessor;
  repair_query.end_layer = lost_stage->layers.end;
  const auto replacement =
      ChooseChain(profile, engines, repair_query, now, random);
  if (!replacement ||
      replacement->stages.front().server != predecessor.server) {
    return std::nullopt;
  }
  Chain repaired;
  repaired.step_ms = chain.step_ms;
  repaired.stages.assign(stages.begin(), lost_stage);
  repaired.stages.insert(repaired.stages.end(), replacement->stages.begin() + 1,
                         replacement->stages.end());
  repaired.stages.insert(repaired.stages.end(), lost_stage + 1, stages.end());
  return repaired;
}

}  // namespace qp::relay
