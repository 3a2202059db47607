#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "foundation/clock.h"

namespace qp::admission {

/// Reserves places for callers that were refused and told when to retry.
///
/// The load it answers: more callers than the engines have room for, who were
/// refused together. If all of them are told the same time, they come back
/// together and are refused again; here the number that is told a time follows
/// from how many requests of their class were admitted lately.
///
/// Time is divided into slots of kSlot. Reserved places of this process and of
/// its peers (from their reports) are counted by class and slot; nothing is
/// kept for a single caller. Slots are numbered by the time of the reporting
/// process relative to the report, so that clocks need not agree.
class RetrySchedule {
 public:
  static constexpr Duration kSlot = std::chrono::milliseconds(500);
  /// Number of slots ahead for which places are reserved.
  static constexpr std::size_t kSlots = 14;
  /// Part of the admitted requests of a class whose places are reserved for
  /// retries. The rest goes to new requests.
  static constexpr double kRetryShare = 0.5;
  /// Earliest time to retry. An earlier retry meets the same load.
  static constexpr Duration kMinDelay = kSlot;
  /// Age from which a report of a peer no longer counts.
  static constexpr Duration kMaxReportAge = std::chrono::milliseconds(1500);
  /// Largest number of places in one slot that a report can state.
  static constexpr std::uint16_t kMaxPlaces = 1000;

  /// Reserved places of one class in the slots from the time of a report on.
  struct Reserved {
    int priority = 0;
    std::array<std::uint16_t, kSlots> places{};

    bool operator==(const Reserved&) const = default;
  };

  struct Retry {
    Duration after{};
    bool is_reserved = false;  ///< Whether a place was reserved.
  };

  explicit RetrySchedule(std::uint64_t seed) : random(seed) {}

  /// Chooses when a refused caller of the class should retry.
  /// `admitted_per_second`: requests of the class that the zone admitted
  /// lately. `max_delay`: latest time at which the caller can retry.
  Retry Schedule(int priority, double admitted_per_second, Duration max_delay,
                 TimePoint now);

  /// Places of the class that are reserved for the slot of `now` and the one
  /// after it, by all processes.
  double DuePlaces(int priority, TimePoint now) const;

  /// Replaces what the process `node` has reported. Values above kMaxPlaces
  /// count as kMaxPlaces.
  void Merge(std::string_view node, const std::vector<Reserved>& reserved,
             TimePoint now);
  /// Reserved places of this process, for a report.
  std::vector<Reserved> MakeReport(TimePoint now) const;
  /// Drops places whose time has passed and reports that are too old.
  void Expire(TimePoint now);

 private:
  using Slot = std::int64_t;
  /// Places by slot.
  using Places = std::map<Slot, double>;

  struct PeerPlaces {
    TimePoint received{};
    std::map<int, Places> by_priority;
  };

  static Slot SlotAt(TimePoint time) { return time.time_since_epoch() / kSlot; }
  double CountPlaces(int priority, Slot slot) const;

  std::mt19937_64 random;
  std::map<int, Places> own;  ///< By priority.
  std::map<std::string, PeerPlaces, std::less<>> peers;
};

}  // namespace qp::admission
