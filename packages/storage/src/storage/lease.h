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

/// How long a lease is held and how safely it is passed on.
struct LeaseTerms {
  Duration term = std::chrono::seconds(10);
  /// Covers the drift of clock rates and the flight of the last order.
  Duration margin = std::chrono::seconds(2);
};

/// A lease in the table, with a fencing number that grows with each holder.
///
/// Needs no common clock: a holder counts its term from before its write was
/// sent, and a contender waits for a whole term plus the margin since it first
/// saw the item's present version. With clocks that run at nearly the same
/// rate, a former holder has stopped by then, also if it was paused.
class Lease {
 public:
  static constexpr Duration kTerm = LeaseTerms{}.term;
  static constexpr Duration kMargin = LeaseTerms{}.margin;
  /// Time between two calls of Tick; three renewals fit into a default term.
  static constexpr Duration kTickInterval = std::chrono::seconds(3);

  /// `holder` must differ between processes, also between two starts of one
  /// daemon.
  Lease(Table& table, Clock& clock, EventSink& events, std::string key,
        std::string holder, LeaseTerms terms = {});

  /// Renews the lease, or takes it if it is free.
  Task<void> Tick();

  /// Gives the lease up, so that another daemon need not wait.
  Task<void> Resign();

  /// The fencing number while orders may be sent: until a margin before the
  /// end of the term. Must be asked right before each order.
  std::optional<std::uint64_t> FencingNumber() const;

  /// Time left for orders; zero if none may be sent.
  Duration TimeLeft() const;

 private:
  Task<void> Write(std::uint64_t fence, std::optional<std::uint64_t> version,
                   Duration term);
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
  std::uint64_t fence = 0;  ///< 0: not held.
  TimePoint held_until{};
  std::uint64_t seen_version = 0;
  TimePoint seen_since{};
};

}  // namespace qp
