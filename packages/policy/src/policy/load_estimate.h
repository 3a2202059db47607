#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "blackboard/views.h"
#include "foundation/clock.h"
#include "foundation/hash.h"

namespace qp::policy {

/// Allows look-ups by std::string_view in unordered maps.
struct TransparentStringHash {
  // The standard library requires this name.
  using is_transparent = void;  // NOLINT(readability-identifier-naming)
  std::size_t operator()(std::string_view name) const { return Hash64(name); }
};

template <class T>
using NameMap =
    std::unordered_map<std::string, T, TransparentStringHash, std::equal_to<>>;

/// Streams on each engine: the last report, corrected by the streams that this
/// daemon has started and finished since.
class LoadEstimate {
 public:
  /// How the streams of other daemons develop after a report.
  struct Drift {
    double others_per_slot = 0;  ///< Mean of the engines that are alike.
    std::chrono::duration<double> mean_stream_duration{};
  };

  void OnStarted(std::string_view engine, TimePoint now);
  void OnFinished(std::string_view engine, TimePoint now);

  /// What is known of an engine, in streams.
  struct Snapshot {
    double own = 0;     ///< Of this daemon, now.
    double others = 0;  ///< Of other daemons, at the time of the report.
  };

  Snapshot SnapshotOf(const Backend& engine) const;

  /// All streams now. Streams of others end and are replaced at the mean load,
  /// so an old report counts less the more stream times it is old.
  static double TotalStreams(const Backend& engine, const Snapshot& snapshot,
                             const Drift& drift, TimePoint now);

 private:
  struct Change {
    TimePoint at{};
    int streams = 0;
  };
  struct OwnStreams {
    int in_flight = 0;
    std::deque<Change> changes;  ///< Of the last seconds, oldest first.
  };

  void RecordChange(std::string_view engine, TimePoint now, int streams);

  NameMap<OwnStreams> engines;
};

}  // namespace qp::policy
