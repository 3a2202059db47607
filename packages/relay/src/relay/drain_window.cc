#include "relay/drain_window.h"

#include <algorithm>

namespace qp::relay {

void DrainWindow::Begin(TimePoint now, TimePoint stop_at) {
  this->began = now;
  this->end = stop_at - kNoticeDelay;
  this->accept_end = std::min(now + kAcceptTime, stop_at);
}

bool DrainWindow::Admits(TimePoint now, const RequestEnd& request) const {
  if (!this->end || request.deadline <= *this->end) {
    return true;
  }
  if (now >= this->accept_end) {
    return false;
  }
  const bool may_have_been_noticed = now >= this->accept_end - kNoticeDelay;
  if (!request.expected) {
    return !may_have_been_noticed;
  }
  return *request.expected <= *this->end ||
         (request.can_resume && !may_have_been_noticed);
}

}  // namespace qp::relay
