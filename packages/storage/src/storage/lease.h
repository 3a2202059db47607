#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "foundation/asio.h"
#include "foundation/clock.h"
#include "foundation/event.h"
#include "storage/store_era.h"

namespace qp {

class Table;
struct TableItem;

/// Duration of a lease and the safety margin at its end.
struct LeaseTerms {
  Duration term = std::chrono::seconds(10);
  /// The holder stops sending orders this long before the term ends. Covers the
  /// drift of clock rates and the delivery time of the last order.
  Duration margin = std::chrono::seconds(2);
};

/// A lease in the table with a fencing number that increases with each holder.
///
/// No synchronized clocks are needed. A holder measures its term from just
/// before it sends its write; a contender waits for a full term plus the margin
/// after it first saw the current version of the item. If the clocks run at
/// nearly the same rate, the previous holder has stopped by then, even if its
/// process was paused.
///
/// A table that is restored from a copy can show the item of an earlier holder,
/// or none, while the last holder still relies on its term. Each write
/// therefore states the era of the table that it is based on. What an item of
/// another era says, also that it is free or that this process holds it,
/// doesn't count: the last holder continues and writes the item again, and all
/// others wait.
class Lease {
 public:
  static constexpr Duration kTerm = LeaseTerms{}.term;
  static constexpr Duration kMargin = LeaseTerms{}.margin;
  /// Time in which a table can't have been written, copied and restored.
  static constexpr Duration kFirstStartTime = std::chrono::seconds(2);
  /// Time between two calls of Tick; three renewals fit into a default term.
  static constexpr Duration kTickInterval = std::chrono::seconds(3);

  /// `holder` must be unique for each process; a restarted daemon needs a new
  /// one. `store_era` is the era of `table`; null if it is never restored.
  Lease(Table& table, Clock& clock, EventSink& events, std::string key,
        std::string holder, LeaseTerms terms = {},
        const StoreEra* store_era = nullptr);

  /// The deployment starts for the first time: no process can hold the lease if
  /// the item does not exist. This counts if the table is read within
  /// kFirstStartTime; later it can be a copy from before the first write.
  void SetFirstStart(bool first_start) { this->is_first_start = first_start; }

  /// Renews the lease if it is held, or tries to acquire it if it is free.
  Task<void> Tick();

  /// Releases the lease, so that another daemon can acquire it immediately.
  Task<void> Resign();

  /// The fencing number, or empty if sending orders is not permitted. Sending
  /// is permitted until a margin before the end of the term. Must be called
  /// directly before each order.
  std::optional<std::uint64_t> FencingNumber() const;

  /// Remaining time in which sending orders is permitted; zero if it is not.
  Duration TimeLeft() const;

 private:
  /// What the item says. An item that does not exist has version 0.
  struct Reading {
    std::uint64_t era = 0;      ///< Era of the table that was read.
    std::uint64_t version = 0;  ///< Version of the item.
    std::string holder;
    std::uint64_t fence = 0;
    /// Whether the item was written in the era in which it was read.
    bool is_current = true;

    bool operator==(const Reading&) const = default;
  };

  std::uint64_t Era() const;
  Reading MakeReading(const std::optional<TableItem>& item) const;
  /// Whether the lease can be written after `reading`.
  bool CanWrite(const Reading& reading) const;
  std::uint64_t NextFence(const Reading& reading) const;
  /// Writes this holder into the item if it is still as in `reading`.
  Task<void> Write(Reading reading);
  /// Restarts the wait for the end of another holder's term if `reading`
  /// differs from the last one.
  void Observe(const Reading& reading);
  bool FormerHolderHasStopped() const;
  void CheckExpiry();
  void LogLost(std::string_view reason);
  void LogAcquired(std::uint64_t next_fence);

  Table& table;
  Clock& clock;
  EventSink& events;
  std::string key;
  std::string holder;
  LeaseTerms terms;
  const StoreEra* store_era;
  std::uint64_t fence = 0;  ///< 0 if the lease is not held.
  TimePoint held_until{};   ///< End of the term, which includes the margin.
  std::uint64_t era = 0;    ///< Era in which this process wrote last.
  bool is_first_start = false;
  TimePoint created_at{};
  /// Era of the first reading; empty if it came after kFirstStartTime.
  std::optional<std::uint64_t> first_era;
  bool has_read = false;
  std::optional<Reading> seen;  ///< Latest reading.
  TimePoint seen_since{};       ///< When `seen` was first read.
};

}  // namespace qp
