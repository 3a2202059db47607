#include "relay/callers/workspace_memory.h"

namespace qp::relay {

bool WorkspaceMemory::Share::Acquire(std::string_view workspace,
                                     std::size_t bytes, std::size_t limit) {
  const auto found = this->memory.by_workspace.find(workspace);
  const std::size_t own =
      found == this->memory.by_workspace.end() ? 0 : found->second;
  const std::size_t after = this->memory.total + bytes;
  const std::size_t left = limit > after ? limit - after : 0;
  if (own > 0 && own + bytes > kThresholdFactor * left) {
    return false;
  }
  this->owner = workspace;
  this->held = bytes;
  this->memory.total = after;
  this->memory.by_workspace[this->owner] = own + bytes;
  return true;
}

WorkspaceMemory::Share::~Share() {
  if (this->held == 0) {
    return;
  }
  this->memory.total -= this->held;
  const auto found = this->memory.by_workspace.find(this->owner);
  found->second -= this->held;
  if (found->second == 0) {
    this->memory.by_workspace.erase(found);
  }
}

}  // namespace qp::relay
