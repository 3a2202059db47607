#include "relay/callers/client_limits.h"

#include <sys/resource.h>

#include <algorithm>
#include <fstream>
#include <utility>
#include <vector>

namespace qp::relay {

namespace {

/// Memory and descriptors of the smallest VM of the platform.
constexpr std::uint64_t kSmallestMemoryBytes = 112ULL * 1024 * 1024;
constexpr std::uint64_t kSmallestDescriptors = 2870;
constexpr std::uint64_t kBytesPerKilobyte = 1024;
/// Divisor of the memory for the bytes that are held for callers. A third of
/// the smallest VM is 37 MB; the process has 11 MB when idle, and the rest is
/// left for the kernel's socket buffers, streams and connections.
constexpr std::uint64_t kMemoryShare = 3;
/// Descriptors that callers cannot use: the platform allows 200 of them for
/// files only, and 120 are left for the store, engines that get orders,
/// listeners and the readiness and metrics addresses.
constexpr std::uint64_t kReservedDescriptors = 320;
/// Of the other descriptors, callers get two of three: while a request runs,
/// its connection needs one more to a server, but most connections are idle.
constexpr std::uint64_t kCallerShareNumerator = 2;
constexpr std::uint64_t kCallerShareDenominator = 3;
constexpr std::uint64_t kMinConnections = 16;
/// The kernel's receive buffers of all connections together take at most three
/// quarters of the held bytes, a quarter of the memory. They are outside the
/// budget, but the platform counts received bytes that are not yet read.
constexpr std::uint64_t kSocketShareNumerator = 3;
constexpr std::uint64_t kSocketShareDenominator = 4;
/// Divisor of the held bytes for responses that are buffered.
constexpr std::uint64_t kBufferedResponsesDivisor = 4;
/// Below the minimum, a caller 10 ms away could not send a body of 4 MB within
/// the header timeout of 3 s.
constexpr std::uint64_t kMinSocketBufferBytes = 16 * 1024;
constexpr std::uint64_t kMaxSocketBufferBytes = 256 * 1024;
/// Each connection in the accept queue has a receive buffer as well, so that
/// the queue is limited to a part of the connections.
constexpr std::uint64_t kBacklogDivisor = 2;
constexpr std::uint64_t kMinBacklog = 128;

/// Total memory from /proc/meminfo; 0 if it cannot be read.
std::uint64_t ReadTotalMemory() {
  std::ifstream file("/proc/meminfo");
  std::string name;
  std::uint64_t kilobytes = 0;
  std::string unit;
  while (file >> name >> kilobytes) {
    if (name == "MemTotal:") {
      return kilobytes * kBytesPerKilobyte;
    }
    std::getline(file, unit);
  }
  return 0;
}

/// Limit of the control group; 0 if there is none.
std::uint64_t ReadGroupLimit() {
  for (const char* path : {"/sys/fs/cgroup/memory.max",
                           "/sys/fs/cgroup/memory/memory.limit_in_bytes"}) {
    std::ifstream file(path);
    std::uint64_t bytes = 0;
    if (file >> bytes) {
      return bytes;
    }
  }
  return 0;
}

}  // namespace

MachineLimits ReadMachineLimits() {
  MachineLimits machine{kSmallestMemoryBytes, kSmallestDescriptors};
  const std::uint64_t total = ReadTotalMemory();
  const std::uint64_t group = ReadGroupLimit();
  if (total > 0) {
    machine.memory_bytes = group > 0 ? std::min(total, group) : total;
  } else if (group > 0) {
    machine.memory_bytes = group;
  }
  rlimit descriptors{};
  if (::getrlimit(RLIMIT_NOFILE, &descriptors) == 0) {
    machine.descriptors = descriptors.rlim_cur;
  }
  return machine;
}

MachineLimits CombineMachineLimits(const MachineLimits& read,
                                   const MachineLimits& stated) {
  const auto lower = [](std::uint64_t first, std::uint64_t second) {
    return first == 0 || second == 0 ? std::max(first, second)
                                     : std::min(first, second);
  };
  return {lower(read.memory_bytes, stated.memory_bytes),
          lower(read.descriptors, stated.descriptors)};
}

ClientLimits ComputeClientLimits(const MachineLimits& machine,
                                 const ClientLimits& configured) {
  const std::uint64_t shared =
      std::max(machine.descriptors, kReservedDescriptors) -
      kReservedDescriptors;
  ClientLimits limits;
  limits.held_bytes = machine.memory_bytes / kMemoryShare;
  limits.connections =
      std::max(shared / kCallerShareDenominator * kCallerShareNumerator,
               kMinConnections);
  if (configured.held_bytes > 0) {
    limits.held_bytes = configured.held_bytes;
  }
  if (configured.connections > 0) {
    limits.connections = configured.connections;
  }
  limits.buffered_response_bytes =
      limits.held_bytes / kBufferedResponsesDivisor;
  limits.socket_buffer_bytes =
      std::clamp(limits.held_bytes / limits.connections *
                     kSocketShareNumerator / kSocketShareDenominator,
                 kMinSocketBufferBytes, kMaxSocketBufferBytes);
  limits.backlog = std::max(limits.connections / kBacklogDivisor, kMinBacklog);
  return limits;
}

bool GivesWayBefore(const ConnectionState& first,
                    const ConnectionState& second) {
  return first.use != second.use ? first.use < second.use
                                 : first.since < second.since;
}

void RefusalLog::Count(std::string_view reason) {
  const auto found = this->counts.find(reason);
  if (found == this->counts.end()) {
    this->counts.emplace(std::string(reason), 1);
  } else {
    ++found->second;
  }
}

void RefusalLog::Report(EventSink& events) {
  if (this->counts.empty()) {
    return;
  }
  std::vector<EventField> fields;
  for (const auto& [reason, count] : std::exchange(this->counts, {})) {
    fields.push_back({reason, std::to_string(count)});
  }
  events.Record(EventId::kClientsRefused, std::move(fields));
}

}  // namespace qp::relay
