#pragma once

#include <bitset>

namespace qp::relay {

/// The tries of one request that servers have run or can have run. A server can
/// run a request as soon as it has read it and lose the response, so a try
/// counts from the moment it is sent until it is certain that it has not run.
class PossibleRuns {
 public:
  /// Largest number of a try.
  static constexpr int kMaxNumber = 31;

  /// Counts the try `number`, which is about to be sent.
  void Add(int number) { this->tries.set(number); }
  /// No longer counts the try: the server has stated that it has not run the
  /// request, or no byte of the request was sent.
  void Remove(int number) { this->tries.reset(number); }
  bool Contains(int number) const { return this->tries.test(number); }

  /// Whether it is certain that no server has run the request.
  bool empty() const { return this->tries.none(); }
  /// Number of servers that have run the request or can have run it, at most.
  int count() const { return static_cast<int>(this->tries.count()); }

 private:
  std::bitset<kMaxNumber + 1> tries;
};

}  // namespace qp::relay
