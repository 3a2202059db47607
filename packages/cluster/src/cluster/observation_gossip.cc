#include "cluster/observation_gossip.h"

#include <algorithm>
#include <string>

#include "cluster/size_estimate.h"
#include "foundation/hash.h"

namespace qp {

namespace {

constexpr Duration kAgeUnit = std::chrono::milliseconds(250);
constexpr std::uint8_t kDetailTagMask = 0x3f;

std::uint8_t DetailTagOf(const BackendDetail& detail) {
  std::uint64_t hash = Hash64(detail.backend, detail.incarnation);
  for (const std::string* text :
       {&detail.kind, &detail.model, &detail.service}) {
    hash = Hash64(*text, hash);
  }
  for (const std::uint64_t number :
       {detail.first_layer, detail.last_layer, detail.slots}) {
    hash =
        Hash64({reinterpret_cast<const char*>(&number), sizeof(number)}, hash);
  }
  return static_cast<std::uint8_t>(hash) & kDetailTagMask;
}

void SetDetail(ObservationRecord& record, const BackendDetail& detail) {
  Observation& value = record.value;
  value.backend = detail.backend;
  value.incarnation = detail.incarnation;
  value.kind = detail.kind;
  value.model = detail.model;
  value.service = detail.service;
  value.first_layer = detail.first_layer;
  value.last_layer = detail.last_layer;
  value.slots = detail.slots;
  record.detail_tag = DetailTagOf(detail);
}

}  // namespace

void ObservationGossip::Publish(Observation observation,
                                std::uint32_t min_counter, Duration interval) {
  ObservationRecord& record =
      this->FindOrAddRecord(HashName(observation.backend));
  if (observation.incarnation < record.value.incarnation) {
    return;
  }
  const bool same_incarnation =
      observation.incarnation == record.value.incarnation;
  const bool was_leaving = record.value.leaving && same_incarnation;
  const bool became_leaving = observation.leaving && !was_leaving;
  const bool reachability_changed =
      observation.reachable != record.value.reachable;
  const std::uint8_t previous_tag = record.detail_tag;
  record.value = std::move(observation);
  record.value.leaving = was_leaving;
  record.detail_tag = DetailTagOf(DetailFor(record));
  const bool changed = became_leaving || reachability_changed ||
                       !same_incarnation || record.detail_tag != previous_tag;
  const TimePoint now = record.value.observed_at;
  if (changed || record.counter == 0 || now >= record.counter_at + interval) {
    record.counter = std::max(record.counter + 1, min_counter);
    record.counter_at = now;
    record.published_at = now;
  }
  if (became_leaving) {
    this->MarkLeaving(record);
  } else if (reachability_changed) {
    this->MarkUrgent(record);
  }
}

bool ObservationGossip::Merge(const ObservationEntry& entry,
                              const BackendDetail* detail, TimePoint now) {
  const auto found = this->backends.find(entry.backend);
  const bool known = found != this->backends.end();
  if (!known && detail == nullptr) {
    return false;
  }
  ObservationRecord& record =
      known ? found->second : this->FindOrAddRecord(entry.backend);
  if (detail != nullptr && detail->incarnation > record.value.incarnation) {
    record = {};
    SetDetail(record, *detail);
  } else if (detail != nullptr &&
             detail->incarnation == record.value.incarnation &&
             entry.counter > record.counter) {
    SetDetail(record, *detail);
  }
  if (record.detail_tag != entry.detail_tag) {
    // An entry that is not newer, for instance an entry of an earlier
    // incarnation, is ignored, so its details are not needed.
    return detail != nullptr || entry.counter <= record.counter;
  }
  if (entry.leaving && !record.value.leaving) {
    this->MarkLeaving(record);
  }
  if (entry.counter > record.counter) {
    record.counter = entry.counter;
    record.value.running = DecodeLoad(entry.running);
    record.value.queued = DecodeLoad(entry.queued);
    if (record.value.reachable != entry.reachable) {
      record.value.reachable = entry.reachable;
      this->MarkUrgent(record);
    }
    record.value.observed_at = now - entry.age * kAgeUnit;
    record.counter_at = record.value.observed_at;
  }
  return true;
}

void ObservationGossip::Expire(TimePoint now) {
  std::erase_if(this->names, [this, now](NameHash name) {
    const auto found = this->backends.find(name);
    if (now < found->second.value.observed_at + kRetention) {
      return false;
    }
    this->backends.erase(found);
    return true;
  });
}

ObservationEntry ObservationGossip::EntryFor(NameHash backend,
                                             const ObservationRecord& record,
                                             TimePoint now) {
  ObservationEntry entry;
  entry.backend = backend;
  entry.counter = record.counter;
  entry.running = EncodeLoad(record.value.running);
  entry.queued = EncodeLoad(record.value.queued);
  entry.leaving = record.value.leaving;
  entry.reachable = record.value.reachable;
  entry.detail_tag = record.detail_tag;
  const auto age = std::max(now - record.value.observed_at, Duration(0));
  entry.age = static_cast<std::uint32_t>(
      std::min<std::int64_t>(age / kAgeUnit, ObservationEntry::kMaxAge));
  return entry;
}

BackendDetail ObservationGossip::DetailFor(const ObservationRecord& record) {
  const Observation& value = record.value;
  return {value.backend, value.incarnation, value.kind,       value.model,
          value.service, value.first_layer, value.last_layer, value.slots};
}

std::vector<Observation> ObservationGossip::Current() const {
  std::vector<Observation> observations;
  observations.reserve(this->backends.size());
  for (const auto& [name, record] : this->backends) {
    observations.push_back(record.value);
  }
  std::sort(observations.begin(), observations.end(),
            [](const Observation& left, const Observation& right) {
              return left.backend < right.backend;
            });
  return observations;
}

std::size_t ObservationGossip::EstimateStateBytes() const {
  std::size_t bytes = this->names.capacity() * sizeof(NameHash);
  for (const auto& [name, record] : this->backends) {
    const Observation& value = record.value;
    bytes += detail::kHashNodeBytes + sizeof(name) + sizeof(record);
    bytes += value.backend.capacity() + value.kind.capacity() +
             value.model.capacity() + value.service.capacity();
  }
  return bytes;
}

ObservationRecord& ObservationGossip::FindOrAddRecord(NameHash backend) {
  const auto [at, added] = this->backends.try_emplace(backend);
  if (added) {
    this->names.push_back(backend);
  }
  return at->second;
}

void ObservationGossip::MarkLeaving(ObservationRecord& record) {
  record.value.leaving = true;
  this->MarkUrgent(record);
}

void ObservationGossip::MarkUrgent(ObservationRecord& record) {
  ++record.urgent_revision;
  ++this->urgent_changes;
}

}  // namespace qp
