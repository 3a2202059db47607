#pragma once

#include <deque>
#include <vector>

#include "foundation/clock.h"
#include "relay/server.h"

namespace qp::relay {

/// Tells whether silent streams may be moved early, from what became of the
/// engines that earlier moves avoided. An engine that goes on soon after was
/// only busy: then moves cost it nothing but prompts that are read again, and
/// under overload they would make it worse.
///
/// Answers the load after all processes have restarted, when engines read many
/// prompts at once and are silent for everybody without being lost.
class MoveCaution {
 public:
  /// Time after a move at which its engines are looked at.
  static constexpr Duration kVerdict = std::chrono::milliseconds(400);
  /// Time without early moves after one whose engines have all gone on.
  static constexpr Duration kPause = std::chrono::milliseconds(2000);

  /// Streams were moved away from `avoided`.
  void NoteMove(std::vector<ServerPtr> avoided, TimePoint now);
  bool MayMove(TimePoint now);

 private:
  struct Move {
    std::vector<ServerPtr> avoided;
    TimePoint at{};
  };

  std::deque<Move> moves;  ///< Without a verdict, oldest first.
  TimePoint paused_until{};
};

}  // namespace qp::relay
