#pragma once

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "foundation/clock.h"

namespace qp::relay {

/// Largest limit in requests a second. Larger ones are no limits in practice.
inline constexpr double kMaxRequestLimit = 1e6;

/// Number of requests a second that a server takes from all processes together,
/// as its answers state it, and the part of it that this process may send.
///
/// A process sends its part evenly: it may send a request once 1 / part has
/// passed since the last one, and never saves up more than one request. With
/// the parts of ShareOfLimit, all processes together send at most
/// 4 * limit + 2 * limit + 1 requests in any 4 s.
class RequestLimit {
 public:
  /// Age from which a statement is no longer in force. A process that gets no
  /// answers of the server and hears no peer must not avoid it forever.
  static constexpr Duration kMaxAge = std::chrono::seconds(60);
  /// Lowest limit that is applied, in requests a second. Without any request,
  /// no answer could show that the limit has ended.
  static constexpr double kMinRate = 0.1;

  /// An answer of the server, received at `stated_at`, stated `new_rate`
  /// requests a second, or no limit if empty. Ignored if a later statement is
  /// known. Returns whether the limit in force has changed.
  bool Record(std::optional<double> new_rate, TimePoint stated_at);
  /// Sets the part of the limit that this process may use, 0 to 1.
  void SetShare(double new_share, TimePoint now);

  /// Limit in force; empty if there is none.
  std::optional<double> RateAt(TimePoint now) const;
  /// Time of the last statement; empty if there was none.
  std::optional<TimePoint> stated_at() const { return this->last_stated_at; }
  double share() const { return this->own_share; }

  /// Whether this process may send a request.
  bool HasRoom(TimePoint now) const;
  /// Earliest time at which this process may send a request; empty if it has no
  /// part of the limit.
  std::optional<TimePoint> NextRoom(TimePoint now) const;
  /// Counts a request. Returns false and counts nothing if there is no room.
  bool TryAcquire(TimePoint now);

 private:
  /// Requests that this process may send now, at most 1.
  double TokensAt(TimePoint now) const;
  /// Requests a second that this process may send.
  double OwnRate() const;
  void Refill(TimePoint now);

  std::optional<double> rate;
  std::optional<TimePoint> last_stated_at;
  double own_share = 0;
  double tokens = 0;
  TimePoint refilled_at{};
};

/// Part of a server's limit of `rate` requests a second that process `own` may
/// use. `processes` names all processes of the deployment, `own` included.
///
/// Each server's limit is divided equally among a few processes, at most twice
/// the limit plus one, by rendezvous hashing (Thaler and Ravishankar, "Using
/// name-based mappings to increase hit rates", 1998). All processes that know
/// the same names agree without exchanging anything. With a part for each
/// process, the requests that they may send at once would exceed the limit in
/// deployments with more processes than the limit has requests a second.
double ShareOfLimit(double rate, std::string_view server, std::string_view own,
                    std::span<const std::string> processes);

}  // namespace qp::relay
