#include "storage/lease.h"

#include <algorithm>
#include <utility>

#include "storage/table.h"

namespace qp {

namespace {

/// Fencing numbers of an era begin at the era times this.
constexpr int kEraShift = 32;

nlohmann::json MakeItemValue(std::string_view holder, std::uint64_t fence,
                             std::uint64_t era) {
  return {{"holder", holder}, {"fence", fence}, {"era", era}};
}

}  // namespace

Lease::Lease(Table& service, Clock& time, EventSink& sink, std::string item_key,
             std::string holder_name, LeaseTerms lease_terms,
             const StoreEra* table_era)
    : table(service),
      clock(time),
      events(sink),
      key(std::move(item_key)),
      holder(std::move(holder_name)),
      terms(lease_terms),
      store_era(table_era),
      created_at(time.Now()) {}

std::uint64_t Lease::Era() const {
  return this->store_era == nullptr ? 0 : this->store_era->current();
}

Task<void> Lease::Tick() {
  const auto item = co_await this->table.Read(this->key);
  if (!item) {
    this->CheckExpiry();
    co_return;
  }
  if (!std::exchange(this->has_read, true) &&
      this->clock.Now() - this->created_at <= kFirstStartTime) {
    this->first_era = this->Era();
  }
  const Reading reading = this->MakeReading(item.value());
  this->Observe(reading);
  if (this->CanWrite(reading)) {
    co_await this->Write(reading);
  } else {
    this->CheckExpiry();
  }
}

Lease::Reading Lease::MakeReading(const std::optional<TableItem>& item) const {
  Reading reading;
  reading.era = this->Era();
  if (!item) {
    // Without an item the table can be a copy from before its first write.
    reading.is_current =
        this->store_era == nullptr ||
        (this->is_first_start && this->first_era == reading.era);
    return reading;
  }
  reading.version = item->version;
  reading.holder = item->value.value("holder", "");
  reading.fence = item->value.value("fence", std::uint64_t{0});
  reading.is_current =
      item->value.value("era", std::uint64_t{0}) == reading.era;
  return reading;
}

bool Lease::CanWrite(const Reading& reading) const {
  if (reading.is_current &&
      (reading.holder == this->holder || reading.holder.empty())) {
    return true;
  }
  const bool holds = this->TimeLeft() > Duration{0};
  return holds ? !reading.is_current : this->FormerHolderHasStopped();
}

std::uint64_t Lease::NextFence(const Reading& reading) const {
  if (this->TimeLeft() > Duration{0}) {
    return this->fence;
  }
  if (reading.is_current && reading.holder == this->holder) {
    return reading.fence;
  }
  // A copy can lack numbers that were given out in the era before.
  return std::max(reading.fence, reading.era << kEraShift) + 1;
}

Task<void> Lease::Resign() {
  const std::uint64_t own = std::exchange(this->fence, 0);
  if (own == 0) {
    co_return;
  }
  this->LogLost("resigned");
  TableOperation release{this->key, MakeItemValue("", own, this->era),
                         IfField{"holder", this->holder}};
  // If this write fails, the next holder waits until the term has ended.
  std::ignore = co_await this->table.Transact(TransactMode::kAll,
                                              Single(std::move(release)));
}

Task<void> Lease::Write(Reading reading) {
  const TimePoint started_at = this->clock.Now();
  const std::uint64_t next_fence = this->NextFence(reading);
  TableOperation write{this->key,
                       MakeItemValue(this->holder, next_fence, reading.era),
                       IfAbsent{}};
  if (reading.version != 0) {
    write.condition = IfVersion{reading.version};
  }
  const auto results = co_await this->table.Transact(TransactMode::kAll,
                                                     Single(std::move(write)));
  // If only the response was lost, the next Tick reads the item and renews it.
  if (!results || !results.value().front().applied) {
    co_return;
  }
  if (this->Era() != reading.era) {
    co_return;  // The condition held by chance, for an item of another era.
  }
  if (this->fence != next_fence) {
    this->LogAcquired(next_fence);
  }
  this->fence = next_fence;
  this->held_until = started_at + this->terms.term;
  this->era = reading.era;
}

void Lease::Observe(const Reading& reading) {
  if (reading != this->seen) {
    this->seen = reading;
    this->seen_since = this->clock.Now();
  }
}

bool Lease::FormerHolderHasStopped() const {
  return this->clock.Now() - this->seen_since >=
         this->terms.term + this->terms.margin;
}

void Lease::CheckExpiry() {
  if (this->fence != 0 && this->TimeLeft() == Duration{0}) {
    this->fence = 0;
    this->LogLost("expired");
  }
}

void Lease::LogLost(std::string_view reason) {
  this->events.Record(EventId::kLeaseLost, {{"reason", std::string(reason)}});
}

void Lease::LogAcquired(std::uint64_t next_fence) {
  this->events.Record(EventId::kLeaseAcquired,
                      {{"fence", std::to_string(next_fence)}});
}

std::optional<std::uint64_t> Lease::FencingNumber() const {
  if (this->TimeLeft() == Duration{0}) {
    return std::nullopt;
  }
  return this->fence;
}

Duration Lease::TimeLeft() const {
  if (this->fence == 0) {
    return Duration{0};
  }
  return std::max(Duration{0},
                  this->held_until - this->terms.margin - this->clock.Now());
}

}  // namespace qp
