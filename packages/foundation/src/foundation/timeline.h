#pragma once

#include <boost/circular_buffer.hpp>
#include <mutex>
#include <string>
#include <vector>

#include "foundation/clock.h"
#include "foundation/event.h"

namespace qp {

enum class LogFormat { kHuman, kJson };

/// Bounded ring of the latest events of one process; also logs each event
/// through log4cplus. The oldest events are dropped when the ring is full.
class Timeline : public EventSink {
 public:
  static constexpr std::size_t kDefaultCapacity = 4096;  // events

  Timeline(const Clock& clock, std::string node, LogFormat format,
           std::size_t capacity = kDefaultCapacity);

  void Record(EventId id, std::vector<EventField> fields) override;

  /// Takes in the stamp of a message from another process.
  void Observe(HybridTime received);

  /// Stamp to put on an outgoing message.
  HybridTime Stamp();

  /// Copy of the ring, oldest first.
  std::vector<Event> Snapshot() const;

 private:
  const Clock& clock;
  std::string node;
  LogFormat format;
  mutable std::mutex mutex;
  HybridClock hybrid;
  boost::circular_buffer<Event> ring;
};

/// Merges the rings of several processes into one order in which no effect
/// stands before its cause.
std::vector<Event> MergeTimelines(std::vector<std::vector<Event>> timelines);

}  // namespace qp
