#include "blackboard/views.h"

namespace qp {

std::string_view ToString(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kGone:
      return "gone";
  }
  return "gone";
}

}  // namespace qp
