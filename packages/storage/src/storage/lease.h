#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "foundation/asio.h"
#include "foundation/clock.h"
#include "foundation/event.h"

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
class Lease {
 public:
  static constexpr Duration kTerm = LeaseTerms{}.term;
  static constexpr Duration kMargin = LeaseTerms{}.margin;
  /// Time between two calls of Tick; three renewals fit into a default term.
  static constexpr Duration kTickInterval = std::chrono::seconds(3);

  /// `holder` must be unique for each process; a restarted daemon needs a new
  /// one.
  Lease(Table& table, Clock& clock, EventSink& events, std::string key,
        std::string holder, LeaseTerms terms = {});

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
  /// Writes this holder into the item if the item has `version`; without a
  /// version, if the item does not exist.
  Task<void> Write(std::uint64_t fence, std::optional<std::uint64_t> version,
                   Duration term);
  /// Restarts the wait for the end of another holder's term if `item` has a new
  /// version.
  void Observe(const TableItem& item);
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
  std::uint64_t fence = 0;  ///< 0 if the lease is not held.
  TimePoint held_until{};   ///< End of the term, which includes the margin.
  std::uint64_t seen_version = 0;  ///< Latest item version of another holder.
  TimePoint seen_since{};          ///< When `seen_version` was first read.
};

}  // namespace qp
