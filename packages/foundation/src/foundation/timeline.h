#pragma once

#include <boost/circular_buffer.hpp>
#include <mutex>
#include <string>
#include <vector>

#include "foundation/clock.h"
#include "foundation/event.h"

namespace qp {

enum class LogFormat { kHuman, kJson };

/// Ring buffer of the latest events of one process; also logs each event
/// through log4cplus. When the ring is full, a new event replaces the oldest.
class Timeline : public EventSink {
 public:
  static constexpr std::size_t kDefaultCapacity = 4096;  // events

  Timeline(const Clock& clock, std::string node, LogFormat format,
           std::size_t capacity = kDefaultCapacity);

  void Record(EventId id, std::vector<EventField> fields) override;

  /// Applies the timestamp of a message from another process.
  void Observe(HybridTime received);

  /// Returns the timestamp to put on an outgoing message.
  HybridTime Stamp();

  /// Returns a copy of the buffered events, oldest first.
  std::vector<Event> Snapshot() const;

 private:
  const Clock& clock;
  std::string node;
  LogFormat format;
  mutable std::mutex mutex;
  HybridClock hybrid_clock;
  boost::circular_buffer<Event> ring;
};

/// Merges the events of several processes by timestamp, so that no effect
/// precedes its cause.
std::vector<Event> MergeTimelines(std::vector<std::vector<Event>> timelines);

}  // namespace qp
