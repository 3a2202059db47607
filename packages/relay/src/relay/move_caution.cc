#include "relay/move_caution.h"

#include <algorithm>
#include <utility>

namespace qp::relay {

void MoveCaution::NoteMove(std::vector<ServerPtr> avoided, TimePoint now) {
  this->moves.push_back({std::move(avoided), now});
}

bool MoveCaution::MayMove(TimePoint now) {
  while (!this->moves.empty() && this->moves.front().at + kVerdict <= now) {
    const Move& move = this->moves.front();
    const bool all_go_on = std::all_of(move.avoided.begin(), move.avoided.end(),
                                       [&move](const ServerPtr& server) {
                                         return server->last_progress > move.at;
                                       });
    if (all_go_on) {
      this->paused_until = now + kPause;
    }
    this->moves.pop_front();
  }
  return now >= this->paused_until;
}

}  // namespace qp::relay
