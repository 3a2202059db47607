#include "admission/workspace_shares.h"

#include <algorithm>

#include "foundation/hash.h"

namespace qp::admission {

namespace {

std::uint32_t HashOf(std::string_view workspace) {
  return static_cast<std::uint32_t>(Hash64(workspace));
}

}  // namespace

WorkspaceShares::Hold::Hold(WorkspaceShares& shares, std::string_view name,
                            double held_tokens)
    : own(shares.own), workspace(HashOf(name)), tokens(held_tokens) {
  (*shares.own)[this->workspace] += this->tokens;
}

WorkspaceShares::Hold::~Hold() {
  const auto held = this->own.lock();
  if (held == nullptr) {
    return;
  }
  const auto found = held->find(this->workspace);
  if (found == held->end()) {
    return;
  }
  found->second -= this->tokens;
  // Sums of rounded numbers don't end at exactly 0.
  if (found->second < 1) {
    held->erase(found);
  }
}

bool WorkspaceShares::IsOverShare(std::string_view workspace) const {
  std::map<std::uint32_t, double> sums = *this->own;
  for (const auto& [node, peer] : this->peers) {
    for (const auto& entry : peer.tokens) {
      sums[entry.workspace] += entry.tokens;
    }
  }
  double total = 0;
  for (const auto& [name, tokens] : sums) {
    total += tokens;
  }
  const auto found = sums.find(HashOf(workspace));
  return sums.size() >= 2 && found != sums.end() &&
         found->second >
             kMaxEqualParts * total / static_cast<double>(sums.size());
}

void WorkspaceShares::Merge(std::string_view node,
                            const std::vector<Tokens>& reported,
                            TimePoint now) {
  Peer peer{now, reported};
  peer.tokens.resize(std::min(peer.tokens.size(), kMaxReported));
  for (auto& entry : peer.tokens) {
    entry.tokens = std::min(entry.tokens, kMaxTokens);
  }
  this->peers.insert_or_assign(std::string(node), std::move(peer));
}

std::vector<WorkspaceShares::Tokens> WorkspaceShares::MakeReport() const {
  std::vector<Tokens> report;
  report.reserve(this->own->size());
  for (const auto& [workspace, tokens] : *this->own) {
    report.push_back(
        {workspace, static_cast<std::uint32_t>(std::clamp(
                        tokens, 0.0, static_cast<double>(kMaxTokens)))});
  }
  const auto end = report.begin() + static_cast<std::ptrdiff_t>(
                                        std::min(report.size(), kMaxReported));
  std::partial_sort(
      report.begin(), end, report.end(),
      [](const Tokens& a, const Tokens& b) { return a.tokens > b.tokens; });
  report.erase(end, report.end());
  return report;
}

void WorkspaceShares::Expire(TimePoint now) {
  std::erase_if(this->peers, [now](const auto& entry) {
    return now - entry.second.received > kMaxReportAge;
  });
}

}  // namespace qp::admission
