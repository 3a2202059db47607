#include "relay/drain_window.h"

#include <algorithm>

namespace qp::relay {

void DrainWindow::Begin(TimePoint now, TimePoint stop_at) {
  this->end = stop_at;
  this->accept_end = std::min(now + kAcceptTime, stop_at);
}

bool DrainWindow::Admits(TimePoint now, TimePoint deadline) const {
  return !this->end || now < this->accept_end || deadline <= *this->end;
}

}  // namespace qp::relay
