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

/// Hash that allows look-ups by std::string_view in unordered maps.
struct TransparentStringHash {
  // The standard library requires this name.
  using is_transparent = void;  // NOLINT(readability-identifier-naming)
  std::size_t operator()(std::string_view name) const { return Hash64(name); }
};

template <class T>
using NameMap =
    std::unordered_map<std::string, T, TransparentStringHash, std::equal_to<>>;

/// Estimates the streams on each engine from its last load report, corrected by
/// the streams that this daemon has started and finished since.
class LoadEstimate {
 public:
  /// Parameters for estimating how the number of streams of other daemons has
  /// changed since a report.
  struct Drift {
    /// Streams of other daemons per slot, averaged over equivalent engines.
    double others_per_slot = 0;
    std::chrono::duration<double> mean_stream_duration{};
  };

  void OnStarted(std::string_view engine, TimePoint now);
  void OnFinished(std::string_view engine, TimePoint now);

  /// Streams on one engine.
  struct Snapshot {
    double own = 0;     ///< Streams of this daemon now.
    double others = 0;  ///< Streams of other daemons when the report was made.
  };

  Snapshot SnapshotOf(const Backend& engine) const;

  /// Estimates all streams on an engine now. After a report, the reported
  /// streams of other daemons end, and other daemons start new streams. The new
  /// streams are expected on all equivalent engines alike, in proportion to
  /// their slots. The estimate therefore moves from the reported number to
  /// `drift.others_per_slot` times the slots, exponentially with the mean
  /// stream duration as time constant.
  static double TotalStreams(const Backend& engine, const Snapshot& snapshot,
                             const Drift& drift, TimePoint now);

 private:
  struct Change {
    TimePoint at{};
    int streams = 0;  ///< 1 for a start, -1 for an end.
  };
  struct OwnStreams {
    int in_flight = 0;
    std::deque<Change> changes;  ///< Recent changes, oldest first.
  };

  void RecordChange(std::string_view engine, TimePoint now, int streams);

  NameMap<OwnStreams> engines;
};

}  // namespace qp::policy
