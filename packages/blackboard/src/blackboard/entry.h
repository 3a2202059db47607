#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace qp {

template <class T>
class Writer;

/// A value and its version, which increases by one with each write.
template <class T>
struct Versioned {
  std::uint64_t version = 0;
  T value{};
};

/// One entry of the blackboard. Any thread can read it; only the holder of its
/// Writer can write it. Read returns an immutable snapshot and does not wait
/// while the writer computes the next value.
template <class T>
class Entry {
 public:
  using Snapshot = std::shared_ptr<const Versioned<T>>;

  Entry() : current(std::make_shared<const Versioned<T>>()) {}
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

  Snapshot Read() const {
    std::lock_guard lock(this->mutex);
    return this->current;
  }

  /// Calls `listener` after each write, on the thread that called Publish.
  void Subscribe(std::function<void(const Snapshot&)> listener) {
    std::lock_guard lock(this->mutex);
    this->listeners.push_back(std::move(listener));
  }

  /// Returns the only Writer of this entry; null from the second call on. The
  /// entry must outlive its Writer. Not thread-safe.
  std::unique_ptr<Writer<T>> Claim() {
    if (std::exchange(this->claimed, true)) {
      return nullptr;
    }
    return std::unique_ptr<Writer<T>>(new Writer<T>(*this));
  }

 private:
  friend class Writer<T>;

  void Publish(T value) {
    std::vector<std::function<void(const Snapshot&)>> notify;
    Snapshot next;
    {
      std::lock_guard lock(this->mutex);
      next = std::make_shared<const Versioned<T>>(
          Versioned<T>{this->current->version + 1, std::move(value)});
      this->current = next;
      notify = this->listeners;
    }
    for (const auto& listener : notify) {
      listener(next);
    }
  }

  mutable std::mutex mutex;
  Snapshot current;
  std::vector<std::function<void(const Snapshot&)>> listeners;
  bool claimed = false;
};

/// Exclusive write access to one entry, held by the entry's owner.
template <class T>
class Writer {
 public:
  void Publish(T value) { this->entry.Publish(std::move(value)); }

 private:
  friend class Entry<T>;
  explicit Writer(Entry<T>& target) : entry(target) {}

  Entry<T>& entry;
};

}  // namespace qp
