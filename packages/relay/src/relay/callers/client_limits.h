#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

#include "foundation/clock.h"
#include "foundation/event.h"

namespace qp::relay {

/// Limits on all connections of callers together.
struct ClientLimits {
  /// Bytes of requests that are arriving or not passed on yet and of responses
  /// that are not sent yet.
  std::size_t held_bytes = 0;
  std::size_t connections = 0;
  /// Bytes of plain responses that are buffered until they are complete.
  std::size_t buffered_response_bytes = 0;
  /// Bytes that the kernel receives for one connection before they are read.
  /// Half as many can wait in the kernel to be sent. 0 leaves both to it.
  std::size_t socket_buffer_bytes = 0;
  /// Connections that wait to be accepted. 0 stands for the maximum of the
  /// operating system.
  std::size_t backlog = 0;
};

/// Properties of the machine that the default limits follow from; 0 if unknown.
struct MachineLimits {
  std::uint64_t memory_bytes = 0;
  std::uint64_t descriptors = 0;  ///< Soft limit of RLIMIT_NOFILE.
};

/// Reads the memory of the machine, or of the control group of this process if
/// that is less, and the limit on descriptors. What cannot be read counts as
/// the smallest VM of the platform has it.
MachineLimits ReadMachineLimits();

/// The limits to use on a machine for which the operating system shows `read`
/// and the settings state `stated`: the lower figure of each. Where several VMs
/// share a host, the operating system can show the figures of the host.
MachineLimits CombineMachineLimits(const MachineLimits& read,
                                   const MachineLimits& stated);

/// The limits for a machine. `held_bytes` and `connections` are taken over from
/// `configured` if they are not 0; the others follow from these two.
ClientLimits ComputeClientLimits(const MachineLimits& machine,
                                 const ClientLimits& configured);

/// What a connection of a caller does, in the order in which connections give
/// way to new ones.
enum class ConnectionUse {
  kAnswered,  ///< Its last response has been written, and it is closing.
  kIdle,      ///< No byte of a request has arrived.
  kArriving,  ///< A request has begun to arrive.
  kUnread,    ///< The caller has not read its last response yet.
  kBusy,      ///< A request is running; the connection does not give way.
};

struct ConnectionState {
  ConnectionUse use = ConnectionUse::kIdle;
  TimePoint since{};  ///< Start of this use.
};

/// Whether `first` gives way to a new connection rather than `second`: by use,
/// then the one that has been in that use for longer. A caller that sends its
/// request at once is idle and arriving for moments only.
bool GivesWayBefore(const ConnectionState& first,
                    const ConnectionState& second);

/// Counts refused clients by reason, and records them at most once per report,
/// so that the volume of the log does not depend on the number of clients.
class RefusalLog {
 public:
  void Count(std::string_view reason);
  /// Records what was counted since the last report, if anything.
  void Report(EventSink& events);

 private:
  std::map<std::string, std::uint64_t, std::less<>> counts;
};

}  // namespace qp::relay
