#include "relay/drain_window.h"

#include <algorithm>

namespace qp::relay {

void DrainWindow::Begin(TimePoint now, TimePoint stop_at) {
  this->end = stop_at - kNoticeDelay;
  this->accept_end = std::min(now + kAcceptTime, stop_at);
}

bool DrainWindow::Admits(TimePoint now, TimePoint deadline,
                         TimePoint expected_end) const {
  if (!this->end || deadline <= *this->end) {
    return true;
  }
  return now < this->accept_end - kNoticeDelay && expected_end <= *this->end;
}

}  // namespace qp::relay
