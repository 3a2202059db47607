#include "admission/retry_schedule.h"

#include <algorithm>
#include <chrono>

namespace qp::admission {

namespace {

constexpr double kSlotSeconds =
    std::chrono::duration<double>(RetrySchedule::kSlot).count();

}  // namespace

RetrySchedule::Retry RetrySchedule::Schedule(int priority,
                                             double admitted_per_second,
                                             Duration max_delay,
                                             TimePoint now) {
  const double places_per_slot =
      kRetryShare * admitted_per_second * kSlotSeconds;
  // The caller must return at the latest after `max_delay`, also from the end
  // of its slot.
  const Slot first = SlotAt(now + kMinDelay);
  const Slot last = std::min(SlotAt(now + max_delay) - 1,
                             first + static_cast<Slot>(kSlots) - 1);
  for (Slot slot = first; slot <= last; ++slot) {
    if (this->CountPlaces(priority, slot) + 1 > places_per_slot) {
      continue;
    }
    this->own[priority][slot] += 1;
    const TimePoint begin{slot * kSlot};
    const auto within = std::uniform_int_distribution<Duration::rep>(
        0, kSlot.count() - 1)(this->random);
    const Duration after =
        std::max(kMinDelay, begin - now) + Duration(within) / 2;
    // The place is kept in the slot, and the caller leaves after `max_delay`.
    return {std::min({after, begin + kSlot - now - Duration(1), max_delay}),
            true};
  }
  // Callers without a place are spread over the later half of the delay,
  // because there can be many of them.
  const double share =
      std::uniform_real_distribution<double>(0.5, 1.0)(this->random);
  return {std::chrono::duration_cast<Duration>(max_delay * share), false};
}

double RetrySchedule::CountPlaces(int priority, Slot slot) const {
  const auto count = [priority, slot](const std::map<int, Places>& places) {
    const auto of_class = places.find(priority);
    if (of_class == places.end()) {
      return 0.0;
    }
    const auto in_slot = of_class->second.find(slot);
    return in_slot == of_class->second.end() ? 0.0 : in_slot->second;
  };
  double sum = count(this->own);
  for (const auto& [node, peer] : this->peers) {
    sum += count(peer.by_priority);
  }
  return sum;
}

double RetrySchedule::DuePlaces(int priority, TimePoint now) const {
  const Slot slot = SlotAt(now);
  return this->CountPlaces(priority, slot) +
         this->CountPlaces(priority, slot + 1);
}

void RetrySchedule::Merge(std::string_view node,
                          const std::vector<Reserved>& reserved,
                          TimePoint now) {
  const Slot first = SlotAt(now);
  PeerPlaces peer;
  peer.received = now;
  for (const auto& of_class : reserved) {
    Places& places = peer.by_priority[of_class.priority];
    for (std::size_t index = 0; index < kSlots; ++index) {
      if (of_class.places[index] > 0) {
        places[first + static_cast<Slot>(index)] =
            std::min(of_class.places[index], kMaxPlaces);
      }
    }
  }
  this->peers.insert_or_assign(std::string(node), std::move(peer));
}

std::vector<RetrySchedule::Reserved> RetrySchedule::MakeReport(
    TimePoint now) const {
  const Slot first = SlotAt(now);
  std::vector<Reserved> report;
  for (const auto& [priority, places] : this->own) {
    Reserved of_class;
    of_class.priority = priority;
    bool is_empty = true;
    for (const auto& [slot, count] : places) {
      const Slot index = slot - first;
      if (index >= 0 && index < static_cast<Slot>(kSlots)) {
        of_class.places[static_cast<std::size_t>(index)] =
            static_cast<std::uint16_t>(std::min<double>(count, kMaxPlaces));
        is_empty = false;
      }
    }
    if (!is_empty) {
      report.push_back(of_class);
    }
  }
  return report;
}

void RetrySchedule::Expire(TimePoint now) {
  const Slot current = SlotAt(now);
  for (auto& [priority, places] : this->own) {
    places.erase(places.begin(), places.lower_bound(current));
  }
  std::erase_if(this->own,
                [](const auto& entry) { return entry.second.empty(); });
  std::erase_if(this->peers, [now](const auto& entry) {
    return now - entry.second.received > kMaxReportAge;
  });
}

}  // namespace qp::admission
