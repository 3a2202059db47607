#pragma once

#include <cstdint>
#include <optional>
#include <vector>

namespace qp {

/// Judges the answers of a store by their era.
///
/// A store that is restored from a copy loses what was written after the copy
/// and gives out the same revisions again. Each restore begins a new era, so
/// revisions can be compared only within an era.
class StoreAnswerObserver {
 public:
  virtual ~StoreAnswerObserver() = default;
  /// Called for each answer, before its content is used. Returns false if it
  /// must not be used, because an answer of a later era has arrived before it.
  virtual bool OnAnswer(std::optional<std::uint64_t> answer_era) = 0;
};

/// A client whose store states its era in each answer.
class EraSource {
 public:
  virtual ~EraSource() = default;
  /// Sets the observer of all answers, which must outlive the client's calls.
  virtual void SetAnswerObserver(StoreAnswerObserver& observer) = 0;
};

/// Receives notice that the store was restored from a copy.
class RestoreListener {
 public:
  virtual ~RestoreListener() = default;
  virtual void OnStoreRestored(std::uint64_t era) = 0;
};

/// The store's newest era that any answer has shown.
class StoreEra : public StoreAnswerObserver {
 public:
  /// Adds a listener, which must outlive this object. Listeners are called in
  /// the order in which they were added.
  void AddListener(RestoreListener& listener) {
    this->listeners.push_back(&listener);
  }

  bool OnAnswer(std::optional<std::uint64_t> answer_era) override;

  /// 0 before the first answer that names an era.
  std::uint64_t current() const { return this->newest.value_or(0); }

 private:
  std::optional<std::uint64_t> newest;
  std::vector<RestoreListener*> listeners;
};

}  // namespace qp
