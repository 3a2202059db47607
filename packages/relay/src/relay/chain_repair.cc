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
  const auto gap = std::find_if(
      stages.begin(), stages.end(),
      [&lost](const ChainStage& stage) { return stage.server.get() == &lost; });
  if (gap == stages.begin() || gap == stages.end()) {
    return std::nullopt;
  }
  // The engine before the gap stands for all before it, so that its zone goes
  // first.
  const ChainStage before{std::prev(gap)->server, {0, gap->layers.first}};
  std::vector<std::string> excluded(query.excluded.begin(),
                                    query.excluded.end());
  for (const auto& stage : stages) {
    if (stage.server != before.server) {
      excluded.push_back(stage.server->record.id);
    }
  }
  ChoiceQuery part = query;
  part.availability_zone = before.server->record.availability_zone;
  part.excluded = excluded;
  part.first_stage = &before;
  part.end_layer = gap->layers.end;
  const auto found = ChooseChain(profile, engines, part, now, random);
  if (!found || found->stages.front().server != before.server) {
    return std::nullopt;
  }
  Chain repaired;
  repaired.step_ms = chain.step_ms;
  repaired.stages.assign(stages.begin(), gap);
  repaired.stages.insert(repaired.stages.end(), found->stages.begin() + 1,
                         found->stages.end());
  repaired.stages.insert(repaired.stages.end(), gap + 1, stages.end());
  return repaired;
}

}  // namespace qp::relay
