#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace qp::relay {

/// Divides the memory for running requests among workspaces with dynamic
/// thresholds (Choudhury and Hahne, "Dynamic Queue Length Thresholds for
/// Shared-Memory Packet Switches", IEEE/ACM Transactions on Networking 6(2),
/// 1998): a workspace can hold up to kThresholdFactor times what is left. One
/// workspace alone gets up to four fifths of the memory, and n workspaces that
/// take all they can leave a part of 1 / (1 + 4n) to the others.
class WorkspaceMemory {
 public:
  static constexpr std::size_t kThresholdFactor = 4;

  /// Bytes of one running request. Releases them at the end of its life. Must
  /// not outlive the WorkspaceMemory.
  class Share {
   public:
    explicit Share(WorkspaceMemory& shared) : memory(shared) {}
    ~Share();
    Share(const Share&) = delete;
    Share& operator=(const Share&) = delete;

    /// Takes `bytes` of the memory of `limit` bytes for `workspace`; an empty
    /// name stands for all requests without a workspace. False if that exceeds
    /// the threshold of the workspace. The only running request of a workspace
    /// is always allowed. Must be called at most once.
    [[nodiscard]] bool Acquire(std::string_view workspace, std::size_t bytes,
                               std::size_t limit);

   private:
    WorkspaceMemory& memory;
    std::string owner;
    std::size_t held = 0;
  };

  /// Bytes of all running requests.
  std::size_t held() const { return this->total; }

 private:
  std::size_t total = 0;
  std::map<std::string, std::size_t, std::less<>> by_workspace;
};

}  // namespace qp::relay
