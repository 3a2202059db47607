#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "foundation/event.h"
#include "relay/load_report.h"
#include "relay/server_directory.h"

namespace qp::relay {

/// Receives notice that a server's limit has begun, changed or ended in an
/// answer to this process.
class LimitListener {
 public:
  virtual ~LimitListener() = default;
  virtual void OnLimitChange() = 0;
};

/// Keeps the request limits that servers name in their answers, exchanges them
/// with the peers, and sets the part of each that this process may use.
///
/// A process knows a limit from its peers before an answer names it. It keeps
/// to its part also without peers, because the parts follow from the names of
/// the processes alone.
class LimitTracker {
 public:
  /// Time for which the end of a limit is repeated in reports, since a datagram
  /// can be lost.
  static constexpr Duration kEndRepeatTime = std::chrono::seconds(5);

  LimitTracker(ServerDirectory& directory, EventSink& sink)
      : servers(directory), events(sink) {}

  /// Sets the listener, which must outlive the tracker.
  void SetListener(LimitListener* given) { this->listener = given; }
  /// Sets the names of all processes of the deployment. Before, and while `own`
  /// is not among them, this process has no part of any limit.
  void SetProcesses(std::string own, std::vector<std::string> all,
                    TimePoint now);

  /// An answer of `server` named `rate` requests a second.
  void RecordLimit(Server& server, double rate, TimePoint now);
  /// A complete answer of `server` named no limit.
  void RecordNoLimit(Server& server, TimePoint now);

  /// Applies the limits that a peer has reported.
  void Merge(const std::vector<LimitReport>& reports, TimePoint now);
  /// Limits in force and limits that have just ended.
  std::vector<LimitReport> MakeReports(TimePoint now) const;

 private:
  /// Returns whether the limit in force has changed.
  bool Record(Server& server, std::optional<double> rate, TimePoint stated_at,
              TimePoint now, std::string_view source);
  void UpdateShare(Server& server, TimePoint now);

  ServerDirectory& servers;
  EventSink& events;
  LimitListener* listener = nullptr;
  std::string own_name;
  std::vector<std::string> processes;
};

}  // namespace qp::relay
